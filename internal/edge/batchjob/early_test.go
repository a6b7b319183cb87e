package batchjob

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/earlystart"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// Guards against work that is lost or done twice when the store is lost before or after the create of a job took effect, and against a job
// that never becomes accepted.
func TestJobBegunWithoutTheStoreIsAcceptedWithItsOutput(t *testing.T) {
	for _, fault := range []storeFault{faultDown, faultLost, faultDropped} {
		t.Run(string(fault), func(t *testing.T) {
			f := newEarlyFleet(t, 2)
			f.setStore(fault, false)
			spec := newStep("j", 6)
			refuseUnknown(t, f.managers[0], spec)
			f.setStore(faultDown, true)
			eventually(t, "the items run", func() bool { return f.requests() == 6 })
			if stored := storedResults(t, f.store, "j"); len(stored) > 0 {
				t.Errorf("results stored during the outage: %v", stored)
			}
			f.setStore(faultNone, false)
			for _, m := range f.managers {
				eventually(t, "submission accepted", func() bool { return m.Submit(t.Context(), newStep("j", 6)) == nil })
			}
			f.checkResults(t, f.managers[1], spec)
			if got := f.requests(); got != 6 {
				t.Errorf("%d runs of 6 items", got)
			}
		})
	}
}

// Guards against a result that is shown before its page is stored, and against an unaccepted job that others take for an accepted one.
func TestUnacceptedJobIsShownToNoOne(t *testing.T) {
	f := newEarlyFleet(t, 1)
	f.setStore(faultDown, true)
	refuseUnknown(t, f.managers[0], newStep("j", 2))
	m := f.managers[0]
	eventually(t, "the items run", func() bool { return f.requests() == 2 })
	j, _ := m.findUnaccepted("j")
	eventually(t, "the items are done", func() bool { return j.state().Running+j.state().Waiting == 0 })
	if _, results, err := m.Results(t.Context(), "j", "north", 0, 50*time.Millisecond, 1<<20); err == nil || len(results) > 0 {
		t.Errorf("shown: %v, %v", results, err)
	}
	answer, err := m.handleRead(t.Context(), ReadRequest{Job: "j", Organisation: "north", MaxBytes: 1 << 20})
	jobs, ended := m.Jobs(time.Now())
	if err != nil || answer.Known || len(jobs)+len(ended)+len(m.Owners(time.Now(), true))+len(m.OpenNotes()) > 0 {
		t.Errorf("announced: %v, %v, %v, %v, %v", answer, err, jobs, m.Owners(time.Now(), true), m.OpenNotes())
	}
	if m.TokenRates()["m"] == 0 {
		t.Error("the model gets no servers for the job")
	}
}

// Guards against a step that is stuck with an entry that was killed, and against a list of results that differs from the store's when two
// entries begin the same job.
func TestSecondEntryBeginsTheJobOfAKilledOne(t *testing.T) {
	for _, killed := range []bool{true, false} {
		f := newEarlyFleet(t, 2)
		f.server.SetStream(20, 10*time.Millisecond)
		f.setStore(faultDown, true)
		spec := newStep("j", 6)
		refuseUnknown(t, f.managers[0], spec)
		eventually(t, "begun", func() bool { return len(f.runners("j")) == 1 })
		refuseUnknown(t, f.managers[1], spec)
		if got := len(f.runners("j")); got != 1 {
			t.Fatalf("begun at %d entries", got)
		}
		runner := slices.Index(f.managers, f.runners("j")[0])
		second := f.managers[1-runner]
		if killed {
			f.kill[runner]()
			refuseUnknown(t, second, spec)
		} else {
			second.begin(spec)
		}
		eventually(t, "begun again", func() bool { _, ok := second.findUnaccepted("j"); return ok })
		f.setStore(faultNone, false)
		f.checkResults(t, second, spec)
		if !killed {
			f.checkResults(t, f.managers[runner], spec)
		}
	}
}

// Guards against servers and memory that are kept for a job whose trainer has gone, which was ended, whose route is gone, or whose entry
// leaves.
func TestUnacceptedJobIsGivenUp(t *testing.T) {
	for name, act := range map[string]func(m *Manager){
		"expired":   func(*Manager) {},
		"ended":     func(m *Manager) { m.ApplyGossip(gossip.Member{HostID: "other"}, nil, []string{"j"}, nil) },
		"end asked": func(m *Manager) { _ = m.End(m.ctx, "j", "north") },
		"no route": func(m *Manager) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.early.routeInForce = func(*batch.Job) bool { return false }
		},
		"leaving": func(m *Manager) { m.HandOverJobs(m.ctx) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newEarlyFleet(t, 1)
			f.server.SetStream(1000, 20*time.Millisecond)
			f.setStore(faultDown, true)
			spec := newStep("j", 6)
			if name == "expired" {
				spec.ResultDeadline = 300 * time.Millisecond
			}
			m := f.managers[0]
			refuseUnknown(t, m, spec)
			eventually(t, "the items run", func() bool { return f.requests() == earlySlots })
			j, _ := m.findUnaccepted("j")
			act(m)
			eventually(t, "given up", func() bool { return len(f.runners("j")) == 0 })
			j.awaitEnd()
			m.mu.Lock()
			defer m.mu.Unlock()
			if running := m.balancer.Running(); len(running) > 0 || m.early.book.Bytes() > 0 || len(m.jobs) > 0 || f.requests() != earlySlots {
				t.Errorf("still running: %v, %d bytes, %d requests", running, m.early.book.Bytes(), f.requests())
			}
		})
	}
}

// Guards against an entry that holds more jobs than its memory allows, against a refusal of the others that promises that they haven't run,
// and against a burst of creates at a store that has just recovered.
func TestManyJobsBegunWithoutTheStore(t *testing.T) {
	f := newEarlyFleet(t, 1)
	f.setStore(faultDown, true)
	for i := range earlystart.MaxJobs + 2 {
		refuseUnknown(t, f.managers[0], newStep(fmt.Sprint("j", i), 1))
	}
	if got := len(f.managers[0].unacceptedLocked()); got != earlystart.MaxJobs {
		t.Errorf("%d jobs begun", got)
	}
	client := f.clients[0]
	client.mu.Lock()
	if client.creates > 0 {
		t.Errorf("%d calls to a store that is known to be down", client.creates)
	}
	client.delay = 100 * time.Millisecond
	client.mu.Unlock()
	f.setStore(faultNone, false)
	for i := range earlystart.MaxJobs {
		spec := newStep(fmt.Sprint("j", i), 1)
		f.checkResults(t, f.managers[0], spec)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.top > 4 || client.creates != earlystart.MaxJobs {
		t.Errorf("%d creates, up to %d at once", client.creates, client.top)
	}
}

// Guards against results of one submission that are listed for another one of the same id.
func TestJobFoundWithOtherContentIsDropped(t *testing.T) {
	f := newEarlyFleet(t, 1)
	f.setStore(faultDown, true)
	refuseUnknown(t, f.managers[0], newStep("j", 2))
	eventually(t, "the items run", func() bool { return f.requests() == 2 })
	other := newStep("j", 2)
	other.Items[0].Body = []byte("another question")
	f.store.put(t, KindJobs, "j", other)
	f.setStore(faultNone, false)
	eventually(t, "dropped", func() bool { return len(f.runners("j")) == 0 })
	if stored := storedResults(t, f.store, "j"); len(stored) > 0 {
		t.Errorf("results stored: %v", stored)
	}
	// The job in the store is run like any other that no entry is known to run, from the start.
	if _, _, err := f.managers[0].Results(t.Context(), "j", "north", 0, 0, 1<<20); err != nil {
		t.Fatal(err)
	}
	f.checkResults(t, f.managers[0], other)
	if got := f.requests(); got != 4 {
		t.Errorf("%d runs", got)
	}
}

// Guards against items of a job that start after it has ended: its end was stored by an entry that this one doesn't hear.
func TestJobFoundEndedStartsNothing(t *testing.T) {
	f := newEarlyFleet(t, 1)
	f.server.SetStream(1000, 10*time.Millisecond)
	f.setStore(faultDown, true)
	spec := newStep("j", 6)
	refuseUnknown(t, f.managers[0], spec)
	f.store.put(t, KindJobs, "j", spec)
	f.store.put(t, KindEnds, "j", endRecord{})
	f.setStore(faultNone, false)
	eventually(t, "ended", func() bool { return f.managers[0].isEnded("j") && len(f.runners("j")) == 0 })
	time.Sleep(100 * time.Millisecond)
	_, joined := f.managers[0].find("j")
	if got := f.requests(); got != earlySlots || joined || len(f.managers[0].balancer.Running()) > 0 {
		t.Errorf("%d runs, joined the accepted jobs: %v", got, joined)
	}
}

// Guards against a job that keeps its servers although its trainer has all it wants, because its end can't be stored, and against an end
// that is lost with the trainer. The runs that go on are not cancelled, as the end isn't confirmed.
func TestEndDuringAnOutageHoldsTheJob(t *testing.T) {
	f := newEarlyFleet(t, 2)
	f.server.SetStream(30, 10*time.Millisecond)
	spec := newStep("j", 3*earlySlots)
	if err := f.managers[0].Submit(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the items run", func() bool { return f.requests() == earlySlots })
	f.setStore(faultDown, true)
	for _, m := range f.managers {
		if err := m.End(t.Context(), "j", "north"); verdict.From(err).Reason != verdict.ReasonPlatformUnavailable {
			t.Errorf("end answered with %v", err)
		}
	}
	runner := f.managers[slices.IndexFunc(f.managers, func(m *Manager) bool { _, ok := m.find("j"); return ok })]
	j, _ := runner.find("j")
	eventually(t, "the runs end", func() bool { return j.state().Running == 0 })
	time.Sleep(200 * time.Millisecond)
	if state := j.state(); f.requests() != earlySlots || state.Waiting != 2*earlySlots || state.Ended {
		t.Errorf("%d runs, %+v", f.requests(), state)
	}
	f.setStore(faultNone, false)
	eventually(t, "the end is stored", func() bool { return runner.isEnded("j") })
	if _, err := f.clients[0].Get(t.Context(), KindEnds, "j"); err != nil || f.requests() != earlySlots {
		t.Errorf("end: %v, %d runs", err, f.requests())
	}
}

// Guards against a job that starts its items again after it was handed over, although its end is only waiting to be stored.
func TestHeldJobIsHandedOverAsHeld(t *testing.T) {
	f := newEarlyFleet(t, 2)
	f.server.SetStream(1000, 10*time.Millisecond)
	if err := f.managers[0].Submit(t.Context(), newStep("j", 2*earlySlots)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the items run", func() bool { return f.requests() == earlySlots })
	runner := slices.IndexFunc(f.managers, func(m *Manager) bool { _, ok := m.find("j"); return ok })
	f.setStore(faultNone, true)
	f.managers[runner].hold("j", "north")
	f.managers[runner].HandOverJobs(t.Context())
	j, ok := f.managers[1-runner].find("j")
	time.Sleep(200 * time.Millisecond)
	if !ok || !j.isRunning() || j.mayStart() || f.requests() != earlySlots {
		t.Errorf("found %v, %d runs", ok, f.requests())
	}
}

// Guards against a trainer that waits for an unresponsive store, against a late answer of the store that nobody handles, whether or not the
// job could begin, and against a call to that store for each repeated submission.
func TestSubmissionDoesNotWaitForAnUnresponsiveStore(t *testing.T) {
	for _, full := range []bool{false, true} {
		f := newEarlyFleet(t, 1)
		m, client := f.managers[0], f.clients[0]
		client.delay = 1200 * time.Millisecond
		wantRunners, wantCreates := 1, 2
		if full {
			m.early.book.Begin(earlystart.Job{ID: "other", Begun: time.Now(), Bytes: earlystart.MaxBytes})
			wantRunners, wantCreates = 0, 1
		}
		started := time.Now()
		refuseUnknown(t, m, newStep("j", 2))
		if took := time.Since(started); took > 2*earlystart.AnswerWait {
			t.Errorf("full %v: answered after %v", full, took)
		}
		if got := len(f.runners("j")); got != wantRunners {
			t.Errorf("full %v: begun at %d entries", full, got)
		}
		if !full {
			refuseUnknown(t, m, newStep("j", 2))
		}
		f.checkResults(t, m, newStep("j", 2))
		client.mu.Lock()
		if got := f.requests(); got != 2 || client.creates > wantCreates {
			t.Errorf("full %v: %d runs of 2 items, %d creates", full, got, client.creates)
		}
		client.mu.Unlock()
	}
}

// Guards against a repeated submission that is refused although the store answers again, because the create of the begun job was put off.
func TestRepeatedSubmissionIsAcceptedOnceTheStoreAnswers(t *testing.T) {
	f := newEarlyFleet(t, 1)
	for i := range 6 {
		f.setStore(faultDown, false)
		spec := newStep(fmt.Sprint("j", i), 1)
		refuseUnknown(t, f.managers[0], spec)
		f.setStore(faultNone, false)
		if err := f.managers[0].Submit(t.Context(), spec); err != nil {
			t.Errorf("%s: %v", spec.ID, err)
		}
	}
}

// Guards against output that is lost, or run again from the start, when another entry stores the job under other terms, or this entry has
// read it from the store meanwhile.
func TestUnacceptedJobJoinsTheStoredOne(t *testing.T) {
	for name, join := range map[string]func(m *Manager, spec *batch.Job, value []byte) error{
		"run request with the job": func(m *Manager, _ *batch.Job, value []byte) error {
			return m.handleRun(m.ctx, RunRequest{Job: "j", Organisation: "north", From: "other", SpecJSON: value})
		},
		"run request": func(m *Manager, _ *batch.Job, _ []byte) error {
			return m.handleRun(m.ctx, RunRequest{Job: "j", Organisation: "north", From: "other"})
		},
		"read": func(m *Manager, spec *batch.Job, _ []byte) error {
			_, err := m.Body(m.ctx, "j", "north", spec.Items[0].ID)
			return err
		},
	} {
		for _, otherTerms := range []bool{false, true} {
			t.Run(fmt.Sprint(name, otherTerms), func(t *testing.T) {
				f := newEarlyFleet(t, 1)
				f.server.SetStream(40, 5*time.Millisecond)
				f.setStore(faultDown, true)
				spec := newStep("j", 2*earlySlots)
				m := f.managers[0]
				refuseUnknown(t, m, spec)
				eventually(t, "half of the items are done, and the others have events", func() bool {
					j, ok := m.findUnaccepted("j")
					if !ok {
						return false
					}
					j.mu.Lock()
					defer j.mu.Unlock()
					results, partials := j.progress.Unwritten()
					return len(results) >= earlySlots && len(results)+len(partials) == 2*earlySlots
				})
				stored := *spec
				stored.Owner = "other"
				if otherTerms {
					stored.MaxAttempts++
				}
				f.store.put(t, KindJobs, "j", stored)
				f.setStore(faultNone, false)
				value, err := json.Marshal(stored)
				if err != nil {
					t.Fatal(err)
				}
				if err := join(m, spec, value); err != nil {
					t.Fatal(err)
				}
				f.checkResults(t, m, spec)
				for _, r := range f.server.Requests()[2*earlySlots:] {
					if !r.Resumed() {
						t.Error("an item began again")
					}
				}
				if j, ok := m.find("j"); !ok || j.spec.Owner != "other" || len(f.runners("j")) > 0 {
					t.Error("not the stored job")
				}
			})
		}
	}
}

// Guards against a trainer that is never told that its job is accepted while creates take longer than a submission waits: the entry that it
// calls doesn't run the job, and the conflict arrives after the answer. Repeats share one create, and another organisation isn't accepted.
func TestRepeatOfAnAcceptedJobIsAcceptedWhileTheStoreIsSlow(t *testing.T) {
	// One of the two is the preferred runner, which doesn't run the job in the other case.
	for runner := range 2 {
		f := newEarlyFleet(t, 2)
		f.server.SetStream(1000, 10*time.Millisecond)
		spec := newStep("j", 2)
		f.store.put(t, KindJobs, "j", spec)
		f.managers[runner].runNewJob(spec)
		other, client := f.managers[1-runner], f.clients[1-runner]
		other.recordOwner("j", testHostID(runner))
		client.mu.Lock()
		before := client.creates
		client.delay = 4 * earlystart.AnswerWait
		client.mu.Unlock()
		for range 2 {
			if err := other.Submit(t.Context(), newStep("j", 2)); err != nil {
				t.Errorf("repeat answered with %v", err)
			}
		}
		client.mu.Lock()
		if got := client.creates - before; got != 1 {
			t.Errorf("%d creates at once", got)
		}
		client.mu.Unlock()
		stranger := newStep("j", 2)
		stranger.Organisation = "south"
		if err := other.Submit(t.Context(), stranger); err == nil {
			t.Error("accepted for another organisation")
		}
	}
}

// Guards against a job that begins although its object would be larger than the store allows: the forms that are measured when the job
// begins and when it is created differ by some bytes.
func TestJobCloseToTheStoresLimitDoesNotBegin(t *testing.T) {
	f := newEarlyFleet(t, 1)
	f.setStore(faultDown, true)
	for _, spare := range []int{100, 1000} {
		spec := newStep(fmt.Sprint("j", spare), 1)
		value, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		// The header is stored as it is, whereas bodies may be encoded.
		spec.Items[0].Header[0].Value += strings.Repeat("x", earlystart.MaxStoredBytes-len(value)-spare)
		if got := f.managers[0].begin(spec).Begun; got != (spare == 1000) {
			t.Errorf("%d bytes below the limit: begun %v", spare, got)
		}
	}
}

package batchjob

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/earlystart"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// earlyFleet is a number of entries that may begin jobs without the store they share, and one server with a few slots.
type earlyFleet struct {
	store    *memoryStore
	server   *platformtest.Server
	managers []*Manager
	clients  []*probedStore
	kill     []context.CancelFunc
	down     atomic.Bool
}

// probedStore counts the creates of jobs, and how many are in progress at once. Creates wait for delay.
type probedStore struct {
	*storeClient
	mu                   sync.Mutex
	delay                time.Duration
	creates, active, top int
}

func (s *probedStore) Create(ctx context.Context, kind, name string, value json.RawMessage) (product.Version, error) {
	s.mu.Lock()
	if kind == KindJobs {
		s.creates++
		s.active++
		defer func() {
			s.mu.Lock()
			s.active--
			s.mu.Unlock()
		}()
	}
	s.top = max(s.top, s.active)
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	return s.storeClient.Create(ctx, kind, name, value)
}

const earlySlots = 4

func newEarlyFleet(t *testing.T, count int) *earlyFleet {
	t.Helper()
	f := &earlyFleet{store: newMemoryStore(), server: platformtest.NewServer(t, "s", "p", map[string]int{"m": 1})}
	members := make([]gossip.Member, count)
	registries := make([]*peer.Registry, count)
	for i := range count {
		ctx, cancel := context.WithCancel(t.Context())
		f.kill = append(f.kill, cancel)
		registries[i] = peer.NewRegistry()
		members[i] = gossip.Member{HostID: testHostID(i), Address: startPeer(ctx, t, registries[i])}
		client := &probedStore{storeClient: f.store.client()}
		f.clients = append(f.clients, client)
		balancer := backend.NewBalancer(testHostID(i), "north-a")
		balancer.Sync(time.Now(), []backend.Server{{ID: "s", Pool: "p", Address: f.server.Address(), Slots: earlySlots, Models: map[string]int{"m": 1}}})
		others := slices.Delete(slices.Clone(members), i, i+1)
		f.managers = append(f.managers, NewManager(ctx, Deps{
			Store: client, Balancer: balancer, Servers: exchange.NewClient(), Peers: peer.NewClient(ctx, []byte(testSecret)),
			Members: fakeMembers{self: testHostID(i), others: others},
			Outage:  func(time.Time) bool { return f.down.Load() },
			Demand:  func() batch.Demand { return batch.Demand{Models: []string{"m"}} },
			Metrics: NewMetrics(prometheus.NewRegistry()), Log: zerolog.Nop(), EarlyGeneration: true,
		}, registries[i]))
	}
	for i, m := range f.managers {
		m.members = fakeMembers{self: testHostID(i), others: slices.Delete(slices.Clone(members), i, i+1)}
	}
	t.Cleanup(func() {
		for i, m := range f.managers {
			f.kill[i]()
			m.Wait()
		}
	})
	return f
}

// setStore sets how the store treats all calls, and whether the entries know that it is down.
func (f *earlyFleet) setStore(fault storeFault, down bool) {
	for _, client := range f.clients {
		client.setFault(fault)
	}
	f.down.Store(down)
}

// newStep returns a submission of some items.
func newStep(id string, items int) *batch.Job {
	spec := &batch.Job{ID: id, Organisation: "north", Accepted: time.Now()}
	spec.Terms = batch.Terms{Pool: "p", Host: "h", MaxAttempts: 3, ItemTimeout: time.Hour, ResultDeadline: time.Hour}
	spec.Model, spec.MinVersion = "m", 1
	for i := range items {
		spec.Items = append(spec.Items, batch.Item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/", Body: []byte("x"), ExpectedTokens: 100, Header: []request.HeaderField{{Name: "X-Model", Value: "m"}},
		})
	}
	return spec
}

// refuseUnknown submits a job and checks that the answer promises nothing: a refusal that says that nothing has run or will run would be
// wrong once a job may have begun.
func refuseUnknown(t *testing.T, m *Manager, spec *batch.Job) {
	t.Helper()
	copied := *spec
	err := m.Submit(t.Context(), &copied)
	if refusal, ok := verdict.As(err); !ok || refusal.Verdict != verdict.MayHaveRun || refusal.RetryAfter <= 0 {
		t.Fatalf("submission answered with %v", err)
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not in time: " + what)
}

func (f *earlyFleet) requests() int { return len(f.server.Requests()) }

// runners returns the entries that have the job as unaccepted.
func (f *earlyFleet) runners(id string) []*Manager {
	return slices.DeleteFunc(slices.Clone(f.managers), func(m *Manager) bool { _, ok := m.findUnaccepted(id); return !ok })
}

// checkResults waits until the store holds one result of each item, and checks that the entry lists the same.
func (f *earlyFleet) checkResults(t *testing.T, m *Manager, spec *batch.Job) {
	t.Helper()
	eventually(t, "all results stored", func() bool { return len(storedResults(t, f.store, spec.ID)) >= len(spec.Items) })
	stored := storedResults(t, f.store, spec.ID)
	ids := map[string]bool{}
	for _, result := range stored {
		ids[result.ID] = result.State == batch.StateCompleted && result.Text != ""
	}
	if len(stored) != len(spec.Items) || len(ids) != len(spec.Items) {
		t.Errorf("%d results of %d items", len(stored), len(ids))
	}
	_, listed, err := m.Results(t.Context(), spec.ID, spec.Organisation, 0, 0, 1<<20)
	if diff := cmp.Diff(stored, listed); err != nil || diff != "" {
		t.Errorf("listed: %v, %s", err, diff)
	}
}

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

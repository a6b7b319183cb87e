package process

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const streamEvents = 5

// submit submits a job and expects it to be accepted.
func (d *deployment) submit(g *testGateway, job, body string) {
	d.t.Helper()
	if got := d.call(g, http.MethodPost, "/job/"+job, keyNorth, job, body); got.status != http.StatusAccepted {
		d.t.Fatalf("response to the submission of %s: %+v", job, got)
	}
}

func TestBatchJobIsReadAtEveryEntry(t *testing.T) {
	d := newDeployment(t, 2)
	d.submit(d.gateways[0], "j1", submission(6, 5, 1))
	d.submit(d.gateways[0], "j1", submission(6, 5, 1))
	d.submit(d.gateways[1], "j1", submission(6, 5, 1))
	first := d.readAll(d.gateways[1], "j1", 12)
	d.checkResults(first, 12, streamEvents)
	if diff := cmp.Diff(first, d.readAll(d.gateways[0], "j1", 12)); diff != "" {
		t.Errorf("entries show different results: %s", diff)
	}
	for _, each := range first {
		if !cmp.Equal(each.Versions, []int{1}) {
			t.Errorf("%s has the weight versions %v", each.ID, each.Versions)
		}
	}
	for _, engine := range d.engines {
		for _, seen := range engine.Requests() {
			if seen.Organisation() != "north" || seen.Body != platformtest.ItemBody || seen.Host != hostName ||
				seen.TokenCounts() != platformtest.ItemTokens {
				t.Errorf("%+v", seen)
			}
		}
	}
	if got := d.call(d.gateways[1], http.MethodGet, platformtest.ItemTarget("j1", "item-0a"), keyNorth, "b", ""); got.status != http.StatusOK ||
		got.body != platformtest.ItemBody {
		t.Errorf("body of an item: %+v", got)
	}
	if got := d.call(d.gateways[1], http.MethodGet, platformtest.JobTarget("j1", 0), keySouth, "b", ""); got.status != http.StatusNotFound {
		t.Errorf("response to a read by another organisation: %+v", got)
	}
	for _, g := range append(d.gateways, d.gateways...) {
		if got := d.call(g, http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", ""); got.status != http.StatusOK {
			t.Errorf("response to the deletion at %s: %+v", g.set.HostID, got)
		}
	}
}

func TestItemsCompleteAfterOneFault(t *testing.T) {
	for _, test := range []struct {
		name  string
		first platformtest.Behaviour
	}{
		{name: "cut between events", first: platformtest.CutConnection},
		{name: "cut in the middle of an event", first: platformtest.CutMidEvent},
		// All events arrived and the end did not: the server that resumes after the last event has none to send and names
		// no version.
		{name: "cut after the last event", first: platformtest.CutAtEnd},
		{name: "refused", first: platformtest.Shed},
		{name: "failed once", first: platformtest.Fail},
		{name: "response to another request", first: platformtest.WrongRequest},
		{name: "no signature", first: platformtest.Unsigned},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			var mu sync.Mutex
			failed := map[string]bool{}
			for _, engine := range d.engines {
				engine.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
					mu.Lock()
					defer mu.Unlock()
					id := r.ID()
					if failed[id] || r.Resumed() {
						return platformtest.Answer
					}
					failed[id] = true
					return test.first
				})
			}
			d.submit(d.gateways[0], "j1", submission(2, 2, 1))
			d.checkResults(d.readAll(d.gateways[0], "j1", 4), 4, streamEvents)
		})
	}
}

// Guards against items that complete with part of their text because the answer that resumes them is not the server's.
func TestEncodedAnswerDoesNotCompleteAnItem(t *testing.T) {
	d := newDeployment(t, 1)
	var mu sync.Mutex
	resumed := map[string]bool{}
	for _, engine := range d.engines {
		engine.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !r.Resumed():
				return platformtest.CutConnection
			case !resumed[r.ID()]:
				resumed[r.ID()] = true
				return platformtest.EncodedStream
			default:
				return platformtest.Answer
			}
		})
	}
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.checkResults(d.readAll(d.gateways[0], "j1", 4), 4, streamEvents)
}

func TestFailingItemsAreLost(t *testing.T) {
	for _, test := range []struct {
		name      string
		behaviour platformtest.Behaviour
		runs      int
	}{
		{name: "impossible", behaviour: platformtest.Unprocessable, runs: 1},
		{name: "always failing", behaviour: platformtest.Fail, runs: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			for _, engine := range d.engines {
				engine.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
					if r.ID() == "item-0a" {
						return test.behaviour
					}
					return platformtest.Answer
				})
			}
			d.submit(d.gateways[0], "j1", submission(2, 1, 1))
			for _, each := range d.readAll(d.gateways[0], "j1", 4) {
				if lost := each.State == platformtest.Lost; lost != (each.ID == "item-0a") {
					t.Errorf("%+v", each)
				}
			}
			runs := 0
			for _, engine := range d.engines {
				for _, seen := range engine.Requests() {
					if seen.ID() == "item-0a" {
						runs++
					}
				}
			}
			if runs != test.runs {
				t.Errorf("%d runs", runs)
			}
		})
	}
}

// owner returns the gateway that runs the job, and another one.
func (d *deployment) owner(job string) (owner, other *testGateway) {
	d.t.Helper()
	d.eventually("an entry runs "+job, func() bool {
		owner, other = nil, nil
		for _, g := range d.gateways {
			if running, _ := g.jobs.Jobs(time.Now()); slices.Contains(running, job) {
				owner = g
			} else {
				other = g
			}
		}
		return owner != nil
	})
	return owner, other
}

// All jobs of a model run at one entry, regardless of where they were accepted, and can be read at every entry. Otherwise
// each entry that accepts a trainer's step would open its own connections to all engines.
func TestJobsOfAModelRunAtOneEntry(t *testing.T) {
	d := newDeployment(t, 3)
	d.eventually("entries know each other", func() bool {
		return len(d.gateways[0].gossip.Alive(time.Now())) == 2 && len(d.gateways[1].gossip.Alive(time.Now())) == 2 &&
			len(d.gateways[2].gossip.Alive(time.Now())) == 2
	})
	for _, engine := range d.engines {
		engine.SetStream(streamEvents, 100*time.Millisecond)
	}
	owners := map[*testGateway]bool{}
	for i, job := range []string{"j0", "j1", "j2"} {
		d.submit(d.gateways[i], job, submission(4, 4, 1))
		owner, _ := d.owner(job)
		owners[owner] = true
	}
	if len(owners) != 1 {
		t.Errorf("jobs of one model run at %d entries", len(owners))
	}
	for i, job := range []string{"j0", "j1", "j2"} {
		d.checkResults(d.readAll(d.gateways[(i+1)%3], job, 8), 8, streamEvents)
	}
}

// The entry that runs a model's jobs died a moment ago, and no entry has noticed yet. A job accepted now runs at the entry
// that accepted it, as soon as the other entry fails to answer.
func TestJobRunsWhereItWasAcceptedIfItsOwnerIsGone(t *testing.T) {
	d := newDeployment(t, 2)
	d.eventually("entries know each other", func() bool {
		return len(d.gateways[0].gossip.Alive(time.Now())) == 1 && len(d.gateways[1].gossip.Alive(time.Now())) == 1
	})
	d.submit(d.gateways[0], "j0", submission(1, 1, 1))
	owner, other := d.owner("j0")
	owner.kill()
	d.submit(other, "j1", submission(2, 2, 1))
	d.checkResults(d.readAll(other, "j1", 4), 4, streamEvents)
	d.checkResults(d.readAll(other, "j0", 2), 2, streamEvents)
}

// The entry that runs a job dies halfway. Its trainer continues to read at another entry, which takes over the job. Listed
// results keep their positions, and none is listed twice.
func TestAnotherEntryTakesOverAJob(t *testing.T) {
	d := newDeployment(t, 2)
	for _, engine := range d.engines {
		engine.SetStream(streamEvents, 60*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(16, 16, 1))
	owner, other := d.owner("j1")
	var before platformtest.Results
	d.eventually("some results are listed", func() bool {
		before, _ = d.read(other, "j1", 0)
		return len(before.Results) > 0
	})
	owner.kill()
	all := d.readAll(other, "j1", 32)
	d.checkResults(all, 32, streamEvents)
	if diff := cmp.Diff(before.Results, all[:len(before.Results)]); diff != "" {
		t.Errorf("positions changed: %s", diff)
	}
}

// All entries lose power right after a job was accepted. The complete job must exist when they are back.
func TestAcceptedJobSurvivesLossOfAllEntries(t *testing.T) {
	d := newDeployment(t, 1)
	for _, engine := range d.engines {
		engine.SetStream(streamEvents, 100*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(4, 4, 1))
	d.gateways[0].kill()
	restarted := d.start("entry-9")
	if got := d.call(restarted, http.MethodGet, platformtest.ItemTarget("j1", "item-3b"), keyNorth, "b", ""); got.status != http.StatusOK ||
		got.body != platformtest.ItemBody {
		t.Errorf("body of an item: %+v", got)
	}
	d.checkResults(d.readAll(restarted, "j1", 8), 8, streamEvents)
}

// All entries are killed while a job runs, and another entry is started. Nobody reads the job's results, but the job runs
// again because the notes in the lease of the duties name it.
func TestOpenJobIsRerunWithoutReads(t *testing.T) {
	d := newDeployment(t, 1)
	for _, engine := range d.engines {
		engine.SetStream(50, 100*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(4, 4, 1))
	d.eventually("the lease names the job", func() bool {
		object, ok := d.store.Get("lease", "duties")
		return ok && strings.Contains(string(object.Spec), `"entry-0 j1"`)
	})
	d.gateways[0].kill()
	before := len(d.engines[0].Requests()) + len(d.engines[1].Requests())
	d.start("entry-9")
	d.eventually("the items of the job run again", func() bool { return len(d.engines[0].Requests())+len(d.engines[1].Requests()) > before })
}

// Guards against items that start from the beginning when all entries die at once.
func TestItemsResumeAfterLossOfAllEntries(t *testing.T) {
	const events, eventInterval = 60, 40 * time.Millisecond
	d := newDeployment(t, 2)
	for _, engine := range d.engines {
		engine.SetStream(events, eventInterval)
	}
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.eventually("a page is stored", func() bool { return len(d.store.Names("pages")) > 0 })
	d.gateways[0].kill()
	d.gateways[1].kill()
	d.start("entry-9")
	d.checkResults(d.readAll(d.gateways[2], "j1", 4), 4, events)
	resumed := 0
	for _, engine := range d.engines {
		for _, seen := range engine.Requests() {
			if seen.Resumed() {
				resumed++
			}
		}
	}
	if resumed == 0 {
		t.Error("no item was resumed")
	}
}

// The entry that runs a job is terminated. Its finished items are written, and another entry runs the rest without waiting
// until the first is considered lost.
func TestDrainingEntryHandsOverItsJobs(t *testing.T) {
	d := newDeployment(t, 2)
	for _, engine := range d.engines {
		engine.SetStream(streamEvents, 60*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(10, 10, 1))
	owner, other := d.owner("j1")
	d.eventually("the other entry knows who runs the job", func() bool {
		_, status := d.read(other, "j1", 0)
		return status == http.StatusOK
	})
	ctx, cancel := context.WithTimeout(t.Context(), gatewayTimeout)
	defer cancel()
	if err := owner.drain(ctx); err != nil {
		t.Error(err)
	}
	owner.kill()
	d.checkResults(d.readAll(other, "j1", 20), 20, streamEvents)
}

func TestEndedJobStartsNoItems(t *testing.T) {
	d := newDeployment(t, 2)
	for _, engine := range d.engines {
		engine.SetStream(50, 100*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(20, 20, 1))
	d.eventually("items run", func() bool { return len(d.engines[0].Requests()) > 0 })
	if got := d.call(d.gateways[1], http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", ""); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	d.eventually("no request runs at the engines", func() bool {
		return len(d.gateways[0].balancer.Running())+len(d.gateways[1].balancer.Running()) == 0
	})
	before := len(d.engines[0].Requests()) + len(d.engines[1].Requests())
	time.Sleep(300 * time.Millisecond)
	if after := len(d.engines[0].Requests()) + len(d.engines[1].Requests()); after != before {
		t.Errorf("%d items started after the deletion of the job", after-before)
	}
}

// The store is down when a job is submitted. The trainer must learn at once that the job isn't accepted, and when to retry.
func TestSubmissionIsRefusedWithoutTheStore(t *testing.T) {
	d := newDeployment(t, 1)
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Refuse })
	got := d.call(d.gateways[0], http.MethodPost, "/job/j1", keyNorth, "j1", submission(2, 2, 1))
	if got.status != http.StatusBadGateway || got.header.Get("Retry-After") == "" {
		t.Errorf("%+v", got)
	}
	d.store.SetFault(nil)
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.checkResults(d.readAll(d.gateways[0], "j1", 4), 4, streamEvents)
}

// One entry accepted a job, and then the store went down. The job was submitted again at an entry that didn't know it, and
// this entry answered that nothing of the job runs. The cause: it assumed that no entry has a job that it doesn't
// know itself.
func TestRepeatedSubmissionIsNotReportedAsNotRun(t *testing.T) {
	d := newDeployment(t, 1)
	for _, engine := range d.engines {
		engine.SetStream(50, 100*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.gateways[0].kill()
	restarted := d.start("entry-9")
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Refuse })
	for range 2 {
		got := d.call(restarted, http.MethodPost, "/job/j1", keyNorth, "j1", submission(2, 2, 1))
		if got.status != http.StatusBadGateway && got.status != http.StatusAccepted {
			t.Errorf("%+v", got)
		}
		// The second submission is sent during a known outage.
		d.eventually("the outage is known", func() bool { return d.gateways[1].follower.Outage(time.Now()) })
	}
}

// The store executed the write that accepts a job, but its response was lost. The response must not promise that nothing
// runs. It reports an unknown outcome, the trainer submits the job again, and the job runs once.
func TestJobRunsOnceAfterALostStoreResponse(t *testing.T) {
	d := newDeployment(t, 1)
	lost := false
	d.store.SetFault(func(method, target string) platformtest.Fault {
		if method == http.MethodPost && target == "/objects/jobs" && !lost {
			lost = true
			return platformtest.LoseAnswer
		}
		return platformtest.Serve
	})
	got := d.call(d.gateways[0], http.MethodPost, "/job/j1", keyNorth, "j1", submission(2, 2, 1))
	if got.status == http.StatusServiceUnavailable || got.status < 500 && got.status != http.StatusAccepted {
		t.Errorf("%+v", got)
	}
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.checkResults(d.readAll(d.gateways[0], "j1", 4), 4, streamEvents)
	if names := d.store.Names("jobs"); len(names) != 1 {
		t.Errorf("stored jobs: %v, want one", names)
	}
}

// Responses of the store to page writes are lost, or the store is down for a while. Each result is still listed once.
func TestFailedPageWritesAreRetried(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault platformtest.Fault
	}{
		{name: "response lost", fault: platformtest.LoseAnswer},
		{name: "refused", fault: platformtest.Refuse},
		{name: "connection closed before the write", fault: platformtest.DropCall},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			faults := 3
			d.store.SetFault(func(method, target string) platformtest.Fault {
				if method == http.MethodPost && target == "/objects/pages" && faults > 0 {
					faults--
					return test.fault
				}
				return platformtest.Serve
			})
			d.submit(d.gateways[0], "j1", submission(4, 4, 1))
			d.checkResults(d.readAll(d.gateways[0], "j1", 8), 8, streamEvents)
		})
	}
}

// The store refuses one entry and serves the others. That entry reaches the store through them.
func TestEntryWithoutStoreAccessAcceptsJobs(t *testing.T) {
	d := newDeployment(t, 2)
	d.eventually("entries know each other", func() bool { return len(d.gateways[1].gossip.Alive(time.Now())) == 1 })
	d.gateways[1].storeEndpoint.RefuseCalls()
	d.submit(d.gateways[1], "j1", submission(4, 4, 1))
	d.checkResults(d.readAll(d.gateways[1], "j1", 8), 8, streamEvents)
}

func TestEndedJobsAreRemoved(t *testing.T) {
	d := newDeployment(t, 1)
	g := d.gateways[0]
	d.submit(g, "j1", submission(2, 2, 1))
	d.submit(g, "j2", submission(2, 2, 1))
	d.readAll(g, "j1", 4)
	d.readAll(g, "j2", 4)
	d.call(g, http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", "")
	for _, test := range []struct {
		name  string
		after time.Duration
		jobs  []string
	}{
		{name: "none while results may be read", after: 5 * time.Minute, jobs: []string{"j1", "j2"}},
		{name: "ended jobs later", after: time.Hour, jobs: []string{"j2"}},
	} {
		if err := g.jobs.Sweep(t.Context(), time.Now().Add(test.after)); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(test.jobs, d.store.Names("jobs")); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
	for _, page := range d.store.Names("pages") {
		if page[:2] != "j2" {
			t.Errorf("page %s was not removed", page)
		}
	}
	if ends := d.store.Names("ends"); len(ends) != 0 {
		t.Errorf("ends %v were not removed", ends)
	}
}

// Guards against items that are sent in a tight loop to servers whose answers are rejected.
func TestRejectedAnswersAreFollowedByAPause(t *testing.T) {
	d := newDeployment(t, 1)
	for _, engine := range d.engines {
		engine.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
			if r.ID() == "item-0a" {
				return platformtest.Unsigned
			}
			return platformtest.Answer
		})
	}
	d.submit(d.gateways[0], "j1", submission(2, 1, 1))
	d.eventually("all other items are completed", func() bool { return d.completed(d.gateways[0], "j1") == 3 })
	before := d.timesSent("item-0a")
	time.Sleep(time.Second)
	if sent := d.timesSent("item-0a") - before; sent > 20 {
		t.Errorf("the item was sent %d times in a second", sent)
	}
}

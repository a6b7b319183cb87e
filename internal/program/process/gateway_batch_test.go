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

// submit hands in a job and expects it to be accepted.
func (d *deployment) submit(g *testGateway, job, body string) {
	d.t.Helper()
	if got := d.ask(g, http.MethodPost, "/job/"+job, keyNorth, job, body); got.status != http.StatusAccepted {
		d.t.Fatalf("submission of %s: %+v", job, got)
	}
}

func TestABatchJob(t *testing.T) {
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
			t.Errorf("%s was made by %v", each.ID, each.Versions)
		}
	}
	for _, engine := range d.engines {
		for _, seen := range engine.Requests() {
			if seen.Organisation() != "north" || seen.Body != platformtest.ItemBody || seen.Host != hostName || seen.TokenCounts() != platformtest.ItemTokens {
				t.Errorf("%+v", seen)
			}
		}
	}
	if got := d.ask(d.gateways[1], http.MethodGet, platformtest.ItemTarget("j1", "item-0a"), keyNorth, "b", ""); got.status != http.StatusOK || got.body != platformtest.ItemBody {
		t.Errorf("body of an item: %+v", got)
	}
	if got := d.ask(d.gateways[1], http.MethodGet, platformtest.JobTarget("j1", 0), keySouth, "b", ""); got.status != http.StatusNotFound {
		t.Errorf("another organisation reads: %+v", got)
	}
	for _, g := range append(d.gateways, d.gateways...) {
		if got := d.ask(g, http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", ""); got.status != http.StatusOK {
			t.Errorf("end at %s: %+v", g.set.HostID, got)
		}
	}
}

func TestStreamsThatBreak(t *testing.T) {
	for _, test := range []struct {
		name  string
		first platformtest.Behaviour
	}{
		{name: "cut between events", first: platformtest.CutConnection},
		{name: "cut in the middle of an event", first: platformtest.CutMidEvent},
		// All events came and the end did not: the server that goes on after the last event has none to send, and names no version.
		{name: "cut after the last event", first: platformtest.CutAtEnd},
		{name: "refused", first: platformtest.Shed},
		{name: "failed once", first: platformtest.Fail},
		{name: "another's answer", first: platformtest.WrongRequest},
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

func TestItemsThatCanNotBeDone(t *testing.T) {
	for _, test := range []struct {
		name      string
		behaviour platformtest.Behaviour
		runs      int
	}{
		{name: "impossible", behaviour: platformtest.Unprocessable, runs: 1},
		{name: "failing each time", behaviour: platformtest.Fail, runs: 2},
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

// runner returns the gateway that runs the job, and another one.
func (d *deployment) runner(job string) (runs, other *testGateway) {
	d.t.Helper()
	d.eventually("an entry runs "+job, func() bool {
		runs, other = nil, nil
		for _, g := range d.gateways {
			if running, _ := g.jobs.Jobs(time.Now()); slices.Contains(running, job) {
				runs = g
			} else {
				other = g
			}
		}
		return runs != nil
	})
	return runs, other
}

// Trainers hand in their steps at any entry, and each entry opened connections to all engines anew. All steps of a model run at one entry, wherever they were accepted, and can be read everywhere.
func TestJobsOfAModelRunAtOneEntry(t *testing.T) {
	d := newDeployment(t, 3)
	d.eventually("entries know each other", func() bool {
		return len(d.gateways[0].gossip.Alive(time.Now())) == 2 && len(d.gateways[1].gossip.Alive(time.Now())) == 2 && len(d.gateways[2].gossip.Alive(time.Now())) == 2
	})
	for _, engine := range d.engines {
		engine.SetStream(streamEvents, 100*time.Millisecond)
	}
	homes := map[*testGateway]bool{}
	for i, job := range []string{"j0", "j1", "j2"} {
		d.submit(d.gateways[i], job, submission(4, 4, 1))
		home, _ := d.runner(job)
		homes[home] = true
	}
	if len(homes) != 1 {
		t.Errorf("jobs of one model run at %d entries", len(homes))
	}
	for i, job := range []string{"j0", "j1", "j2"} {
		d.checkResults(d.readAll(d.gateways[(i+1)%3], job, 8), 8, streamEvents)
	}
}

// The entry at which jobs of a model run died a moment ago, and nobody has noticed. A job accepted then runs at the entry that
// accepted it, as soon as the other doesn't answer.
func TestAJobWhoseHomeIsGoneRunsWhereItWasAccepted(t *testing.T) {
	d := newDeployment(t, 2)
	d.eventually("entries know each other", func() bool {
		return len(d.gateways[0].gossip.Alive(time.Now())) == 1 && len(d.gateways[1].gossip.Alive(time.Now())) == 1
	})
	d.submit(d.gateways[0], "j0", submission(1, 1, 1))
	home, other := d.runner("j0")
	home.kill()
	d.submit(other, "j1", submission(2, 2, 1))
	d.checkResults(d.readAll(other, "j1", 4), 4, streamEvents)
	d.checkResults(d.readAll(other, "j0", 2), 2, streamEvents)
}

// The entry that runs a job dies in the middle of it. Its trainer reads on at another entry, which takes the job over; what was
// listed keeps its position, and nothing is listed twice.
func TestAnotherEntryTakesAJobOver(t *testing.T) {
	d := newDeployment(t, 2)
	for _, engine := range d.engines {
		engine.SetStream(streamEvents, 60*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(16, 16, 1))
	home, other := d.runner("j1")
	var before platformtest.Results
	d.eventually("some results are listed", func() bool {
		before, _ = d.read(other, "j1", 0)
		return len(before.Results) > 0
	})
	home.kill()
	all := d.readAll(other, "j1", 32)
	d.checkResults(all, 32, streamEvents)
	if diff := cmp.Diff(before.Results, all[:len(before.Results)]); diff != "" {
		t.Errorf("positions changed: %s", diff)
	}
}

// All entries lose power right after a job was accepted. It must be there, whole, when they are back.
func TestAnAcceptedJobSurvivesEveryEntry(t *testing.T) {
	d := newDeployment(t, 1)
	for _, engine := range d.engines {
		engine.SetStream(streamEvents, 100*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(4, 4, 1))
	d.gateways[0].kill()
	back := d.start("entry-9")
	if got := d.ask(back, http.MethodGet, platformtest.ItemTarget("j1", "item-3b"), keyNorth, "b", ""); got.status != http.StatusOK || got.body != platformtest.ItemBody {
		t.Errorf("body of an item: %+v", got)
	}
	d.checkResults(d.readAll(back, "j1", 8), 8, streamEvents)
}

// All entries are killed while a job runs, and another is started. Nobody asks for the job's results; it runs again all the same, since the
// lease of the duties named it.
func TestAnOpenJobRunsAgainThoughNobodyAsks(t *testing.T) {
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
	d.eventually("its items run again", func() bool { return len(d.engines[0].Requests())+len(d.engines[1].Requests()) > before })
}

// Guards against items that begin anew when all entries die at once.
func TestItemsGoOnAfterTheDeathOfAllEntries(t *testing.T) {
	const events, pace = 60, 40 * time.Millisecond
	d := newDeployment(t, 2)
	for _, engine := range d.engines {
		engine.SetStream(events, pace)
	}
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.eventually("a page holds what was received", func() bool { return len(d.store.Names("pages")) > 0 })
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
		t.Error("all items began anew")
	}
}

// The entry that runs a job is terminated. What it finished is written, and another entry runs the rest without waiting for silence.
func TestATerminatedEntryHandsItsJobsOver(t *testing.T) {
	d := newDeployment(t, 2)
	for _, engine := range d.engines {
		engine.SetStream(streamEvents, 60*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(10, 10, 1))
	home, other := d.runner("j1")
	d.eventually("the other entry knows who runs the job", func() bool {
		_, status := d.read(other, "j1", 0)
		return status == http.StatusOK
	})
	ctx, cancel := context.WithTimeout(t.Context(), gatewayPatience)
	defer cancel()
	if err := home.drain(ctx); err != nil {
		t.Error(err)
	}
	home.kill()
	d.checkResults(d.readAll(other, "j1", 20), 20, streamEvents)
}

func TestNothingOfAnEndedJobRuns(t *testing.T) {
	d := newDeployment(t, 2)
	for _, engine := range d.engines {
		engine.SetStream(50, 100*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(20, 20, 1))
	d.eventually("items run", func() bool { return len(d.engines[0].Requests()) > 0 })
	if got := d.ask(d.gateways[1], http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", ""); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	d.eventually("the engines are free", func() bool { return len(d.gateways[0].book.Running())+len(d.gateways[1].book.Running()) == 0 })
	before := len(d.engines[0].Requests()) + len(d.engines[1].Requests())
	time.Sleep(300 * time.Millisecond)
	if after := len(d.engines[0].Requests()) + len(d.engines[1].Requests()); after != before {
		t.Errorf("%d items started after the end", after-before)
	}
}

// The store is down when a job is handed in. The trainer hears at once that the job isn't accepted, and when to come back.
func TestASubmissionWithoutTheStoreIsTurnedAway(t *testing.T) {
	d := newDeployment(t, 1)
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Refuse })
	got := d.ask(d.gateways[0], http.MethodPost, "/job/j1", keyNorth, "j1", submission(2, 2, 1))
	if got.status != http.StatusBadGateway || got.header.Get("Retry-After") == "" {
		t.Errorf("%+v", got)
	}
	d.store.SetFault(nil)
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.checkResults(d.readAll(d.gateways[0], "j1", 4), 4, streamEvents)
}

// One entry accepted a job, and then the store was down. The job was handed in once more at an entry that knew nothing of it, and that one said
// that nothing of it runs. Cause: not to have heard of the job was taken for a proof that nobody has it.
func TestARepeatedSubmissionIsNotSaidNotToRun(t *testing.T) {
	d := newDeployment(t, 1)
	for _, engine := range d.engines {
		engine.SetStream(50, 100*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.gateways[0].kill()
	back := d.start("entry-9")
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Refuse })
	for range 2 {
		got := d.ask(back, http.MethodPost, "/job/j1", keyNorth, "j1", submission(2, 2, 1))
		if got.status != http.StatusBadGateway && got.status != http.StatusAccepted {
			t.Errorf("%+v", got)
		}
		// The second one finds an outage that is known.
		d.eventually("the outage is known", func() bool { return d.gateways[1].follower.Outage(time.Now()) })
	}
}

// The store carried an acceptance out and its answer was lost. The trainer must not be told that nothing runs: it is told nothing for
// certain, hands the job in again, and the job runs once.
func TestAnAcceptanceWhoseAnswerWasLost(t *testing.T) {
	d := newDeployment(t, 1)
	lost := false
	d.store.SetFault(func(method, target string) platformtest.Fault {
		if method == http.MethodPost && target == "/objects/jobs" && !lost {
			lost = true
			return platformtest.LoseAnswer
		}
		return platformtest.Serve
	})
	got := d.ask(d.gateways[0], http.MethodPost, "/job/j1", keyNorth, "j1", submission(2, 2, 1))
	if got.status == http.StatusServiceUnavailable || got.status < 500 && got.status != http.StatusAccepted {
		t.Errorf("%+v", got)
	}
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.checkResults(d.readAll(d.gateways[0], "j1", 4), 4, streamEvents)
	if names := d.store.Names("jobs"); len(names) != 1 {
		t.Errorf("jobs %v", names)
	}
}

// Answers of the store to pages are lost, or the store is down for a while. Each result is listed once all the same.
func TestPagesWhoseWritesFail(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault platformtest.Fault
	}{
		{name: "answer lost", fault: platformtest.LoseAnswer},
		{name: "refused", fault: platformtest.Refuse},
		{name: "broken before", fault: platformtest.DropCall},
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

// The store turns one entry away and serves the others. The entry goes on through them.
func TestAnEntryThatTheStoreTurnsAwayAcceptsJobs(t *testing.T) {
	d := newDeployment(t, 2)
	d.eventually("entries know each other", func() bool { return len(d.gateways[1].gossip.Alive(time.Now())) == 1 })
	d.gateways[1].door.RefuseCalls()
	d.submit(d.gateways[1], "j1", submission(4, 4, 1))
	d.checkResults(d.readAll(d.gateways[1], "j1", 8), 8, streamEvents)
}

func TestEndedJobsAreRemovedInTheEnd(t *testing.T) {
	d := newDeployment(t, 1)
	g := d.gateways[0]
	d.submit(g, "j1", submission(2, 2, 1))
	d.submit(g, "j2", submission(2, 2, 1))
	d.readAll(g, "j1", 4)
	d.readAll(g, "j2", 4)
	d.ask(g, http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", "")
	for _, test := range []struct {
		name  string
		after time.Duration
		jobs  []string
	}{
		{name: "not while results may be read", after: 5 * time.Minute, jobs: []string{"j1", "j2"}},
		{name: "later, those that ended", after: time.Hour, jobs: []string{"j2"}},
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
			t.Errorf("page %s is left", page)
		}
	}
	if ends := d.store.Names("ends"); len(ends) != 0 {
		t.Errorf("ends %v are left", ends)
	}
}

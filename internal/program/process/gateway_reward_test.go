package process

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/batchjob"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// rewardOf is the id of an item's reward call.
func rewardOf(item string) string { return "score-" + item }

// scoredSubmission is a batch job of groups of two items that are scored through the route of idempotent calls.
func scoredSubmission(groups int) string {
	var items []platformtest.Item
	for g := range groups {
		for i := range 2 {
			id := fmt.Sprintf("item-%d%c", g, 'a'+i)
			items = append(items, platformtest.Item{
				ID: id, Path: fmt.Sprintf("/job/%d", g), Group: fmt.Sprint(g),
				Reward: &platformtest.Reward{ID: rewardOf(id), Host: hostName, Path: "/safe/" + id},
			})
		}
	}
	return platformtest.Submission("m", 1, groups, items)
}

// checkScores checks that each score is the signature of an answer to the item's reward call that reached its server after the text was whole.
func (d *deployment) checkScores(all []platformtest.Result) {
	d.t.Helper()
	for _, each := range all {
		if each.State != platformtest.Completed {
			continue
		}
		var made time.Time
		for _, engine := range d.engines {
			if at, ok := engine.LastEventSentAt(each.ID); ok && (made.IsZero() || at.Before(made)) {
				made = at
			}
		}
		valid := false
		for _, desk := range d.services {
			for _, seen := range desk.Requests() {
				if seen.ID() == rewardOf(each.ID) && each.Score == platformtest.Signature(desk.ID, seen.ID()) {
					valid = valid || seen.ReceivedAt.After(made)
				}
			}
		}
		if !valid {
			d.t.Errorf("%s has the score %q", each.ID, each.Score)
		}
	}
}

func (d *deployment) rewardCalls() []platformtest.Request {
	var calls []platformtest.Request
	for _, desk := range d.services {
		for _, seen := range desk.Requests() {
			if strings.HasPrefix(seen.ID(), "score-") {
				calls = append(calls, seen)
			}
		}
	}
	return calls
}

func TestItemsAreScored(t *testing.T) {
	d := newDeployment(t, 2)
	d.submit(d.gateways[0], "j1", scoredSubmission(4))
	first := d.readAll(d.gateways[1], "j1", 8)
	d.checkResults(first, 8, streamEvents)
	d.checkScores(first)
	d.checkScores(d.readAll(d.gateways[0], "j1", 8))
	for _, call := range d.rewardCalls() {
		if call.Method != http.MethodPost || call.Body != platformtest.RewardBody || call.Host != hostName || !call.HasServerAndDeadline() {
			t.Errorf("%+v", call)
		}
		if call.Organisation() != "" || call.Key() != "" {
			t.Errorf("a reward call shows an organisation or a key: %v", call.Header)
		}
	}
}

// Guards against a score that is no signature of a whole answer to the item's own call, and against an item that is lost by a fault that a
// second server makes up for.
func TestRewardCallsThatGoWrong(t *testing.T) {
	for _, fault := range []struct {
		name string
		did  platformtest.Behaviour
	}{
		{name: "refused", did: platformtest.Shed},
		{name: "failed once", did: platformtest.Fail},
		{name: "answer lost", did: platformtest.CutConnection},
		{name: "another's answer", did: platformtest.WrongRequest},
		{name: "no signature", did: platformtest.Unsigned},
		{name: "no answer", did: platformtest.Hang},
	} {
		t.Run(fault.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			var mu sync.Mutex
			seen := map[string]bool{}
			for _, desk := range d.services {
				desk.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
					mu.Lock()
					defer mu.Unlock()
					if seen[r.ID()] {
						return platformtest.Answer
					}
					seen[r.ID()] = true
					return fault.did
				})
			}
			d.submit(d.gateways[0], "j1", scoredSubmission(2))
			all := d.readAll(d.gateways[0], "j1", 4)
			d.checkResults(all, 4, streamEvents)
			d.checkScores(all)
		})
	}
}

// Guards against an item that keeps its group waiting, or a server busy, though its reward call can't succeed.
func TestARewardCallThatAlwaysFailsLosesItsItem(t *testing.T) {
	d := newDeployment(t, 1)
	for _, desk := range d.services {
		desk.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
			if r.ID() == rewardOf("item-0a") {
				return platformtest.Fail
			}
			return platformtest.Answer
		})
	}
	d.submit(d.gateways[0], "j1", scoredSubmission(2))
	all := d.readAll(d.gateways[0], "j1", 4)
	d.checkScores(all)
	for _, each := range all {
		if lost := each.State == platformtest.Lost; lost != (each.ID == "item-0a") {
			t.Errorf("%+v", each)
		}
	}
	calls := 0
	for _, call := range d.rewardCalls() {
		if call.ID() == rewardOf("item-0a") {
			calls++
		}
	}
	if calls != 2 {
		t.Errorf("%d calls where the route allows two attempts", calls)
	}
}

// Guards against servers that are asked without end for a score that they deny.
func TestADeniedRewardCallIsRepeatedSeldom(t *testing.T) {
	const watched = 1200 * time.Millisecond
	d := newDeployment(t, 1)
	for _, desk := range d.services {
		desk.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return platformtest.Unprocessable })
	}
	d.submit(d.gateways[0], "j1", scoredSubmission(1))
	d.eventually("items are being scored", func() bool { return len(d.rewardCalls()) >= 2 })
	time.Sleep(watched)
	// Two items, each at once and then after each pause of half a second.
	if calls := len(d.rewardCalls()); calls > 8 {
		t.Errorf("%d reward calls of two items in %v", calls, watched)
	}
}

// Guards against scores that die with the entry that waits for them.
func TestAnotherEntryScoresWhatIsLeft(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(t *testing.T, home *testGateway)
	}{
		{name: "killed", leave: func(_ *testing.T, home *testGateway) { home.kill() }},
		{name: "terminated", leave: func(t *testing.T, home *testGateway) {
			ctx, cancel := context.WithTimeout(t.Context(), gatewayPatience)
			defer cancel()
			if err := home.drain(ctx); err != nil {
				t.Error(err)
			}
			home.kill()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t, 2)
			d.eventually("entries know each other", func() bool { return len(d.gateways[0].gossip.Alive(time.Now())) == 1 })
			var mu sync.Mutex
			silent := true
			for _, desk := range d.services {
				desk.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour {
					mu.Lock()
					defer mu.Unlock()
					if silent {
						return platformtest.Hang
					}
					return platformtest.Answer
				})
			}
			d.submit(d.gateways[0], "j1", scoredSubmission(2))
			home, other := d.runner("j1")
			d.eventually("items are being scored", func() bool { return len(d.rewardCalls()) > 0 })
			test.leave(t, home)
			mu.Lock()
			silent = false
			mu.Unlock()
			all := d.readAll(other, "j1", 4)
			d.checkResults(all, 4, streamEvents)
			d.checkScores(all)
		})
	}
}

// Guards against reward calls that are sent after their job's end was confirmed. Calls are counted at the entries, each of which holds a place of
// its server for as long as the server says nothing: a server may note a call late that was sent, and given up, before the end.
func TestNoRewardCallAfterTheEnd(t *testing.T) {
	const endMost, watched, pollPause = 3 * time.Second, time.Second, 5 * time.Millisecond
	d := newDeployment(t, 2)
	for _, desk := range d.services {
		desk.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return platformtest.Hang })
	}
	d.submit(d.gateways[0], "j1", scoredSubmission(4))
	home, _ := d.runner("j1")
	d.eventually("items are being scored", func() bool { return len(d.rewardCalls()) > 0 })
	if got := d.ask(d.gateways[1], http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", ""); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	confirmed := time.Now()
	d.eventually("the entry that runs the job has ended it", func() bool {
		states, ok := home.jobs.State().([]batchjob.JobState)
		return ok && len(states) == 1 && states[0].Ended
	})
	if took := time.Since(confirmed); took > endMost {
		t.Errorf("ended %v after the confirmation", took)
	}
	sending := func() int { return len(d.gateways[0].book.Running()) + len(d.gateways[1].book.Running()) }
	d.eventually("the servers are free", func() bool { return sending() == 0 })
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(pollPause) {
		if calls := sending(); calls != 0 {
			t.Fatalf("calls at %d servers after the end", calls)
		}
	}
}

// Guards against a reward call that is sent by a route that isn't in force any more, and against losing an item whose route comes back.
func TestARewardCallWaitsForItsRoute(t *testing.T) {
	d := newDeployment(t, 1)
	body := strings.ReplaceAll(scoredSubmission(2), "/safe/", "/later/")
	d.submit(d.gateways[0], "j1", body)
	d.eventually("the texts are whole", func() bool {
		states, ok := d.gateways[0].jobs.State().([]batchjob.JobState)
		return ok && len(states) == 1 && states[0].Scoring == 4
	})
	if calls := d.rewardCalls(); len(calls) > 0 {
		t.Errorf("%d reward calls without a route", len(calls))
	}
	d.version++
	d.store.Configure(d.version, hostName, "m", []platformtest.Route{
		{Name: "later", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 3 * time.Second},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 10 * time.Second},
	}, map[string][]string{"north": {keyNorth}})
	all := d.readAll(d.gateways[0], "j1", 4)
	d.checkResults(all, 4, streamEvents)
	d.checkScores(all)
}

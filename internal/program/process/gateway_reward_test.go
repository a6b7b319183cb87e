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

// rewardOf returns the ID of an item's reward call.
func rewardOf(item string) string { return "score-" + item }

// scoredSubmission returns a batch job with groups of two items that are scored through the route of idempotent calls.
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

// checkScores checks that each score is the signature of a response to the item's reward call, and that this call reached
// its server after the text was complete.
func (d *deployment) checkScores(all []platformtest.Result) {
	d.t.Helper()
	for _, each := range all {
		if each.State != platformtest.Completed {
			continue
		}
		var generated time.Time
		for _, engine := range d.engines {
			if at, ok := engine.LastEventSentAt(each.ID); ok && (generated.IsZero() || at.Before(generated)) {
				generated = at
			}
		}
		valid := false
		for _, service := range d.services {
			for _, seen := range service.Requests() {
				if seen.ID() == rewardOf(each.ID) && each.Score == platformtest.Signature(service.ID, seen.ID()) {
					valid = valid || seen.ReceivedAt.After(generated)
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
	for _, service := range d.services {
		for _, seen := range service.Requests() {
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
			t.Errorf("a reward call reveals an organisation or a key: %v", call.Header)
		}
	}
}

// Guards against a score that isn't the signature of a complete response to the item's own reward call, and against losing
// an item because of a fault that a second server makes up for.
func TestFailedRewardCallsAreRetried(t *testing.T) {
	for _, fault := range []struct {
		name      string
		behaviour platformtest.Behaviour
	}{
		{name: "refused", behaviour: platformtest.Shed},
		{name: "failed once", behaviour: platformtest.Fail},
		{name: "response lost", behaviour: platformtest.CutConnection},
		{name: "response to another request", behaviour: platformtest.WrongRequest},
		{name: "no signature", behaviour: platformtest.Unsigned},
		{name: "no response", behaviour: platformtest.Hang},
	} {
		t.Run(fault.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			var mu sync.Mutex
			seen := map[string]bool{}
			for _, service := range d.services {
				service.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
					mu.Lock()
					defer mu.Unlock()
					if seen[r.ID()] {
						return platformtest.Answer
					}
					seen[r.ID()] = true
					return fault.behaviour
				})
			}
			d.submit(d.gateways[0], "j1", scoredSubmission(2))
			all := d.readAll(d.gateways[0], "j1", 4)
			d.checkResults(all, 4, streamEvents)
			d.checkScores(all)
		})
	}
}

// Guards against an item whose reward call can't succeed and that keeps its group waiting or a server busy.
func TestItemIsLostIfItsRewardCallAlwaysFails(t *testing.T) {
	d := newDeployment(t, 1)
	for _, service := range d.services {
		service.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
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
		t.Errorf("%d reward calls, want two attempts as the route allows", calls)
	}
}

// Guards against asking servers without end for a score that they refuse.
func TestDeniedRewardCallIsRetriedSlowly(t *testing.T) {
	const watchTime = 1200 * time.Millisecond
	d := newDeployment(t, 1)
	for _, service := range d.services {
		service.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return platformtest.Unprocessable })
	}
	d.submit(d.gateways[0], "j1", scoredSubmission(1))
	d.eventually("items are being scored", func() bool { return len(d.rewardCalls()) >= 2 })
	time.Sleep(watchTime)
	// Two items, each called at once and then again after each pause of half a second.
	if calls := len(d.rewardCalls()); calls > 8 {
		t.Errorf("%d reward calls for two items in %v", calls, watchTime)
	}
}

// Guards against losing scores when the entry that waits for them stops.
func TestAnotherEntryTakesOverScoring(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(t *testing.T, owner *testGateway)
	}{
		{name: "killed", leave: func(_ *testing.T, owner *testGateway) { owner.kill() }},
		{name: "terminated", leave: func(t *testing.T, owner *testGateway) {
			ctx, cancel := context.WithTimeout(t.Context(), gatewayTimeout)
			defer cancel()
			if err := owner.drain(ctx); err != nil {
				t.Error(err)
			}
			owner.kill()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t, 2)
			d.eventually("entries know each other", func() bool { return len(d.gateways[0].gossip.Alive(time.Now())) == 1 })
			var mu sync.Mutex
			silent := true
			for _, service := range d.services {
				service.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour {
					mu.Lock()
					defer mu.Unlock()
					if silent {
						return platformtest.Hang
					}
					return platformtest.Answer
				})
			}
			d.submit(d.gateways[0], "j1", scoredSubmission(2))
			owner, other := d.owner("j1")
			d.eventually("items are being scored", func() bool { return len(d.rewardCalls()) > 0 })
			test.leave(t, owner)
			mu.Lock()
			silent = false
			mu.Unlock()
			all := d.readAll(other, "j1", 4)
			d.checkResults(all, 4, streamEvents)
			d.checkScores(all)
		})
	}
}

// Guards against reward calls that are sent after the end of their job was confirmed. Calls are counted at the entries,
// which hold a slot of the server until it answers. A server may record a call after the end
// although the entry sent and abandoned it before.
func TestNoRewardCallAfterTheJobEnded(t *testing.T) {
	const maxEndTime, watchTime, pollPause = 3 * time.Second, time.Second, 5 * time.Millisecond
	d := newDeployment(t, 2)
	for _, service := range d.services {
		service.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return platformtest.Hang })
	}
	d.submit(d.gateways[0], "j1", scoredSubmission(4))
	owner, _ := d.owner("j1")
	d.eventually("items are being scored", func() bool { return len(d.rewardCalls()) > 0 })
	if got := d.call(d.gateways[1], http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", ""); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	confirmed := time.Now()
	d.eventually("the entry that runs the job has ended it", func() bool {
		states, ok := owner.jobs.State().([]batchjob.JobState)
		return ok && len(states) == 1 && states[0].Ended
	})
	if took := time.Since(confirmed); took > maxEndTime {
		t.Errorf("the job ended %v after the confirmation", took)
	}
	sending := func() int { return len(d.gateways[0].balancer.Running()) + len(d.gateways[1].balancer.Running()) }
	d.eventually("no request runs at the servers", func() bool { return sending() == 0 })
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(pollPause) {
		if calls := sending(); calls != 0 {
			t.Fatalf("calls run at %d servers after the end of the job", calls)
		}
	}
}

// Guards against sending a reward call over a route that is no longer in the configuration, and against losing an item
// whose route returns.
func TestARewardCallWaitsForItsRoute(t *testing.T) {
	d := newDeployment(t, 1)
	body := strings.ReplaceAll(scoredSubmission(2), "/safe/", "/later/")
	d.submit(d.gateways[0], "j1", body)
	d.eventually("the texts are complete", func() bool {
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

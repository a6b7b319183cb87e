package batchjob

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/dispatch"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	placedEvents = 60
	fastInterval = 6 * time.Millisecond
	slowInterval = 25 * time.Millisecond
)

// unevenPool is an entry with a fast server and three slow ones.
type unevenPool struct {
	*Manager
	fast, slow *platformtest.Server
	need       backend.Requirements
	registry   *prometheus.Registry
	mu         sync.Mutex
	lines      bytes.Buffer
}

// Write keeps a log line.
func (p *unevenPool) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines.Write(line)
}

func (p *unevenPool) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines.String()
}

// newUnevenPool returns an entry whose servers have a slot each and differ in speed. Only one slow server can be reached. From the finished
// items that it knows it expects placedEvents events of an item.
func newUnevenPool(ctx context.Context, t *testing.T) *unevenPool {
	t.Helper()
	p := &unevenPool{need: backend.Requirements{Pool: "p", Model: "m", Deferrable: true}, registry: prometheus.NewRegistry()}
	p.fast = platformtest.NewServer(t, "fast", "p", map[string]int{"m": 1})
	p.fast.SetStream(placedEvents, fastInterval)
	p.slow = platformtest.NewServer(t, "slow", "p", map[string]int{"m": 1})
	p.slow.SetStream(placedEvents, slowInterval)
	balancer := backend.NewBalancer("self", "north-a", backend.WithSpeedPlacement())
	servers := []backend.Server{{ID: "fast", Address: p.fast.Address()}, {ID: "slow", Address: p.slow.Address()}, {ID: "slow2"}, {ID: "slow3"}}
	for i := range servers {
		servers[i].Pool, servers[i].AvailabilityZone, servers[i].Slots, servers[i].Models = "p", "north-a", 1, map[string]int{"m": 1}
	}
	now := time.Now()
	balancer.Sync(now, servers)
	for age := 8 * time.Second; age > 0; age -= 150 * time.Millisecond {
		for _, server := range servers {
			interval := slowInterval
			if server.ID == "fast" {
				interval = fastInterval
			}
			balancer.RecordEventInterval(now.Add(-age), server.ID, interval)
		}
	}
	if !balancer.Uneven("p") {
		t.Fatal("the pool doesn't count as uneven")
	}
	p.Manager = NewManager(ctx, Deps{
		Store:    newMemoryStore().client(),
		Balancer: balancer,
		Servers:  exchange.NewClient(),
		Peers:    peer.NewClient(ctx, []byte(testSecret)),
		Members:  fakeMembers{self: "self"},
		Outage:   func(time.Time) bool { return false },
		Demand:   func() batch.Demand { return batch.Demand{} },
		Metrics:  NewMetrics(p.registry),
		Log:      zerolog.New(p),
	}, peer.NewRegistry())
	for range 50 {
		p.lengths.RecordFinished("m", 0, placedEvents)
	}
	// The unreachable servers and, until it is released, the fast one have no free slot.
	for _, id := range []string{"slow2", "slow3", "fast"} {
		p.acquire(t, id)
	}
	return p
}

func (p *unevenPool) acquire(t *testing.T, id string) {
	t.Helper()
	if _, ok := p.balancer.AcquireServer(time.Now(), p.need, id); !ok {
		t.Fatal("no slot at", id)
	}
}

// newPlacedJob returns a job that is not started; its items have the IDs.
func newPlacedJob(id string, items ...string) *job {
	spec := &batch.Job{
		ID: id, Organisation: "north", Accepted: time.Now(),
		Terms:      batch.Terms{Pool: "p", ItemTimeout: time.Hour, ResultDeadline: time.Minute, MaxAttempts: 3},
		Submission: batch.Submission{Model: "m"},
	}
	for _, item := range items {
		spec.Items = append(spec.Items, batch.Item{
			ID: item, Path: "/generate", Group: item, Header: []request.HeaderField{{Name: "X-Model", Value: "m"}},
		})
	}
	return newJob(spec)
}

// waitFor fails the test if the condition isn't met within some seconds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain until", what)
		}
	}
}

// checkSlots fails the test unless only the slots at the unreachable servers are counted.
func (p *unevenPool) checkSlots(t *testing.T) {
	t.Helper()
	waitFor(t, "all slots are released", func() bool {
		running := p.balancer.Running()
		return len(running) == 2 && running["slow2"] == 1 && running["slow3"] == 1
	})
}

// startOnSlow starts the job, whose only item begins at the slow server, and frees the fast server once some events have been received.
func (p *unevenPool) startOnSlow(t *testing.T, j *job) {
	t.Helper()
	p.startJob(j)
	waitFor(t, "the item runs", func() bool { return j.produced("a") >= 8 })
	p.balancer.Release("fast")
}

func (j *job) produced(item string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r, ok := j.runs[item]; ok {
		return r.output.LastEvent
	}
	return 0
}

// Guards against losses in a move: the destination refuses, dies, fails the item or loses its answer after the source was released, the
// text has a gap or a repeated event, a slot stays counted or is released twice, or source and destination run the item at once.
func TestItemMovesToAFasterServer(t *testing.T) {
	for _, test := range []struct {
		name string
		// destination is what the fast server does with the first request.
		destination platformtest.Behaviour
		dead        bool
		outcome     moveOutcome
	}{
		{name: "it answers", destination: platformtest.Answer, outcome: moveResumed},
		{name: "it refuses", destination: platformtest.Shed, outcome: moveRefused},
		{name: "it fails the item", destination: platformtest.Fail, outcome: moveInterrupted},
		{name: "its answer is lost", destination: platformtest.CutConnection, outcome: moveResumed},
		{name: "its answer is lost in an event", destination: platformtest.CutMidEvent, outcome: moveResumed},
		{name: "it sends the last event again", destination: platformtest.RepeatLastEvent, outcome: moveInterrupted},
		{name: "it is dead", dead: true, outcome: moveRefused},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			p := newUnevenPool(ctx, t)
			defer p.Wait()
			defer cancel()
			var both atomic.Bool
			p.fast.SetBehaviour(func(n int, _ platformtest.Request) platformtest.Behaviour {
				if n == 0 {
					both.Store(p.balancer.Running()["slow"] > 0)
					return test.destination
				}
				return platformtest.Answer
			})
			if test.dead {
				dead := backend.Server{ID: "fast", Pool: "p", AvailabilityZone: "north-a", Slots: 1, Models: map[string]int{"m": 1}}
				servers := p.balancer.Servers()
				servers[0] = dead
				p.balancer.Sync(time.Now(), servers)
			}
			j := newPlacedJob("j", "a")
			p.startOnSlow(t, j)
			waitFor(t, "the job is complete", j.finished)
			results, ok := p.awaitResult(j)
			if !ok || results.State != batch.StateCompleted || results.Text != platformtest.OutputText("a", placedEvents) {
				t.Errorf("the item is %s with the text %q", results.State, results.Text)
			}
			if both.Load() {
				t.Error("the destination was called while the item ran at the source")
			}
			p.checkSlots(t)
			if !p.countedMove(t, test.outcome) {
				t.Errorf("no move counted as %s", test.outcome)
			}
			if !strings.Contains(p.log(), `"outcome":"moved"`) {
				t.Error("the end of the former run isn't logged as a move")
			}
			if moves := strings.Count(p.log(), `"item moved"`); moves < 1 || moves > 3 || !strings.Contains(p.log(), `"from":"slow","to":"fast"`) {
				t.Errorf("%d moves logged:\n%s", moves, p.log())
			}
		})
	}
}

// countedMove reports whether a move to a faster server was counted with the outcome.
func (p *unevenPool) countedMove(t *testing.T, result moveOutcome) bool {
	t.Helper()
	families, err := p.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			labels := fmt.Sprint(metric.GetLabel())
			if family.GetName() == "oleandershelf_batch_moves_total" && strings.Contains(labels, string(moveFaster)) && strings.Contains(labels, string(result)) {
				return true
			}
		}
	}
	return false
}

// awaitResult returns the first result of a complete job.
func (p *unevenPool) awaitResult(j *job) (batch.Result, bool) {
	_, results, ok := j.resultsFrom(time.Now().Add(-time.Hour), 0, 1<<20)
	if !ok || len(results) == 0 {
		return batch.Result{}, false
	}
	return results[0], true
}

// Guards against a slot that stays acquired if the item no longer needs it: the job ends during the move, or the run had ended already.
func TestMoveThatIsNotCarriedOutReleasesItsSlot(t *testing.T) {
	for _, result := range []outcome{outcomeCompleted, outcomeImpossible, outcomeFailed, outcomeVersionMismatch, outcomeMoved} {
		t.Run(result.String(), func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			p := newUnevenPool(ctx, t)
			defer p.Wait()
			defer cancel()
			p.balancer.Release("fast")
			j := newPlacedJob("j", "a")
			p.acquire(t, "slow")
			j.mu.Lock()
			r := p.newRunLocked(j, j.progress.Item("a"), backend.Server{ID: "slow"})
			_, r.cancel = context.WithCancelCause(ctx)
			j.mu.Unlock()
			p.balancer.Release("slow")
			if p.moveItem(j, moveAction("a", "slow", "slow")) == nil {
				t.Error("the item moves to the server on which it runs")
			}
			p.acquire(t, "slow")
			action := moveAction("a", "slow", "fast")
			if p.moveItem(j, action) != nil || p.moveItem(j, action) == nil {
				t.Fatal("the item doesn't move, or moves twice")
			}
			if result == outcomeMoved {
				j.end()
			}
			p.balancer.Release("slow")
			if next := p.continueMove(ctx, r, result); next != nil {
				t.Error("the item moved")
			}
			p.checkSlots(t)
			if p.moveItem(j, action) == nil {
				t.Error("an item moves that doesn't run")
			}
		})
	}
}

// Guards against moves from slow servers, in other pools, that are neither counted nor logged, or twice, and against a cancelled move to a
// faster server that is taken for one.
func TestMoveFromASlowServerIsReportedOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := newTestManager(ctx, newMemoryStore().client(), fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	j := newPlacedJob("j", "a")
	start := func(server string) *itemRun {
		j.mu.Lock()
		defer j.mu.Unlock()
		return m.newRunLocked(j, j.progress.Item("a"), backend.Server{ID: server})
	}
	r := start("slow")
	r.slowInterval = slowInterval
	r.applyOutcome(outcomeMoved)
	r = start("other")
	if r.move == nil || r.move.reason != moveSlow || r.move.from != "slow" || r.move.intervalFrom != slowInterval {
		t.Errorf("the move is %+v", r.move)
	}
	r.next = &destination{}
	r.applyOutcome(outcomeMoved)
	if r = start("third"); r.move != nil {
		t.Errorf("a move that was not made is reported: %+v", r.move)
	}
}

// Guards against two jobs that both take the one free slot, and against the loss of the item that doesn't get it.
func TestTwoJobsAndOneFreeSlot(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newUnevenPool(ctx, t)
	defer p.Wait()
	defer cancel()
	p.slow.SetStream(3, time.Millisecond)
	j, other := newPlacedJob("j", "a"), newPlacedJob("other", "b")
	p.startJob(j)
	p.startJob(other)
	for end := time.Now().Add(10 * time.Second); !j.finished() || !other.finished(); time.Sleep(time.Millisecond) {
		if running := p.balancer.Running()["slow"]; running > 1 || time.Now().After(end) {
			t.Fatalf("%d requests at a server with a slot", running)
		}
	}
	p.balancer.Release("fast")
	p.checkSlots(t)
}

// Guards against a text that is discarded: an item of a job that allows a single weight version must not move to a server with another one,
// and the slot there must not stay free for it.
func TestItemOfSingleVersionStays(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newUnevenPool(ctx, t)
	defer p.Wait()
	defer cancel()
	servers := p.balancer.Servers()
	servers[0].Models = map[string]int{"m": 2}
	p.balancer.Sync(time.Now(), servers)
	// Only a short output is expected of b, so that a gains more by the fast server.
	for range 50 {
		p.lengths.RecordFinished("m", 10, 10)
	}
	j := newPlacedJob("j", "a", "b")
	j.spec.SingleVersion = true
	j.spec.Items[1].ExpectedTokens = 10
	p.startOnSlow(t, j)
	released := time.Now()
	waitFor(t, "the job is complete", j.finished)
	if got := fmt.Sprint(len(p.slow.Requests()), len(p.fast.Requests())); got != "1 1" {
		t.Fatalf("requests at the slow and the fast server: %s", got)
	}
	if ended, _ := p.slow.LastEventSentAt("a"); p.fast.Requests()[0].ReceivedAt.Sub(released) > ended.Sub(released)/2 {
		t.Error("the fast server was idle while an item waited")
	}
}

// Guards against a data race between the ranking of a job's items and the acceptance of the job, which changes the due time.
func TestRankingDuringAcceptance(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := newTestManager(ctx, newMemoryStore().client(), fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	j := newPlacedJob("j", "a")
	stored := *j.spec
	stored.Accepted = j.spec.Accepted.Add(time.Second)
	m.mu.Lock()
	m.early = newEarlyJobs(nil)
	m.early.jobs[j.spec.ID], j.settled = j, make(chan struct{})
	m.mu.Unlock()
	started, ranked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ranked)
		close(started)
		for range 2000 {
			m.rank(time.Now(), j, &placer{}, nil)
		}
	}()
	<-started
	time.Sleep(time.Millisecond)
	if !m.join(j, &stored) {
		t.Error("the job isn't accepted")
	}
	<-ranked
}

// Guards against items that stay on an engine which turns faulty-slow in an uneven pool before enough items have finished for planned moves.
func TestItemLeavesAFaultyServerOfAnUnevenPool(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newUnevenPool(ctx, t)
	defer p.Wait()
	defer cancel()
	p.slow.SetStream(placedEvents, 8*slowInterval)
	j := newPlacedJob("j", "a")
	// No length of an output of this model is known, so that no move is planned.
	j.spec.Model = "other"
	servers := p.balancer.Servers()
	for i := range servers {
		servers[i].Models = map[string]int{"m": 1, "other": 1}
	}
	p.balancer.Sync(time.Now(), servers)
	p.startJob(j)
	waitFor(t, "the item runs", func() bool { return j.produced("a") >= 1 })
	p.balancer.Release("fast")
	waitFor(t, "the job is complete", j.finished)
	if results, ok := p.awaitResult(j); !ok || results.Text != platformtest.OutputText("a", placedEvents) {
		t.Errorf("the item has the text %q", results.Text)
	}
	if !strings.Contains(p.log(), `"reason":"slow"`) {
		t.Errorf("no move from a slow server is logged:\n%s", p.log())
	}
}

// Guards against a ranking that is renewed at each end of a run, though only an item that waits again is missing in it.
func TestOnlyAWaitingItemMakesTheRankingStale(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := newTestManager(ctx, newMemoryStore().client(), fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	for result, want := range map[outcome]bool{outcomeCompleted: false, outcomeImpossible: false, outcomeInterrupted: true, outcomeRefused: true} {
		j := newPlacedJob("j", "a", "b")
		j.mu.Lock()
		r := m.newRunLocked(j, j.progress.Item("a"), backend.Server{ID: "slow"})
		j.mu.Unlock()
		r.applyOutcome(result)
		if j.rankingStale != want {
			t.Errorf("%v: the ranking is stale: %v, want %v", result, j.rankingStale, want)
		}
	}
}

// Guards against lines about items without their group, and against an interval of 0 where the speed of the server isn't known.
func TestLinesOfItemsNameTheGroup(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newUnevenPool(ctx, t)
	defer p.Wait()
	defer cancel()
	p.slow.SetStream(3, time.Millisecond)
	j := newPlacedJob("j", "a")
	p.startJob(j)
	waitFor(t, "the job is complete", j.finished)
	p.logStart(&itemRun{job: j, item: &j.spec.Items[0], move: &move{from: "slow", reason: moveSlow, intervalFrom: slowInterval}}, 0)
	for _, line := range strings.Split(strings.TrimSpace(p.log()), "\n") {
		if strings.Contains(line, `"item":`) && !strings.Contains(line, `"group":"a"`) {
			t.Errorf("no group in %s", line)
		}
	}
	if log := p.log(); !strings.Contains(log, `"item moved"`) || strings.Contains(log, "intervalTo") {
		t.Errorf("an unknown interval is logged:\n%s", log)
	}
}

func moveAction(item, from, to string) dispatch.Action {
	return dispatch.Action{Item: item, From: from, To: to, Remaining: 40, IntervalFrom: slowInterval, IntervalTo: fastInterval}
}

package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/core/readiness"
)

// engineList returns servers e0 to e7 with 8 slots each.
func engineList() []Server {
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: fmt.Sprintf("e%d", i), Pool: "engines", AvailabilityZone: "near", Slots: 8, Started: now, Models: map[string]int{"m": 3}})
	}
	return list
}

// newSpeedBalancer returns a balancer with speed placement that has observed its servers for 6 s, and the time. The interval returns that of
// each server.
func newSpeedBalancer(interval func(server int) time.Duration, options ...Option) (*Balancer, time.Time) {
	balancer := NewBalancer("self", "near", options...)
	balancer.Sync(now, engineList())
	at := now
	for range 24 {
		at = at.Add(250 * time.Millisecond)
		for i := range 8 {
			balancer.RecordEventInterval(at, fmt.Sprintf("e%d", i), interval(i))
		}
	}
	return balancer, at
}

// fastIsSix makes server e6 twice as fast as the others.
func fastIsSix(server int) time.Duration {
	if server == 6 {
		return 26 * time.Millisecond
	}
	return 57 * time.Millisecond
}

func usual(int) time.Duration { return 50 * time.Millisecond }

// Guards against a choice that ignores the speed of servers in an uneven pool, or that uses it in other pools or while the setting is off.
func TestAcquireUsesSpeedInUnevenPoolsOnly(t *testing.T) {
	for _, test := range []struct {
		name     string
		interval func(int) time.Duration
		options  []Option
		setup    func(b *Balancer, at time.Time)
		want     []string
	}{
		{name: "off", interval: fastIsSix, want: []string{"e0", "e1", "e2"}},
		{name: "equal servers", interval: usual, options: []Option{WithSpeedPlacement()}, want: []string{"e0", "e1", "e2"}},
		{name: "equal servers with reports", interval: usual, options: []Option{WithSpeedPlacement()}, want: []string{"e0", "e1", "e2"},
			setup: func(b *Balancer, at time.Time) { b.RecordLoad(at, "e0", LoadReport{Slowdown: 2.5}) }},
		{name: "uneven servers", interval: fastIsSix, options: []Option{WithSpeedPlacement()}, want: []string{"e6", "e6", "e6"}},
		{name: "fast server that is slow at the moment", interval: fastIsSix, options: []Option{WithSpeedPlacement()}, want: []string{"e0", "e1", "e2"},
			setup: func(b *Balancer, at time.Time) { b.RecordLoad(at, "e6", LoadReport{Slowdown: 2.5}) }},
		{name: "fast server that refused", interval: fastIsSix, options: []Option{WithSpeedPlacement()}, want: []string{"e0", "e1", "e2"},
			setup: func(b *Balancer, at time.Time) { b.RecordRefusal(at, "e6") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			balancer, at := newSpeedBalancer(test.interval, test.options...)
			if test.setup != nil {
				test.setup(balancer, at)
			}
			var got []string
			for range test.want {
				server, _ := balancer.Acquire(at, Requirements{Pool: "engines", Model: "m", Deferrable: true})
				got = append(got, server.ID)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a restart, after which the balancer knows nothing of the new run, and against streams on slow servers of an uneven pool that
// all move at once because the median of the intervals that happen to be known is that of the fast servers.
func TestShouldMoveInUnevenPools(t *testing.T) {
	balancer, at := newSpeedBalancer(fastIsSix, WithSpeedPlacement())
	if !balancer.Uneven("engines") || balancer.Uneven("other") {
		t.Fatal("unevenness not found")
	}
	for interval, want := range map[time.Duration]bool{57 * time.Millisecond: false, 90 * time.Millisecond: false, 140 * time.Millisecond: true} {
		if got := balancer.ShouldMove("e0", interval); got != want {
			t.Errorf("%v: got %v", interval, got)
		}
	}
	list := engineList()
	list[6].Started = now.Add(time.Second)
	balancer.Sync(at, list)
	if estimate, ok := balancer.Estimate(at, "e6"); !ok || estimate.Samples != 0 || estimate.Lasting != 1 {
		t.Errorf("restarted server: %+v, %v", estimate, ok)
	}
}

// Guards against requests on servers that Acquire would not choose: every check must apply to the list of candidates, and again to a
// candidate that is acquired later.
func TestCandidatesPassTheChecksOfAcquire(t *testing.T) {
	need := Requirements{Pool: "engines", Model: "m", MinVersion: 3, Deferrable: true, ReservedSlots: 2}
	for _, test := range []struct {
		name  string
		need  func(*Requirements)
		setup func(b *Balancer, at time.Time)
		// free is the number of free slots of e1; 0 if it must not be listed.
		free int
	}{
		{name: "free", free: 6},
		{name: "running requests", free: 2, setup: func(b *Balancer, _ time.Time) { b.RecordPeerRequests(map[string]int{"e1": 4}) }},
		{name: "reported requests", free: 1, setup: func(b *Balancer, at time.Time) { b.RecordLoad(at, "e1", LoadReport{Running: 4, Waiting: 1}) }},
		{name: "reserved slots", setup: func(b *Balancer, _ time.Time) { b.RecordPeerRequests(map[string]int{"e1": 6}) }},
		{name: "reported full", setup: func(b *Balancer, at time.Time) { b.RecordLoad(at, "e1", LoadReport{Running: 8}) }},
		{name: "refused", setup: func(b *Balancer, at time.Time) { b.RecordRefusal(at, "e1") }},
		{name: "excluded", need: func(n *Requirements) { n.Exclude = map[string]bool{"e1": true} }},
		{name: "other regions", need: func(n *Requirements) { n.Regions = []string{"elsewhere"} }},
		{name: "newer weights", need: func(n *Requirements) { n.MinVersion = 4 }},
		{name: "other pool", need: func(n *Requirements) { n.Pool = "desk" }},
		{name: "evacuated", setup: func(b *Balancer, at time.Time) {
			b.SetConditions(at, readiness.Conditions{Evacuated: map[string]bool{"near": true}, Revision: 1})
		}},
		{name: "draining", setup: func(b *Balancer, at time.Time) {
			list := engineList()
			list[1].Draining = true
			b.Sync(at, list)
		}},
		{name: "cold", setup: func(b *Balancer, at time.Time) {
			b.SetConditions(at, readiness.Conditions{Limits: map[string]readiness.Limit{"engines": {PerSecond: 1, Duration: time.Minute}}})
			list := engineList()
			list[1].Started, list[1].ColdLeft, list[1].Revision = at, time.Minute, 2
			b.Sync(at, list)
		}},
		{name: "ejected", setup: func(b *Balancer, at time.Time) {
			for range 20 {
				b.RecordFailure(at, "e1")
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			balancer, at := newSpeedBalancer(fastIsSix, WithSpeedPlacement())
			need := need
			if test.need != nil {
				test.need(&need)
			}
			if test.setup != nil {
				test.setup(balancer, at)
			}
			free := 0
			for _, candidate := range balancer.Candidates(at, need) {
				if candidate.Server.ID == "e1" {
					free = candidate.Free
				}
			}
			if free != test.free {
				t.Errorf("%d free slots, want %d", free, test.free)
			}
			acquired := 0
			for range 10 {
				if _, ok := balancer.AcquireServer(at, need, "e1"); ok {
					acquired++
				}
			}
			if acquired != test.free || balancer.Running()["e1"] != test.free {
				t.Errorf("acquired %d slots and counted %d, want %d", acquired, balancer.Running()["e1"], test.free)
			}
		})
	}
}

// Guards against a freed slot that stays unused as long as a load report counts: a request that ended since then no longer takes a slot, but
// never fewer count than this entry and the others are known to run.
func TestReleaseFreesAReportedSlot(t *testing.T) {
	need := Requirements{Pool: "engines", Model: "m", Deferrable: true}
	balancer, at := newSpeedBalancer(fastIsSix, WithSpeedPlacement())
	free := func() int {
		for _, candidate := range balancer.Candidates(at, need) {
			if candidate.Server.ID == "e1" {
				return candidate.Free
			}
		}
		return 0
	}
	for range 3 {
		if _, ok := balancer.AcquireServer(at, need, "e1"); !ok {
			t.Fatal("no slot")
		}
	}
	balancer.RecordLoad(at, "e1", LoadReport{Running: 8})
	if got := free(); got != 0 {
		t.Fatalf("%d slots free at a full server", got)
	}
	balancer.Release("e1")
	if got := free(); got != 1 {
		t.Errorf("%d slots free after a release, want 1", got)
	}
	if _, ok := balancer.AcquireServer(at, need, "e1"); !ok || free() != 0 {
		t.Errorf("the freed slot isn't taken once: acquired %v, %d free", ok, free())
	}
	balancer.RecordPeerRequests(map[string]int{"e1": 6})
	balancer.Release("e1")
	if got := free(); got != 0 {
		t.Errorf("%d slots free while 8 requests are known to run", got)
	}
}

// Guards against a list of candidates that begins the trial of an ejected server, which would then get no request.
func TestCandidatesBeginNoTrial(t *testing.T) {
	balancer, at := newSpeedBalancer(usual, WithSpeedPlacement())
	for range 20 {
		balancer.RecordFailure(at, "e1")
	}
	need := Requirements{Pool: "engines", Model: "m", Deferrable: true}
	at = at.Add(time.Minute)
	for range 3 {
		if got := len(balancer.Candidates(at, need)); got != 8 {
			t.Fatalf("%d candidates", got)
		}
	}
	if _, ok := balancer.AcquireServer(at, need, "e1"); !ok {
		t.Error("the trial was refused")
	}
	if _, ok := balancer.AcquireServer(at, need, "e1"); ok {
		t.Error("a second request was sent during the trial")
	}
}

func BenchmarkCandidates(b *testing.B) {
	balancer, at := newSpeedBalancer(fastIsSix, WithSpeedPlacement())
	var list []Server
	for i := range 50 {
		list = append(list, Server{ID: fmt.Sprintf("e%d", i), Pool: "engines", AvailabilityZone: "near", Slots: 8, Started: now, Models: map[string]int{"m": 3}})
	}
	balancer.Sync(at, list)
	b.ReportAllocs()
	for b.Loop() {
		balancer.Candidates(at, Requirements{Pool: "engines", Model: "m", Deferrable: true})
	}
}

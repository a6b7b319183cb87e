package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0).UTC()

// newState returns the state of a pool with n servers of eight slots, each of which runs the given number of requests.
func newState(n, running int) State {
	s := State{Pool: "p", MinServers: 1, MaxServers: 100, StartupTime: time.Minute}
	for i := range n {
		s.Servers = append(s.Servers, Server{HostID: fmt.Sprintf("s%03d", i), Running: running, Limit: 8})
	}
	return s
}

// decideRepeatedly takes a decision every two seconds for the given time, and returns the last one.
func decideRepeatedly(now time.Time, s State, duration time.Duration) Decision {
	var d Decision
	for end := now.Add(duration); !now.After(end); now = now.Add(2 * time.Second) {
		d = Decide(now, s)
		s.Memory = d.Memory
	}
	return d
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name     string
		state    State
		change   func(s *State)
		duration time.Duration
		want     Hold
		count    int
	}{
		{name: "the order stays while the load fits", state: newState(10, 7), duration: time.Minute, want: HoldSettled, count: 10},
		{name: "an overload raises the order by at most half", state: newState(10, 8), change: func(s *State) { s.RefusedLoad = 1000 }, count: 15},
		{name: "the order is raised at most to the maximum", state: newState(10, 8), change: func(s *State) { s.RefusedLoad, s.MaxServers = 1000, 12 }, count: 12},
		{name: "the order stays within the stabilisation window", state: newState(10, 1), duration: 50 * time.Second, want: HoldWarmUp, count: 10},
		{name: "the order stays until a server is drained", state: newState(10, 1), duration: 2 * time.Minute, want: HoldDraining, count: 10},
		{name: "the order stays while the host list is stale", state: newState(10, 8), change: func(s *State) { s.RefusedLoad, s.HostListAge = 1000, 6*time.Second }, want: HoldStaleView, count: 10},
		{
			name: "the order stays while load reports are missing", state: newState(10, 8), want: HoldPartialView, count: 10,
			change: func(s *State) {
				s.RefusedLoad = 1000
				for i := range 3 {
					s.Servers[i].ReportAge = -1
				}
			},
		},
		{name: "the order is not lowered below the minimum", state: newState(2, 0), change: func(s *State) { s.MinServers = 2 }, duration: 5 * time.Minute, want: HoldSettled, count: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.change != nil {
				tt.change(&tt.state)
			}
			got := decideRepeatedly(start, tt.state, tt.duration)
			if got.Hold != tt.want || got.Count != tt.count {
				t.Errorf("got hold %q, count %d, need %d; want %q, %d", got.Hold, got.Count, got.Need, tt.want, tt.count)
			}
		})
	}
}

// Guards against mass orders when the host list loses rows in an outage: it suddenly shows a third of the servers, all
// full, and the zone would order many more or stop those not shown. The order must stay until the list has been
// the same for a while.
func TestOrderStaysWhenHostListLosesRows(t *testing.T) {
	s := newState(12, 7)
	s.Memory = Decide(start, s).Memory
	s.Servers = s.Servers[:4]
	for i := range s.Servers {
		s.Servers[i].Running, s.Servers[i].Queued = 8, 1000
	}
	got := decideRepeatedly(start.Add(2*time.Second), s, 20*time.Second)
	if got.Hold != HoldPartialView || got.Count != 12 {
		t.Errorf("got hold %q, count %d, want a partial view at 12", got.Hold, got.Count)
	}
	s.Memory = got.Memory
	if got = decideRepeatedly(start.Add(24*time.Second), s, suspectTime); got.Hold == HoldPartialView {
		t.Error("the shorter list is still not trusted")
	}
}

// Guards against lowering the order twice for one server: the lagging host list still shows a server that was stopped.
// If it counted as idle again, the order would be lowered once more, and a busy server would be stopped.
func TestOrderIsLoweredOncePerStoppedServer(t *testing.T) {
	s := newState(10, 1)
	d := decideRepeatedly(start, s, 2*time.Minute)
	if diff := cmp.Diff([]string{"s000"}, d.Drain); diff != "" {
		t.Fatal(diff)
	}
	s.Memory = d.Memory
	s.Servers[0].Running, s.Servers[0].Draining = 0, true
	now := start.Add(122 * time.Second)
	d = Decide(now, s)
	if diff := cmp.Diff([]string{"s000"}, d.Drained); diff != "" || d.Hold != HoldNone || d.Count != 9 {
		t.Fatalf("got hold %q, count %d, want no hold, 9; drained: %s", d.Hold, d.Count, diff)
	}
	s.Memory = d.Memory
	d = decideRepeatedly(now.Add(2*time.Second), s, time.Minute)
	if d.Count != 9 || len(d.Drained) != 0 {
		t.Errorf("count %d, drained %v: the stopped server was counted again", d.Count, d.Drained)
	}
	if len(d.Drain) != 1 || d.Drain[0] == "s000" {
		t.Errorf("draining %v, want one other server", d.Drain)
	}
}

func TestRaisingTheOrderEndsDraining(t *testing.T) {
	s := newState(10, 1)
	s.Memory = decideRepeatedly(start, s, 2*time.Minute).Memory
	s.RefusedLoad = 5000
	if d := Decide(start.Add(122*time.Second), s); len(d.Drain) != 0 || d.Count <= 10 {
		t.Errorf("draining %v, count %d, want no draining and more than 10", d.Drain, d.Count)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 2200} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := newState(n, 4)
			for i := 0; b.Loop(); i++ {
				s.Memory = Decide(start.Add(time.Duration(i)*2*time.Second), s).Memory
			}
		})
	}
}

// Guards against a new lease holder that stops running servers: the platform's answer was cut short, so that the first
// decision had no host list and assumed an order of zero. When the next list showed four servers, the one that
// was needed counted as an increase, and the order for one stopped three servers without draining them.
func TestStaleViewAtFirstDecisionIsForgotten(t *testing.T) {
	withoutList := State{Pool: "p", MinServers: 1, MaxServers: 100, StartupTime: time.Minute, HostListAge: time.Hour}
	withList := newState(4, 1)
	withList.Memory = Decide(start, withoutList).Memory
	d := Decide(start.Add(2*time.Second), withList)
	if d.Hold == HoldNone || d.Count != 4 {
		t.Errorf("hold %q, count %d, want a hold at 4", d.Hold, d.Count)
	}
}

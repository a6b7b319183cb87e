package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0).UTC()

// state is a zone of n servers of eight slots, each with so many requests running.
func state(n, running int) State {
	s := State{Pool: "p", MinServers: 1, MaxServers: 100, StartupTime: time.Minute}
	for i := range n {
		s.Servers = append(s.Servers, Server{HostID: fmt.Sprintf("s%03d", i), Running: running, Limit: 8})
	}
	return s
}

// decide takes decisions each two seconds over a time; drained servers that are told so are idle.
func decide(now time.Time, s State, over time.Duration) Decision {
	var d Decision
	for end := now.Add(over); !now.After(end); now = now.Add(2 * time.Second) {
		d = Decide(now, s)
		s.Memory = d.Memory
	}
	return d
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		state  State
		change func(s *State)
		over   time.Duration
		want   Hold
		count  int
	}{
		{name: "a load that fits is left alone", state: state(10, 7), over: time.Minute, want: HoldSettled, count: 10},
		{name: "a full pool is raised by half at most", state: state(10, 8), change: func(s *State) { s.Refused = 1000 }, count: 15},
		{name: "up to the maximum", state: state(10, 8), change: func(s *State) { s.Refused, s.MaxServers = 1000, 12 }, count: 12},
		{name: "nothing goes down before the hold time", state: state(10, 1), over: 50 * time.Second, want: HoldWarmUp, count: 10},
		{name: "nor before the drain is over", state: state(10, 1), over: 2 * time.Minute, want: HoldDraining, count: 10},
		{name: "nothing on a stale view", state: state(10, 8), change: func(s *State) { s.Refused, s.ViewAge = 1000, 6*time.Second }, want: HoldStaleView, count: 10},
		{
			name: "nothing on a view with gaps", state: state(10, 8), want: HoldPartialView, count: 10,
			change: func(s *State) {
				s.Refused = 1000
				for i := range 3 {
					s.Servers[i].ReportAge = -1
				}
			},
		},
		{name: "the minimum", state: state(2, 0), change: func(s *State) { s.MinServers = 2 }, over: 5 * time.Minute, want: HoldSettled, count: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.change != nil {
				tt.change(&tt.state)
			}
			got := decide(start, tt.state, tt.over)
			if got.Hold != tt.want || got.Count != tt.count {
				t.Errorf("got hold %q, count %d, need %d; want %q, %d", got.Hold, got.Count, got.Need, tt.want, tt.count)
			}
		})
	}
}

// The host list of a region in trouble suddenly shows a third of the servers, all full. Taken at its
// word, the zone would order many more, or give up those not shown. Nothing may be ordered until the
// list has stayed so for a while.
func TestListLosesRows(t *testing.T) {
	s := state(12, 7)
	s.Memory = Decide(start, s).Memory
	s.Servers = s.Servers[:4]
	for i := range s.Servers {
		s.Servers[i].Running, s.Servers[i].Queued = 8, 1000
	}
	got := decide(start.Add(2*time.Second), s, 20*time.Second)
	if got.Hold != HoldPartialView || got.Count != 12 {
		t.Errorf("got hold %q, count %d", got.Hold, got.Count)
	}
	s.Memory = got.Memory
	if got = decide(start.Add(24*time.Second), s, suspectTime); got.Hold == HoldPartialView {
		t.Error("the list is never believed again")
	}
}

// A zone goes down while the lagging list still shows the server that was stopped. Counted again as
// idle, it would be taken out of the order a second time, and a server that works would be stopped.
func TestLoweredOnceForEachServer(t *testing.T) {
	s := state(10, 1)
	d := decide(start, s, 2*time.Minute)
	if diff := cmp.Diff([]string{"s000"}, d.Drain); diff != "" {
		t.Fatal(diff)
	}
	s.Memory = d.Memory
	s.Servers[0].Running, s.Servers[0].Draining = 0, true
	now := start.Add(122 * time.Second)
	d = Decide(now, s)
	if diff := cmp.Diff([]string{"s000"}, d.Drained); diff != "" || d.Hold != HoldNone || d.Count != 9 {
		t.Fatalf("hold %q, count %d %s", d.Hold, d.Count, diff)
	}
	s.Memory = d.Memory
	d = decide(now.Add(2*time.Second), s, time.Minute)
	if d.Count != 9 || len(d.Drained) != 0 {
		t.Errorf("count %d, drained %v: the stopped server was counted again", d.Count, d.Drained)
	}
	if len(d.Drain) != 1 || d.Drain[0] == "s000" {
		t.Errorf("drains %v, want the next server", d.Drain)
	}
}

func TestRaiseEndsTheDrain(t *testing.T) {
	s := state(10, 1)
	s.Memory = decide(start, s, 2*time.Minute).Memory
	s.Refused = 5000
	if d := Decide(start.Add(122*time.Second), s); len(d.Drain) != 0 || d.Count <= 10 {
		t.Errorf("drains %v, count %d", d.Drain, d.Count)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 2200} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := state(n, 4)
			for i := 0; b.Loop(); i++ {
				s.Memory = Decide(start.Add(time.Duration(i)*2*time.Second), s).Memory
			}
		})
	}
}

// Callers wait in line although four servers ran a moment ago: a new holder's first look falls on a host list that
// was never read, since the platform's answer was cut short. The four that the next list shows were not
// ordered by it, so the one that is needed looked like one more, and the order for one stopped three without a drain.
func TestFirstViewThatIsStaleIsForgotten(t *testing.T) {
	unread := State{Pool: "p", MinServers: 1, MaxServers: 100, StartupTime: time.Minute, ViewAge: time.Hour}
	whole := state(4, 1)
	whole.Memory = Decide(start, unread).Memory
	d := Decide(start.Add(2*time.Second), whole)
	if d.Hold == HoldNone || d.Count != 4 {
		t.Errorf("hold %q, count %d, want a hold at 4", d.Hold, d.Count)
	}
}

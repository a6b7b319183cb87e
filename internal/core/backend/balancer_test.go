package backend

import (
	"testing"
	"time"
)

var now = time.Unix(1_700_000_000, 0)

func servers() []Server {
	return []Server{
		{ID: "a", Pool: "desk", AvailabilityZone: "far", Slots: 2, Started: now},
		{ID: "b", Pool: "desk", AvailabilityZone: "near", Slots: 2, Started: now},
		{ID: "c", Pool: "desk", AvailabilityZone: "far", Slots: 2, Started: now},
		{ID: "e1", Pool: "engines", AvailabilityZone: "near", Slots: 2, Started: now, Models: map[string]int{"m": 3}},
		{ID: "e2", Pool: "engines", AvailabilityZone: "far", Slots: 2, Started: now, Models: map[string]int{"m": 4}},
	}
}

func newTestBalancer() *Balancer {
	balancer := NewBalancer("self", "near")
	balancer.Sync(now, servers())
	return balancer
}

// acquire returns the ID of the chosen server, or an empty string if there is none.
func acquire(balancer *Balancer, need Requirements) string {
	server, ok := balancer.Acquire(now, need)
	if !ok {
		return ""
	}
	return server.ID
}

func TestAcquire(t *testing.T) {
	desk := Requirements{Pool: "desk"}
	for _, test := range []struct {
		name  string
		setup func(*Balancer)
		need  Requirements
		want  string
	}{
		{name: "server in the same zone among equals", need: desk, want: "b"},
		{name: "less loaded server in another zone", setup: func(b *Balancer) { acquire(b, desk) }, need: desk, want: "a"},
		{name: "excluded server", need: Requirements{Pool: "desk", Exclude: map[string]bool{"b": true}}, want: "a"},
		{name: "pool without servers", need: Requirements{Pool: "none"}},
		{name: "server that just refused is last", setup: func(b *Balancer) { b.RecordRefusal(now, "b") }, need: desk, want: "a"},
		{name: "unreachable server is last", setup: func(b *Balancer) { b.RecordConnectionFailure(now, "b", true) }, need: desk, want: "a"},
		{name: "reported load", setup: func(b *Balancer) { b.RecordLoad(now, "b", LoadReport{Running: 1, Waiting: 1}) }, need: desk, want: "a"},
		{name: "outdated load report", setup: func(b *Balancer) { b.RecordLoad(now.Add(-time.Minute), "b", LoadReport{Running: 2}) }, need: desk, want: "b"},
		{name: "requests of other entries", setup: func(b *Balancer) { b.RecordPeerRequests(map[string]int{"b": 2}) }, need: desk, want: "a"},
		{name: "new enough weights", need: Requirements{Pool: "engines", Model: "m", MinVersion: 4}, want: "e2"},
		{
			name:  "weights shown by an answer",
			setup: func(b *Balancer) { b.RecordVersion("e1", "m", 4) },
			need:  Requirements{Pool: "engines", Model: "m", MinVersion: 4},
			want:  "e1",
		},
		{
			name:  "server that has answered, though busier",
			setup: func(b *Balancer) { b.RecordLoad(now, "c", LoadReport{Running: 1}) },
			need:  Requirements{Pool: "desk", PreferAnswering: true},
			want:  "c",
		},
		{
			name:  "server whose streams bring events",
			setup: func(b *Balancer) { b.RecordEventInterval(now, "c", time.Second) },
			need:  Requirements{Pool: "desk", PreferAnswering: true},
			want:  "c",
		},
		{
			name:  "server that answered a while ago",
			setup: func(b *Balancer) { b.RecordLoad(now.Add(-answerTTL), "c", LoadReport{}) },
			need:  Requirements{Pool: "desk", PreferAnswering: true},
			want:  "b",
		},
		{
			name:  "server that has answered and has no free slot",
			setup: func(b *Balancer) { b.RecordLoad(now, "c", LoadReport{}); b.RecordPeerRequests(map[string]int{"c": 2}) },
			need:  Requirements{Pool: "desk", PreferAnswering: true, Deferrable: true},
			want:  "b",
		},
		{name: "weights that no server has", need: Requirements{Pool: "engines", Model: "m", MinVersion: 5}},
		{
			name:  "work that can wait avoids full servers",
			setup: func(b *Balancer) { b.RecordPeerRequests(map[string]int{"e1": 2, "e2": 2}) },
			need:  Requirements{Pool: "engines", Model: "m", Deferrable: true},
		},
		{
			name:  "work that can wait avoids servers that refused",
			setup: func(b *Balancer) { b.RecordRefusal(now, "e1") },
			need:  Requirements{Pool: "engines", Model: "m", Deferrable: true},
			want:  "e2",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			balancer := newTestBalancer()
			if test.setup != nil {
				test.setup(balancer)
			}
			if got := acquire(balancer, test.need); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestDrainingServersGetNoRequests(t *testing.T) {
	balancer := newTestBalancer()
	list := servers()
	for i := range list {
		list[i].Draining = list[i].ID != "c"
	}
	balancer.Sync(now, list)
	if got := acquire(balancer, Requirements{Pool: "desk"}); got != "c" {
		t.Errorf("got %q", got)
	}
}

// A server that restarts under its old ID has lost its state. Guards against trusting weight versions that its former
// run showed.
func TestRestartedServerLosesVersions(t *testing.T) {
	balancer := newTestBalancer()
	balancer.RecordVersion("e1", "m", 9)
	list := servers()
	list[3].Started = now.Add(time.Second)
	balancer.Sync(now, list)
	if got := acquire(balancer, Requirements{Pool: "engines", Model: "m", MinVersion: 9}); got != "" {
		t.Errorf("got %q", got)
	}
}

// An engine refuses everything while it loads weights. Guards against items that are retried at once, which made up
// more than half of all requests: the backoff must grow with each consecutive refusal, and an accepted request must
// reset it.
func TestRefusalBackoffGrows(t *testing.T) {
	balancer := newTestBalancer()
	need := Requirements{Pool: "engines", Model: "m", MinVersion: 4, Deferrable: true}
	at := now
	for _, backoff := range []time.Duration{minRefusalBackoff, 2 * minRefusalBackoff, 4 * minRefusalBackoff, maxRefusalBackoff} {
		balancer.RecordRefusal(at, "e2")
		if _, ok := balancer.Acquire(at.Add(backoff-time.Millisecond), need); ok {
			t.Errorf("chosen again before %v", backoff)
		}
		at = at.Add(backoff)
		if _, ok := balancer.Acquire(at, need); !ok {
			t.Errorf("not chosen again after %v", backoff)
		}
		balancer.Release("e2")
	}
	balancer.RecordAcceptance("e2")
	balancer.RecordRefusal(at, "e2")
	if _, ok := balancer.Acquire(at.Add(minRefusalBackoff), need); !ok {
		t.Error("an accepted request did not reset the backoff")
	}
}

func TestReleaseFreesASlot(t *testing.T) {
	balancer := newTestBalancer()
	need := Requirements{Pool: "engines", Model: "m", MinVersion: 4, Deferrable: true}
	acquire(balancer, need)
	acquire(balancer, need)
	if got := acquire(balancer, need); got != "" {
		t.Errorf("a third request got %q", got)
	}
	changed := balancer.Changed()
	balancer.Release("e2")
	select {
	case <-changed:
	default:
		t.Error("the channel was not closed")
	}
	if got := acquire(balancer, need); got != "e2" {
		t.Errorf("got %q", got)
	}
}

// Two of nine engines become four times slower while they run the longest items of a step. Guards against streams
// that stay there: the step would take as long as its items do on the slow engines.
func TestShouldMove(t *testing.T) {
	balancer := NewBalancer("self", "near")
	var list []Server
	for _, id := range []string{"a", "b", "c", "d"} {
		list = append(list, Server{ID: id, Pool: "p", Slots: 12, Models: map[string]int{"m": 1}})
	}
	balancer.Sync(now, list)
	if balancer.ShouldMove("a", time.Second) {
		t.Error("counted as slow without other servers to compare with")
	}
	for _, id := range []string{"b", "c", "d"} {
		for range 50 {
			balancer.RecordEventInterval(now, id, 40*time.Millisecond)
		}
	}
	for _, test := range []struct {
		name     string
		interval time.Duration
		want     bool
	}{
		{name: "usual", interval: 40 * time.Millisecond},
		{name: "full", interval: 60 * time.Millisecond},
		{name: "slow", interval: 110 * time.Millisecond, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := balancer.ShouldMove("a", test.interval); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// Guards against requests that are sent one after another to a server whose answers have no end: it must be chosen last, for longer with each
// such answer.
func TestInvalidAnswerBackoffGrows(t *testing.T) {
	balancer := newTestBalancer()
	need := Requirements{Pool: "engines", Model: "m", MinVersion: 4, Deferrable: true}
	at := now
	for _, backoff := range []time.Duration{minInvalidBackoff, 2 * minInvalidBackoff, 4 * minInvalidBackoff, 8 * minInvalidBackoff, maxInvalidBackoff, maxInvalidBackoff} {
		balancer.RecordInvalidAnswer(at, "e2")
		balancer.RecordRefusal(at, "e2")
		balancer.RecordConnectionFailure(at, "e2", false)
		if _, ok := balancer.Acquire(at.Add(backoff-time.Millisecond), need); ok {
			t.Errorf("chosen again before %v", backoff)
		}
		at = at.Add(backoff)
	}
	if _, ok := balancer.Acquire(at, need); !ok {
		t.Errorf("not chosen again after the backoff")
	}
	balancer.Release("e2")
	at = at.Add(invalidAnswerMemory)
	balancer.RecordInvalidAnswer(at, "e2")
	if _, ok := balancer.Acquire(at.Add(minInvalidBackoff), need); !ok {
		t.Error("the backoff after a long time without invalid answers is not the first one")
	}
}

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

func newTestBook() *Book {
	book := NewBook("self", "near")
	book.Sync(servers())
	return book
}

// acquire returns the id of the chosen server, or nothing.
func acquire(book *Book, need Need) string {
	server, ok := book.Acquire(now, need)
	if !ok {
		return ""
	}
	return server.ID
}

func TestAcquire(t *testing.T) {
	desk := Need{Pool: "desk"}
	for _, test := range []struct {
		name  string
		setup func(*Book)
		need  Need
		want  string
	}{
		{name: "near among equals", need: desk, want: "b"},
		{name: "an emptier one elsewhere", setup: func(b *Book) { acquire(b, desk) }, need: desk, want: "a"},
		{name: "not again", need: Need{Pool: "desk", Avoid: map[string]bool{"b": true}}, want: "a"},
		{name: "no server of the pool", need: Need{Pool: "none"}},
		{name: "one that just refused goes last", setup: func(b *Book) { b.Refused(now, "b") }, need: desk, want: "a"},
		{name: "one that can't be reached goes last", setup: func(b *Book) { b.Unreachable(now, "b") }, need: desk, want: "a"},
		{name: "a load that the server reports", setup: func(b *Book) { b.Reported(now, "b", 2) }, need: desk, want: "a"},
		{name: "an old report", setup: func(b *Book) { b.Reported(now.Add(-time.Minute), "b", 2) }, need: desk, want: "b"},
		{name: "what others run there", setup: func(b *Book) { b.Others(map[string]int{"b": 2}) }, need: desk, want: "a"},
		{name: "weights new enough", need: Need{Pool: "engines", Model: "m", MinVersion: 4}, want: "e2"},
		{name: "weights that an answer showed", setup: func(b *Book) { b.Shows("e1", "m", 4) }, need: Need{Pool: "engines", Model: "m", MinVersion: 4}, want: "e1"},
		{name: "weights that nobody has", need: Need{Pool: "engines", Model: "m", MinVersion: 5}},
		{name: "work that can wait stays off full servers", setup: func(b *Book) { b.Others(map[string]int{"e1": 2, "e2": 2}) }, need: Need{Pool: "engines", Model: "m", Within: true}},
		{name: "and off servers that refused", setup: func(b *Book) { b.Refused(now, "e1") }, need: Need{Pool: "engines", Model: "m", Within: true}, want: "e2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			book := newTestBook()
			if test.setup != nil {
				test.setup(book)
			}
			if got := acquire(book, test.need); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestDrainingServersGetNothing(t *testing.T) {
	book := newTestBook()
	list := servers()
	for i := range list {
		list[i].Draining = list[i].ID != "c"
	}
	book.Sync(list)
	if got := acquire(book, Need{Pool: "desk"}); got != "c" {
		t.Errorf("got %q", got)
	}
}

// A server that starts again under its id has lost what it knew; versions seen in answers of its former run don't hold any more.
func TestARestartedServerIsAnotherOne(t *testing.T) {
	book := newTestBook()
	book.Shows("e1", "m", 9)
	list := servers()
	list[3].Started = now.Add(time.Second)
	book.Sync(list)
	if got := acquire(book, Need{Pool: "engines", Model: "m", MinVersion: 9}); got != "" {
		t.Errorf("got %q", got)
	}
}

// An engine refuses everything while it loads weights. Items that came back at once made up more than half of all requests; the
// pause grows with each refusal in a row, and an answer ends it.
func TestRefusalsInARowPutAServerOffLonger(t *testing.T) {
	book := newTestBook()
	need := Need{Pool: "engines", Model: "m", MinVersion: 4, Within: true}
	at := now
	for _, pause := range []time.Duration{refusedTime, 2 * refusedTime, 4 * refusedTime, refusedMost} {
		book.Refused(at, "e2")
		if _, ok := book.Acquire(at.Add(pause-time.Millisecond), need); ok {
			t.Errorf("asked again before %v", pause)
		}
		at = at.Add(pause)
		if _, ok := book.Acquire(at, need); !ok {
			t.Errorf("not asked again after %v", pause)
		}
		book.Release("e2")
	}
	book.Accepted("e2")
	book.Refused(at, "e2")
	if _, ok := book.Acquire(at.Add(refusedTime), need); !ok {
		t.Error("an answer did not end the row")
	}
}

func TestReleaseFreesAPlace(t *testing.T) {
	book := newTestBook()
	need := Need{Pool: "engines", Model: "m", MinVersion: 4, Within: true}
	acquire(book, need)
	acquire(book, need)
	if got := acquire(book, need); got != "" {
		t.Errorf("a third request got %q", got)
	}
	changed := book.Changed()
	book.Release("e2")
	select {
	case <-changed:
	default:
		t.Error("nobody was told")
	}
	if got := acquire(book, need); got != "e2" {
		t.Errorf("got %q", got)
	}
}

// Two of nine engines turn four times slower while they run the longest items of a step. Without leaving them the step would take
// as long as the items do there.
func TestMoves(t *testing.T) {
	book := NewBook("self", "near")
	var list []Server
	for _, id := range []string{"a", "b", "c", "d"} {
		list = append(list, Server{ID: id, Pool: "p", Slots: 12, Models: map[string]int{"m": 1}})
	}
	book.Sync(list)
	if book.Moves("a", time.Second) {
		t.Error("slow compared with nothing")
	}
	for _, id := range []string{"b", "c", "d"} {
		for range 50 {
			book.Pace(id, 40*time.Millisecond)
		}
	}
	for _, test := range []struct {
		name string
		pace time.Duration
		want bool
	}{
		{name: "usual", pace: 40 * time.Millisecond},
		{name: "full", pace: 60 * time.Millisecond},
		{name: "slow", pace: 110 * time.Millisecond, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := book.Moves("a", test.pace); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

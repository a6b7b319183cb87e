package backend

import (
	"slices"
	"testing"
	"time"
)

// Load pattern: four servers of a pool answer reward calls of 200 ms, the others short calls of 25 ms. Guards against avoiding the four as slow,
// which would move the long calls to the next ones.
func TestServersOfLongCallsAreNotSlow(t *testing.T) {
	book := NewBook("self", "near")
	var list []Server
	rewards, short := []string{"a", "b", "c", "d"}, []string{"e", "f", "g", "h", "i"}
	for _, id := range append(slices.Clone(rewards), short...) {
		list = append(list, Server{ID: id, Pool: "desk", Slots: 6, Started: now})
	}
	book.Sync(list)
	at := now
	for range 200 {
		at = at.Add(20 * time.Millisecond)
		for _, id := range rewards {
			book.Called(at, id, "reward", 200*time.Millisecond)
		}
		for _, id := range short {
			book.Called(at, id, "short", 25*time.Millisecond)
		}
	}
	if spared := book.tracker.Spared(); len(spared) > 0 {
		t.Errorf("%v are spared", spared)
	}
	for range 200 {
		at = at.Add(20 * time.Millisecond)
		book.Called(at, "a", "reward", time.Second)
		for _, id := range rewards[1:] {
			book.Called(at, id, "reward", 200*time.Millisecond)
		}
		for _, id := range short {
			book.Called(at, id, "short", 25*time.Millisecond)
		}
	}
	if spared := book.tracker.Spared(); len(spared) != 1 || spared[0] != "a" {
		t.Errorf("%v are spared, and a is five times slower than usual", spared)
	}
}

// Guards against callers who find all places of a pool taken by work that can wait.
func TestWorkThatCanWaitSparesPlaces(t *testing.T) {
	book := newTestBook()
	rewards := Need{Pool: "desk", Within: true, Spare: 1}
	for range 3 {
		if got := acquire(book, rewards); got == "" {
			t.Fatal("refused while places are free")
		}
	}
	if got := acquire(book, rewards); got != "" {
		t.Errorf("took a spared place of %s", got)
	}
	for range 3 {
		if got := acquire(book, Need{Pool: "desk"}); got == "" {
			t.Error("a caller was refused")
		}
	}
}

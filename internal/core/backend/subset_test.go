package backend

import (
	"fmt"
	"testing"
	"time"
)

// largePool returns a book of an entry before so many engines of twelve places.
func largePool(host string, engines int) *Book {
	book := NewBook(host, "near")
	var list []Server
	for i := range engines {
		list = append(list, Server{ID: fmt.Sprintf("engine-%04d", i), Pool: "p", AvailabilityZone: "near", Slots: 12, Started: now, Models: map[string]int{"m": i % 2}})
	}
	book.Sync(list)
	return book
}

// Three hundred entries stand before 2,700 engines. An entry that used them all held 2,400 connections and looked at each engine for
// every request; it must stay with a few as long as these have places, take further ones when they are full, and not the same as others do.
func TestAnEntryStaysWithAFewOfManyServers(t *testing.T) {
	need := Need{Pool: "p", Model: "m", MinVersion: 1, Within: true}
	used := func(host string, requests int) map[string]bool {
		book := largePool(host, 2700)
		servers := map[string]bool{}
		for range requests {
			server, ok := book.Acquire(now, need)
			if !ok {
				t.Fatalf("refused with %d requests", len(servers))
			}
			if server.Models["m"] < need.MinVersion {
				t.Fatalf("%s has old weights", server.ID)
			}
			servers[server.ID] = true
		}
		return servers
	}
	few := used("entry-1", subsetSize*8)
	if len(few) > subsetSize {
		t.Errorf("%d servers used", len(few))
	}
	if many := used("entry-1", subsetSize*12*3); len(many) <= subsetSize {
		t.Errorf("only %d servers used for thrice their places", len(many))
	}
	common := 0
	for id := range used("entry-2", subsetSize*8) {
		if few[id] {
			common++
		}
	}
	if common > subsetSize/4 {
		t.Errorf("two entries share %d of their servers", common)
	}
}

// A full engine among many must not be asked while others have places, wherever these stand in the entry's order.
func TestTheLastPlaceOfAPoolIsFound(t *testing.T) {
	book := largePool("entry-1", 200)
	need := Need{Pool: "p", Model: "m", Within: true}
	for range 200 * 12 {
		if _, ok := book.Acquire(now, need); !ok {
			t.Fatal("refused though a place is free")
		}
	}
	if server, ok := book.Acquire(now, need); ok {
		t.Errorf("%s took more than it has places", server.ID)
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, engines := range []int{9, 45, 2700} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			book := largePool("entry-1", engines)
			need := Need{Pool: "p", Model: "m", Within: true}
			at := now
			for b.Loop() {
				at = at.Add(time.Millisecond)
				if server, ok := book.Acquire(at, need); ok {
					book.Release(server.ID)
				}
			}
		})
	}
}

package process

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

func newTestNews(incarnation uint64) *news {
	book := backend.NewBalancer("self", "north-a")
	book.Sync([]backend.Server{{ID: "e1", Pool: "engines"}, {ID: "e2", Pool: "engines"}})
	n := newNews(&Gateway{
		ledger: usage.NewLedger(),
		book:   book,
		set:    settings.Settings{HostID: "self", UsageWindow: 5 * time.Second},
	}, incarnation)
	n.living = func(time.Time) map[uint64]bool { return map[uint64]bool{1: true, 2: true, 3: true, 4: true} }
	return n
}

// An entry dies a moment after it counted requests, before the holder of the duties heard of them. Its neighbour has a copy, and the holder
// gets it from there; each count goes to each entry once.
func TestCountsReachTheHolderThroughANeighbour(t *testing.T) {
	now := time.Now()
	dead, neighbour, holder := newTestNews(1), newTestNews(2), newTestNews(3)
	dead.CountRequest("north", now)
	dead.CountRequest("north", now)
	at := gossip.Member{HostID: "neighbour", Incarnation: 2}
	beat := gossip.Heartbeat{Counts: dead.counts(now, at)}
	for _, count := range beat.Counts {
		neighbour.gateway.ledger.Merge(count)
	}
	dead.HeartbeatDelivered(at, beat)
	if again := dead.counts(now, at); len(again) != 0 {
		t.Errorf("told again: %v", again)
	}
	dead.CountRequest("north", now)
	if grown := dead.counts(now, at); len(grown) != 1 || grown[0].Amount.Requests != 3 {
		t.Errorf("after another request: %v", grown)
	}
	other := gossip.Member{HostID: "other", Incarnation: 4}
	if copies := neighbour.counts(now, other); len(copies) != 0 {
		t.Errorf("copies go on to others than the holder: %v", copies)
	}
	neighbour.hearHolder(gossip.DutyHolder{HostID: "holder", Version: 7})
	for _, count := range neighbour.counts(now, gossip.Member{HostID: "holder", Incarnation: 3}) {
		holder.gateway.ledger.Merge(count)
	}
	start := usage.WindowStart(now, 5*time.Second)
	if diff := cmp.Diff(map[string]uint64{"north": 2}, holder.gateway.ledger.RequestsInWindow(start)); diff != "" {
		t.Error(diff)
	}
}

// All entries are restarted one after the other while the store is out of reach and no window can be closed. The counts of the first go on
// through runs that never heard of it to the one that reports in the end.
func TestCountsOutliveARestartOfAll(t *testing.T) {
	now := time.Now()
	runs := []*news{newTestNews(1), newTestNews(2), newTestNews(3), newTestNews(4)}
	runs[0].CountRequest("north", now)
	for i, next := range runs[1:] {
		before := runs[i]
		before.living = func(time.Time) map[uint64]bool { return map[uint64]bool{uint64(i + 2): true} }
		for _, count := range before.counts(now, gossip.Member{HostID: "next", Incarnation: uint64(i + 2)}) {
			next.gateway.ledger.Merge(count)
		}
	}
	start := usage.WindowStart(now, 5*time.Second)
	if diff := cmp.Diff(map[string]uint64{"north": 1}, runs[3].gateway.ledger.RequestsInWindow(start)); diff != "" {
		t.Error(diff)
	}
}

// Who holds the duties goes from entry to entry, and old word of it may come after newer.
func TestTheNewestHolderCounts(t *testing.T) {
	n := newTestNews(1)
	for _, holder := range []gossip.DutyHolder{{HostID: "a", Version: 5}, {HostID: "b", Version: 9}, {HostID: "a", Version: 6}} {
		n.hearHolder(holder)
	}
	if diff := cmp.Diff([]string{"b"}, n.DirectRecipients()); diff != "" {
		t.Error(diff)
	}
}

// Each entry tells what it runs at the servers; of 300 entries a beat comes every few milliseconds, and only what it changes may be
// looked at. What an entry doesn't say any more must not count.
func TestWhatOthersRunIsAddedUp(t *testing.T) {
	n := newTestNews(1)
	at := time.Now()
	running := func() map[string]int { return n.gateway.book.TotalRunning() }
	n.note("a", runningThere{at: at, servers: map[string]int{"e1": 3}})
	n.note("b", runningThere{at: at, servers: map[string]int{"e1": 2, "e2": 1}})
	if diff := cmp.Diff(map[string]int{"e1": 5, "e2": 1}, running()); diff != "" {
		t.Error(diff)
	}
	n.note("b", runningThere{at: at, servers: map[string]int{"e2": 4}})
	n.note("a", runningThere{})
	if diff := cmp.Diff(map[string]int{"e2": 4}, running()); diff != "" {
		t.Error(diff)
	}
}

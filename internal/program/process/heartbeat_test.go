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

func newTestHandler(incarnation uint64) *gossipHandler {
	balancer := backend.NewBalancer("self", "north-a")
	balancer.Sync(time.Now(), []backend.Server{{ID: "e1", Pool: "engines"}, {ID: "e2", Pool: "engines"}})
	h := newGossipHandler(&Gateway{
		ledger:   usage.NewLedger(),
		balancer: balancer,
		set:      settings.Settings{HostID: "self", UsageWindow: 5 * time.Second},
	}, incarnation)
	h.aliveIncarnations = func() map[uint64]bool { return map[uint64]bool{1: true, 2: true, 3: true, 4: true} }
	return h
}

// Guards against the loss of counts when an entry dies right after it counted requests, before its heartbeat reached the
// holder of the duties. A neighbour has a copy and sends it to the holder. Each count is sent once to each entry.
func TestCountsReachTheHolderThroughANeighbour(t *testing.T) {
	now := time.Now()
	dead, neighbour, holder := newTestHandler(1), newTestHandler(2), newTestHandler(3)
	dead.CountRequest("north", now)
	dead.CountRequest("north", now)
	at := gossip.Member{HostID: "neighbour", Incarnation: 2}
	heartbeat := gossip.Heartbeat{Counts: dead.counts(now, at)}
	for _, count := range heartbeat.Counts {
		neighbour.gateway.ledger.Merge(count)
	}
	dead.HeartbeatDelivered(at, heartbeat)
	if again := dead.counts(now, at); len(again) != 0 {
		t.Errorf("counts sent again: %v", again)
	}
	dead.CountRequest("north", now)
	if grown := dead.counts(now, at); len(grown) != 1 || grown[0].Amount.Requests != 3 {
		t.Errorf("counts after another request: %v", grown)
	}
	other := gossip.Member{HostID: "other", Incarnation: 4}
	if copies := neighbour.counts(now, other); len(copies) != 0 {
		t.Errorf("copies are sent to an entry that is not the holder: %v", copies)
	}
	neighbour.updateDutyHolder(gossip.DutyHolder{HostID: "holder", Version: 7})
	for _, count := range neighbour.counts(now, gossip.Member{HostID: "holder", Incarnation: 3}) {
		holder.gateway.ledger.Merge(count)
	}
	start := usage.WindowStart(now, 5*time.Second)
	if diff := cmp.Diff(map[string]uint64{"north": 2}, holder.gateway.ledger.RequestsInWindow(start)); diff != "" {
		t.Error(diff)
	}
}

// Guards against the loss of counts when all entries are restarted one after another while the store is unreachable and no
// window can be closed. The counts of the first incarnation are passed on from each incarnation to the next, up
// to the one that reports them.
func TestCountsSurviveARestartOfAllEntries(t *testing.T) {
	now := time.Now()
	handlers := []*gossipHandler{newTestHandler(1), newTestHandler(2), newTestHandler(3), newTestHandler(4)}
	handlers[0].CountRequest("north", now)
	for i, next := range handlers[1:] {
		before := handlers[i]
		before.aliveIncarnations = func() map[uint64]bool { return map[uint64]bool{uint64(i + 2): true} }
		for _, count := range before.counts(now, gossip.Member{HostID: "next", Incarnation: uint64(i + 2)}) {
			next.gateway.ledger.Merge(count)
		}
	}
	start := usage.WindowStart(now, 5*time.Second)
	if diff := cmp.Diff(map[string]uint64{"north": 1}, handlers[3].gateway.ledger.RequestsInWindow(start)); diff != "" {
		t.Error(diff)
	}
}

// The duties move between entries, and an old heartbeat may arrive after a newer one.
func TestNewestDutyHolderWins(t *testing.T) {
	h := newTestHandler(1)
	for _, holder := range []gossip.DutyHolder{{HostID: "a", Version: 5}, {HostID: "b", Version: 9}, {HostID: "a", Version: 6}} {
		h.updateDutyHolder(holder)
	}
	if diff := cmp.Diff([]string{"b"}, h.DirectRecipients()); diff != "" {
		t.Error(diff)
	}
}

// Each entry sends the number of requests that it runs at each server. With 300 entries a heartbeat arrives every few
// milliseconds, so only what it changes is processed. What an entry no longer reports must not be counted.
func TestPeerLoadsAreSummed(t *testing.T) {
	h := newTestHandler(1)
	at := time.Now()
	running := func() map[string]int { return h.gateway.balancer.TotalRunning() }
	h.updatePeerLoad("a", peerLoad{receivedAt: at, servers: map[string]int{"e1": 3}})
	h.updatePeerLoad("b", peerLoad{receivedAt: at, servers: map[string]int{"e1": 2, "e2": 1}})
	if diff := cmp.Diff(map[string]int{"e1": 5, "e2": 1}, running()); diff != "" {
		t.Error(diff)
	}
	h.updatePeerLoad("b", peerLoad{receivedAt: at, servers: map[string]int{"e2": 4}})
	h.updatePeerLoad("a", peerLoad{})
	if diff := cmp.Diff(map[string]int{"e2": 4}, running()); diff != "" {
		t.Error(diff)
	}
}

package backend

import (
	"fmt"
	"testing"
	"time"
)

// newLargePool returns the state of an entry with one pool of that many engines, each with twelve slots.
func newLargePool(host string, engines int) *Balancer {
	balancer := NewBalancer(host, "near")
	var list []Server
	for i := range engines {
		list = append(list, Server{
			ID: fmt.Sprintf("engine-%04d", i), Pool: "p", AvailabilityZone: "near", Slots: 12, Started: now, Models: map[string]int{"m": i % 2},
		})
	}
	balancer.Sync(now, list)
	return balancer
}

// Three hundred entries share 2,700 engines. An entry that used all of them held 2,400 connections and examined
// each engine for every request. Guards against that: an entry must stay with a few engines while these have free
// slots, use more when they are full, and not use the same ones as other entries.
func TestEntryUsesASubsetOfServers(t *testing.T) {
	need := Requirements{Pool: "p", Model: "m", MinVersion: 1, Deferrable: true}
	used := func(host string, requests int) map[string]bool {
		balancer := newLargePool(host, 2700)
		servers := map[string]bool{}
		for range requests {
			server, ok := balancer.Acquire(now, need)
			if !ok {
				t.Fatalf("refused with %d servers in use", len(servers))
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
		t.Errorf("only %d servers used for three times the slots of a subset", len(many))
	}
	shared := 0
	for id := range used("entry-2", subsetSize*8) {
		if few[id] {
			shared++
		}
	}
	if shared > subsetSize/4 {
		t.Errorf("two entries share %d of their servers", shared)
	}
}

// Guards against refusing a request, or choosing a full engine, while another one has a free slot, wherever it is in
// the entry's order.
func TestLastFreeSlotIsFound(t *testing.T) {
	balancer := newLargePool("entry-1", 200)
	need := Requirements{Pool: "p", Model: "m", Deferrable: true}
	for range 200 * 12 {
		if _, ok := balancer.Acquire(now, need); !ok {
			t.Fatal("refused although a slot is free")
		}
	}
	if server, ok := balancer.Acquire(now, need); ok {
		t.Errorf("%s was chosen although all slots are taken", server.ID)
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, engines := range []int{9, 45, 2700} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			balancer := newLargePool("entry-1", engines)
			need := Requirements{Pool: "p", Model: "m", Deferrable: true}
			at := now
			for b.Loop() {
				at = at.Add(time.Millisecond)
				if server, ok := balancer.Acquire(at, need); ok {
					balancer.Release(server.ID)
				}
			}
		})
	}
}

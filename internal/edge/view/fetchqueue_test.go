package view

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against several fetches of the same changes: of eight neighbours that announce revisions while a fetch is under way, only the one
// with the newest is asked, and only if the fetch didn't bring that revision.
func TestOneFetchOfAKindAtATime(t *testing.T) {
	neighbour := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
	}
	for _, test := range []struct {
		name    string
		offers  []uint64
		brought uint64
		next    int
	}{
		{name: "the same revision", offers: []uint64{5, 5, 5, 5, 5, 5, 5, 5}, brought: 5, next: -1},
		{name: "newer revisions", offers: []uint64{5, 6, 8, 7, 5, 8, 4, 6}, brought: 5, next: 2},
		{name: "newer revisions that the fetch has brought", offers: []uint64{5, 6, 8, 7}, brought: 8, next: -1},
		{name: "fetch that failed", offers: []uint64{5, 5}, next: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var queue fetchQueue
			now := time.Now()
			started := 0
			for i, revision := range test.offers {
				if queue.begin(now, "servers", offer{from: neighbour(i), revision: revision}) {
					started++
				}
			}
			if started != 1 {
				t.Errorf("%d fetches began at once", started)
			}
			if !queue.begin(now, "config", offer{from: neighbour(0), revision: 1}) {
				t.Error("a fetch of another kind has to wait")
			}
			next, ok := queue.end(now, "servers", test.brought)
			if ok != (test.next >= 0) || ok && next.from != neighbour(test.next) {
				t.Fatalf("next: %+v, %v", next, ok)
			}
			if !ok && !queue.begin(now, "servers", offer{from: neighbour(9), revision: 9}) {
				t.Error("the next announcement has to wait although no fetch is under way")
			}
		})
	}
}

// Guards against an update that waits for an entry that failed after it had announced the update.
func TestSlowFetchDoesNotHoldUpOthers(t *testing.T) {
	var queue fetchQueue
	now := time.Now()
	for i, want := range []bool{true, false, true, false} {
		if i == 2 {
			now = now.Add(fetchPatience)
		}
		if got := queue.begin(now, "config", offer{revision: 5}); got != want {
			t.Errorf("announcement %d: began = %v", i, got)
		}
	}
	if _, more := queue.end(now, "config", 5); more {
		t.Error("a fetched revision is fetched again")
	}
	if _, more := queue.end(now, "config", 5); more {
		t.Error("a fetched revision is fetched again")
	}
	if !queue.begin(now, "config", offer{revision: 6}) {
		t.Error("the next revision has to wait")
	}
}

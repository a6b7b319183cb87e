package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// spread returns how long it takes until all running entries have a revision that the given ones have at first. In each step the revision
// passes on over one call only.
func (c *cluster) spread(known map[netip.AddrPort]bool, step, limit time.Duration) time.Duration {
	running, began := len(c.rosters)-len(c.down), c.now
	for ; len(known) < running && c.now.Sub(began) < limit; c.now = c.now.Add(step) {
		var learned []netip.AddrPort
		for address, r := range c.rosters {
			if c.down[address] {
				continue
			}
			for _, due := range r.DueCalls(c.now) {
				other, exists := c.rosters[due.Address]
				if exists && !c.down[due.Address] {
					c.deliver(r, other)
					c.deliver(other, r)
					if known[address] || known[due.Address] {
						learned = append(learned, address, due.Address)
					}
				}
				r.CallEnded(due.Address)
			}
		}
		for _, address := range learned {
			known[address] = true
		}
	}
	return c.now.Sub(began)
}

// spreadTime returns how long it takes until all running entries have a revision that two of them have at first. Those for which down returns
// true have failed a moment before.
func spreadTime(t testing.TB, entries int, down func(i int) bool) time.Duration {
	c := newStableCluster(t, entries)
	for i := range entries {
		if down(i) {
			c.down[member(i).Address] = true
		}
	}
	followers := map[netip.AddrPort]bool{member(0).Address: true, member(1).Address: true}
	return c.spread(followers, 25*time.Millisecond, 10*time.Second)
}

// BenchmarkRevisionSpread measures, in virtual time, how long a revision takes to reach all entries of deployments that are too large for the
// race detector in CI.
//
//	go test ./internal/core/roster -run none -bench RevisionSpread -benchtime 1x
func BenchmarkRevisionSpread(b *testing.B) {
	for _, entries := range []int{1000} {
		for name, down := range map[string]func(i int) bool{
			"calm":        func(int) bool { return false },
			"thirdFailed": func(i int) bool { return i%3 == 2 },
		} {
			b.Run(fmt.Sprintf("%s/entries=%d", name, entries), func(b *testing.B) {
				for range b.N {
					b.ReportMetric(spreadTime(b, entries, down).Seconds(), "virtual-s")
				}
			})
		}
	}
}

// Guards against an evacuation, a withdrawn key or a cold server that some entries learn of late: the entries that follow the store see a
// change, and the others hear of it from their neighbours, of which some may have failed a moment before.
func TestRevisionIsKnownToAllInTime(t *testing.T) {
	for _, test := range []struct {
		name  string
		down  func(i int) bool
		limit time.Duration
	}{
		{name: "calm", down: func(int) bool { return false }, limit: time.Second},
		{name: "a third failed a moment ago", down: func(i int) bool { return i%3 == 2 }, limit: 3 * time.Second},
	} {
		for _, entries := range []int{23, 93, 384} {
			t.Run(fmt.Sprintf("%s, %d entries", test.name, entries), func(t *testing.T) {
				t.Parallel()
				took := spreadTime(t, entries, test.down)
				t.Logf("known to all after %v", took)
				if took > test.limit {
					t.Errorf("known to all after %v, want %v at most", took, test.limit)
				}
			})
		}
	}
}

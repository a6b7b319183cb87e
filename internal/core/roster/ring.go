package roster

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// neighbourUpdateInterval is the time between two determinations of the neighbours while the list changes, and neighbourCheckInterval
	// while it doesn't: then only entries that have been silent for ringTimeout or forgetTimeout affect the neighbours, and each determination
	// sorts the ring.
	neighbourUpdateInterval = Interval / 2
	neighbourCheckInterval  = 5 * neighbourUpdateInterval
)

// updateNeighbours determines the neighbours, and removes entries that were silent for forgetTimeout and updates that have expired.
func (r *Roster) updateNeighbours(now time.Time) {
	pause := neighbourCheckInterval
	if r.ringChanged {
		pause = neighbourUpdateInterval
	}
	if now.Sub(r.neighboursUpdated) < pause {
		return
	}
	r.neighboursUpdated = now
	r.ringChanged = false
	after, before := r.neighbours(now)
	for address, p := range r.peers {
		switch {
		case !p.alive() && now.Sub(p.lastHeard) > forgetTimeout:
			delete(r.peers, address)
			r.invalidate()
		case !after[address] && !before[address]:
			p.neighbourSince = time.Time{}
		case p.neighbourSince.IsZero():
			p.neighbourSince = now
		}
		p.successor = after[address]
	}
	firstKept := slices.IndexFunc(r.recent, func(record *updateRecord) bool { return now.Sub(record.passOnUntil) <= updateLifetime })
	if firstKept < 0 {
		firstKept = len(r.recent)
	}
	for _, record := range r.recent[:firstKept] {
		delete(r.updates, record.update.ID)
	}
	r.recent = slices.Delete(r.recent, 0, firstKept)
}

// neighbours returns the entries that this one calls (after it in the ring) and those that call it (before it).
func (r *Roster) neighbours(now time.Time) (after, before map[netip.AddrPort]bool) {
	ring := r.ring(now)
	index := slices.Index(ring, r.self.Address)
	after, before = map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, distance := range neighbourDistances(len(ring)) {
		after[ring[(index+distance)%len(ring)]] = true
		before[ring[(index-distance+len(ring))%len(ring)]] = true
	}
	return after, before
}

// neighbourDistances returns the distances, in a ring of the given size, from an entry to those that it calls: 1, and two more in a
// geometric progression.
//
// If an entry called the three that follow it, an update would advance three places with each call. With some dozens of entries some would
// learn only after more than a second that another leaves; with hundreds updates would arrive by the anti-entropy calls only.
func neighbourDistances(ringSize int) []int {
	var distances []int
	for i := range neighbourCount {
		distance := int(math.Round(math.Pow(float64(ringSize), float64(i)/neighbourCount)))
		if last := len(distances) - 1; last >= 0 && distance <= distances[last] {
			distance = distances[last] + 1
		}
		if distance < ringSize {
			distances = append(distances, distance)
		}
	}
	return distances
}

// ring returns the addresses of all entries that may be alive, this one included, in an order that is the same at all entries. The order is
// by hash of the host ID, so that neighbours are mostly in different availability zones, and entries that follow each other in other orders
// by the same hash are neighbours.
func (r *Roster) ring(now time.Time) []netip.AddrPort {
	type place struct {
		address netip.AddrPort
		hash    uint64
	}
	places := []place{{r.self.Address, xxhash.Sum64String(r.self.HostID)}}
	for address, p := range r.peers {
		if p.member.HostID != "" && (!p.silent || now.Sub(p.lastHeard) < ringTimeout) {
			places = append(places, place{address, p.ringHash})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), a.address.Compare(b.address))
	})
	ring := make([]netip.AddrPort, 0, len(places))
	for _, p := range places {
		ring = append(ring, p.address)
	}
	return ring
}

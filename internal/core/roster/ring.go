package roster

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// settlePause is how often the neighbours are found out anew.
const settlePause = Interval / 2

// settle finds out who the neighbours are, and forgets entries that are long silent.
func (r *Roster) settle(now time.Time) {
	if now.Sub(r.settled) < settlePause {
		return
	}
	r.settled = now
	after, before := r.neighbours(now)
	for address, k := range r.others {
		switch {
		case !k.alive() && now.Sub(k.heard) > forgetTime:
			delete(r.others, address)
			r.stale()
		case !after[address] && !before[address]:
			k.near = time.Time{}
		case k.near.IsZero():
			k.near = now
		}
		k.after = after[address]
	}
	keep := slices.IndexFunc(r.recent, func(t *told) bool { return now.Sub(t.until) <= newsTime })
	if keep < 0 {
		keep = len(r.recent)
	}
	for _, t := range r.recent[:keep] {
		delete(r.news, t.news.ID)
	}
	r.recent = slices.Delete(r.recent, 0, keep)
}

// neighbours returns the entries after and before this one in the ring of all that may live.
func (r *Roster) neighbours(now time.Time) (after, before map[netip.AddrPort]bool) {
	ring := r.ring(now)
	at := slices.Index(ring, r.self.Address)
	after, before = map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, far := range distances(len(ring)) {
		after[ring[(at+far)%len(ring)]] = true
		before[ring[(at-far+len(ring))%len(ring)]] = true
	}
	return after, before
}

// distances returns how far in a ring of so many the entries stand that one calls: the next one, and two more at distances that grow alike.
//
// Guard: where an entry calls the three that follow it, news comes three places on with each call. Among some dozens of entries some hear
// after more than a second that another leaves, and among hundreds it goes by the calls to others in turn only.
func distances(ring int) []int {
	var found []int
	for i := range neighbours {
		far := int(math.Round(math.Pow(float64(ring), float64(i)/neighbours)))
		if last := len(found) - 1; last >= 0 && far <= found[last] {
			far = found[last] + 1
		}
		if far < ring {
			found = append(found, far)
		}
	}
	return found
}

// ring returns the addresses of all entries that may live, this one included, in one order for all. The order is by hash of the host,
// so that neighbours mostly stand in different availability zones and entries which follow each other in other orders by that hash are
// neighbours.
func (r *Roster) ring(now time.Time) []netip.AddrPort {
	type place struct {
		address netip.AddrPort
		hash    uint64
	}
	places := []place{{r.self.Address, xxhash.Sum64String(r.self.HostID)}}
	for address, k := range r.others {
		if k.member.HostID != "" && (!k.silent || now.Sub(k.heard) < slowFrom) {
			places = append(places, place{address, k.order})
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

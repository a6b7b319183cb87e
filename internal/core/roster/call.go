package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Due is an entry to call now.
type Due struct {
	Address netip.AddrPort
	// Member is the entry as far as it is known.
	Member Member
	// Copies says that the entry is to keep copies of what only this one knows.
	Copies bool
}

// Due returns the entries to call now and marks them as called; Called ends that. Needed are entries that must hear this one directly.
func (r *Roster) Due(now time.Time, needed ...netip.AddrPort) []Due {
	r.settle(now)
	var due []Due
	take := func(k *known) {
		k.calling = true
		k.called = now
		member := k.member
		member.Address = k.address
		due = append(due, Due{Address: k.address, Member: member, Copies: k.after || slices.Contains(needed, k.address)})
	}
	for _, k := range r.others {
		if !k.calling && now.Sub(k.called) >= r.interval(now, k, needed) {
			take(k)
		}
	}
	if far := r.far(); far != nil && now.Sub(r.farCall) >= farInterval {
		r.farCall = now
		take(far)
	}
	slices.SortFunc(due, func(a, b Due) int { return a.Address.Compare(b.Address) })
	return due
}

// never is the interval of entries that are called in turns.
const never = time.Duration(1<<63 - 1)

func (r *Roster) interval(now time.Time, k *known, needed []netip.AddrPort) time.Duration {
	switch {
	case k.member.HostID == "" && now.Sub(r.started) < slowFrom && len(r.Alive()) == 0:
		return seedInterval
	case k.member.HostID == "":
		return metInterval
	case k.after && r.learned.After(k.called):
		return newsInterval
	case k.after:
		return Interval
	case !k.near.IsZero() && k.alive() && now.Sub(k.heard) >= suspectTime:
		return Interval
	case slices.Contains(needed, k.address):
		return min(max(time.Duration(len(r.others))*neededShare, Interval), neededMost)
	default:
		return never
	}
}

// far returns the entry that was called longest ago.
func (r *Roster) far() *known {
	var far *known
	for _, k := range r.others {
		if k.calling || k.member.HostID == "" || k.after {
			continue
		}
		if far == nil || cmp.Or(k.called.Compare(far.called), k.address.Compare(far.address)) < 0 {
			far = k
		}
	}
	return far
}

// Called takes in that a call has ended.
func (r *Roster) Called(address netip.AddrPort) {
	if k, ok := r.others[address]; ok {
		k.calling = false
	}
}

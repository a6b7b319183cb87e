package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// DueCall is an entry to call now.
type DueCall struct {
	Address netip.AddrPort
	// Member is what is known of the entry; only its address is set if the entry is unknown.
	Member Member
	// KeepsCopies reports whether the called entry is to keep copies of this entry's data, such as usage counts.
	KeepsCopies bool
}

// DueCalls returns the entries to call now, sorted by address, and marks each as being called until CallEnded. Direct are the
// addresses of entries that this one must call itself, even if they are not neighbours.
func (r *Roster) DueCalls(now time.Time, direct ...netip.AddrPort) []DueCall {
	r.updateNeighbours(now)
	var due []DueCall
	add := func(p *peerState) {
		p.calling = true
		p.lastCalled = now
		member := p.member
		member.Address = p.address
		due = append(due, DueCall{Address: p.address, Member: member, KeepsCopies: p.successor || slices.Contains(direct, p.address)})
	}
	for _, p := range r.peers {
		if !p.calling && now.Sub(p.lastCalled) >= r.interval(now, p, direct) {
			add(p)
		}
	}
	if target := r.antiEntropyTarget(); target != nil && now.Sub(r.lastAntiEntropy) >= antiEntropyInterval {
		r.lastAntiEntropy = now
		add(target)
	}
	slices.SortFunc(due, func(a, b DueCall) int { return a.Address.Compare(b.Address) })
	return due
}

// never is the interval of entries that are called only as antiEntropyTarget.
const never = time.Duration(1<<63 - 1)

// interval returns the time between two calls to an entry.
func (r *Roster) interval(now time.Time, p *peerState, direct []netip.AddrPort) time.Duration {
	switch {
	case p.member.HostID == "" && now.Sub(r.started) < ringTimeout && len(r.Alive()) == 0:
		return seedInterval
	case p.member.HostID == "":
		return unknownInterval
	case p.successor && r.lastUpdate.After(p.lastCalled):
		return updateInterval
	case p.successor:
		return Interval
	case !p.neighbourSince.IsZero() && p.alive() && now.Sub(p.lastHeard) >= suspectTimeout:
		return Interval
	case slices.Contains(direct, p.address):
		return min(max(time.Duration(len(r.peers))*directIntervalPerEntry, Interval), maxDirectInterval)
	default:
		return never
	}
}

// antiEntropyTarget returns the known entry, other than the successors, that was called longest ago; nil if there is none.
func (r *Roster) antiEntropyTarget() *peerState {
	var target *peerState
	for _, p := range r.peers {
		if p.calling || p.member.HostID == "" || p.successor {
			continue
		}
		if target == nil || cmp.Or(p.lastCalled.Compare(target.lastCalled), p.address.Compare(target.address)) < 0 {
			target = p
		}
	}
	return target
}

// CallEnded records that a call to the address has ended, whether it succeeded or not.
func (r *Roster) CallEnded(address netip.AddrPort) {
	if p, ok := r.peers[address]; ok {
		p.calling = false
	}
}

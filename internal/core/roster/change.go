package roster

import (
	"cmp"
	"slices"
	"time"
)

// DetectFailures marks neighbours as silent that were last heard FailureTimeout ago or earlier, announces that, and returns them sorted
// by host.
//
// A new neighbour gets FailureTimeout from the moment at which it became one. Until then it rarely called this entry, so the time since it
// was last heard may already exceed FailureTimeout. Without this rule it would count as failed at once, and its jobs would run twice.
func (r *Roster) DetectFailures(now time.Time) []Member {
	var failed []Member
	for _, p := range r.peers {
		if !p.alive() || p.neighbourSince.IsZero() || now.Sub(p.lastHeard) < FailureTimeout || now.Sub(p.neighbourSince) < FailureTimeout {
			continue
		}
		p.silent = true
		p.lastChange = now
		r.invalidate()
		r.announce(now, Update{Member: p.member, Silent: true})
		failed = append(failed, p.member)
	}
	slices.SortFunc(failed, func(a, b Member) int { return cmp.Compare(a.HostID, b.HostID) })
	return failed
}

// Change is a change of what this entry knows of another one.
type Change struct {
	// Previous is the member before the change; its HostID is empty if it was unknown.
	Previous Member
	Current  Member
	Silent   bool
}

// EndsPrevious reports whether the previous run has ended or no longer responds.
func (c Change) EndsPrevious() bool {
	return c.Previous.HostID != "" && (c.Silent || c.Previous.Incarnation != c.Current.Incarnation)
}

// StartsLeaving reports whether the previous run has started to leave.
func (c Change) StartsLeaving() bool {
	return c.Previous.HostID != "" && !c.EndsPrevious() && c.Current.Leaving && !c.Previous.Leaving
}

// RecordContact records a call or an answer that came directly from a member, with the digest of the member's list. Updates in the same
// message must be applied first. It returns false if nothing changed. A change is not announced here: the member announces itself, so that
// each change spreads as one update and not as one from each neighbour.
func (r *Roster) RecordContact(now time.Time, member Member, digest uint64) (Change, bool) {
	if member.Address == r.self.Address || !member.Address.IsValid() {
		return Change{}, false
	}
	p := r.peer(now, member.Address)
	member.Leaving = member.Leaving || p.member.Leaving && p.member.Incarnation == member.Incarnation
	change := Change{Previous: p.member, Current: member}
	changed := p.member != member || p.silent
	if changed {
		p.setMember(member)
		p.silent = false
		p.lastChange = now
		r.invalidate()
	}
	p.lastHeard = now
	p.reportedDigest = digest
	p.reportedAt = now
	if digest == r.Digest() {
		p.agreedAt = now
	}
	return change, changed
}

package roster

import (
	"cmp"
	"slices"
	"time"
)

// Judge marks neighbours that fell silent, and returns them.
//
// Guard: an entry that becomes a neighbour was heard last long ago, as all far ones are. It is given AliveTime from then on; judged by its
// last word it would be taken for dead at once, and its jobs would run twice.
func (r *Roster) Judge(now time.Time) []Member {
	var fallen []Member
	for _, k := range r.others {
		if !k.alive() || k.near.IsZero() || now.Sub(k.heard) < AliveTime || now.Sub(k.near) < AliveTime {
			continue
		}
		k.silent = true
		k.changed = now
		r.stale()
		r.tell(now, News{Member: k.member, Silent: true})
		fallen = append(fallen, k.member)
	}
	slices.SortFunc(fallen, func(a, b Member) int { return cmp.Compare(a.HostID, b.HostID) })
	return fallen
}

// Change is a change of what this entry believes of another.
type Change struct {
	// Former is the member's former run; its HostID is empty if there was none.
	Former Member
	Now    Member
	Silent bool
}

// Over says that the former run does nothing any more, or will soon.
func (c Change) Over() bool {
	return c.Former.HostID != "" && (c.Silent || c.Former.Incarnation != c.Now.Incarnation || c.Now.Leaving && !c.Former.Leaving)
}

// Heard takes in that a member was heard directly, with the digest of its list; what it told as news is to be applied first. It returns
// false if nothing changed. The member itself tells that it is there, so that each change is one piece of news and not one of every
// neighbour.
func (r *Roster) Heard(now time.Time, member Member, digest uint64) (Change, bool) {
	if member.Address == r.self.Address || !member.Address.IsValid() {
		return Change{}, false
	}
	k := r.other(now, member.Address)
	member.Leaving = member.Leaving || k.member.Leaving && k.member.Incarnation == member.Incarnation
	change := Change{Former: k.member, Now: member}
	changed := k.member != member || k.silent
	if changed {
		k.become(member)
		k.silent = false
		k.changed = now
		r.stale()
	}
	k.heard = now
	k.digest = digest
	k.digested = now
	if digest == r.Digest() {
		k.agreed = now
	}
	return change, changed
}

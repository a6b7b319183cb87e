package roster

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// updateRecord is an update with the time of the change by this entry's clock.
type updateRecord struct {
	update    Update
	changedAt time.Time
	// passOnUntil is when the update is no longer passed on. It is kept for updateLifetime longer, to recognise delayed copies.
	passOnUntil time.Time
}

// fullList returns all that is known of the entries, this one included.
func (r *Roster) fullList(now time.Time) []Update {
	list := make([]Update, 0, len(r.peers)+1)
	list = append(list, Update{Member: r.self})
	for _, p := range r.peers {
		if p.member.HostID != "" {
			list = append(list, Update{Member: p.member, Silent: p.silent, Age: now.Sub(p.lastChange).Milliseconds()})
		}
	}
	return list
}

// MergeList merges the full list of another entry, and returns what changed. For each member the newer change wins. Changes are not passed
// on as updates: entries that lack them find out by their digests.
func (r *Roster) MergeList(now time.Time, list []Update) []Change {
	var changes []Change
	for _, update := range list {
		if change, changed := r.apply(now, changeTime(now, update), update); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// changeTime returns the time of a change by this entry's clock.
func changeTime(now time.Time, update Update) time.Time {
	return now.Add(-time.Duration(update.Age) * time.Millisecond)
}

// FullListFor returns the full list if the entry at the address needs it, otherwise nil. Right after a change the lists of most entries
// differ for a moment; only an entry that was never sent the list, or that updates didn't bring in line within fullListPause, gets it.
//
// A digest counts only if it was reported within suspectTimeout. Most entries are called once in a minute or two, and the digest that such
// an entry last reported is out of date: without this limit it would be sent the full list although it has learned the changes meanwhile.
func (r *Roster) FullListFor(now time.Time, address netip.AddrPort) []Update {
	p, ok := r.peers[address]
	if !ok || p.reportedDigest == 0 || p.reportedDigest == r.Digest() || now.Sub(p.reportedAt) > suspectTimeout {
		return nil
	}
	if !p.fullListAt.IsZero() && (now.Sub(p.fullListAt) < fullListPause || now.Sub(p.agreedAt) < fullListPause) {
		return nil
	}
	p.fullListAt = now
	return r.fullList(now)
}

// announce starts to spread an update that originates at this entry.
func (r *Roster) announce(now time.Time, update Update) {
	update.ID = rand.Uint64()
	r.addUpdate(now, update, now)
}

// addUpdate stores an update so that it is passed on.
func (r *Roster) addUpdate(now time.Time, update Update, changedAt time.Time) {
	r.lastUpdate = now
	record := &updateRecord{update: update, changedAt: changedAt, passOnUntil: changedAt.Add(updateLifetime)}
	r.updates[update.ID] = record
	r.recent = append(r.recent, record)
}

// PendingUpdates returns the updates to pass on, most recently learned first, at most maxUpdatesPerCall.
func (r *Roster) PendingUpdates(now time.Time) []Update {
	var out []Update
	for _, record := range slices.Backward(r.recent) {
		if len(out) == maxUpdatesPerCall {
			break
		}
		if now.Before(record.passOnUntil) {
			update := record.update
			update.Age = now.Sub(record.changedAt).Milliseconds()
			out = append(out, update)
		}
	}
	return out
}

// ApplyUpdates applies updates from another entry, and passes on those that changed something here. It returns the changes.
func (r *Roster) ApplyUpdates(now time.Time, updates []Update) []Change {
	var changes []Change
	for _, update := range updates {
		if r.updates[update.ID] != nil {
			continue
		}
		changedAt := changeTime(now, update)
		if change, changed := r.apply(now, changedAt, update); changed {
			r.addUpdate(now, update, changedAt)
			changes = append(changes, change)
		}
	}
	return changes
}

// apply applies one update unless a newer change of the member is known.
func (r *Roster) apply(now, changedAt time.Time, update Update) (Change, bool) {
	_, known := r.peers[update.Member.Address]
	switch {
	case !update.Member.Address.IsValid() || update.Silent && !known && update.Member.Address != r.self.Address:
		return Change{}, false
	case update.Member.Address == r.self.Address:
		r.refute(now, update)
		return Change{}, false
	}
	p := r.peer(now, update.Member.Address)
	// A run that has started to leave never returns to normal work, so the update counts however late it arrives.
	leaves := update.Member.Leaving && !p.member.Leaving && p.member.Incarnation == update.Member.Incarnation
	if p.member.HostID != "" && !changedAt.After(p.lastChange) && !leaves {
		return Change{}, false
	}
	if update.Silent {
		return r.applySilent(now, changedAt, p, update.Member)
	}
	return r.applyAlive(changedAt, p, update.Member)
}

// refute announces that this entry is alive if an update says that it is silent. All its neighbours repeat that update in each call for
// seconds, and one announcement answers them all.
func (r *Roster) refute(now time.Time, update Update) {
	if !update.Silent || update.Member.Incarnation != r.self.Incarnation || now.Sub(r.lastRefutation) < FailureTimeout {
		return
	}
	r.lastRefutation = now
	r.announce(now, Update{Member: r.self})
}

// applySilent marks an entry as silent unless this entry has heard of it within FailureTimeout.
func (r *Roster) applySilent(now, changedAt time.Time, p *peerState, member Member) (Change, bool) {
	if !p.alive() || p.member.Incarnation != member.Incarnation || now.Sub(p.lastHeard) < FailureTimeout {
		return Change{}, false
	}
	p.silent = true
	p.lastChange = changedAt
	r.invalidate()
	return Change{Previous: p.member, Current: p.member, Silent: true}, true
}

// applyAlive marks an entry as alive in the given state.
func (r *Roster) applyAlive(changedAt time.Time, p *peerState, member Member) (Change, bool) {
	if p.member.Incarnation != member.Incarnation && p.member.HostID != "" && p.lastHeard.After(changedAt) && !p.silent {
		// The known run was heard after this change, so it is the newer run.
		return Change{}, false
	}
	change := Change{Previous: p.member, Current: member}
	changed := p.member != member || p.silent
	p.lastChange = changedAt
	if changedAt.After(p.lastHeard) {
		p.lastHeard = changedAt
	}
	if changed {
		p.setMember(member)
		p.silent = false
		r.invalidate()
	}
	return change, changed
}

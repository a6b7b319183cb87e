package roster

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// told is news with the time of the change.
type told struct {
	news News
	at   time.Time
	// until is when the news isn't told any more; it is remembered as long again.
	until time.Time
}

// list returns all that is known of the entries.
func (r *Roster) list(now time.Time) []News {
	list := make([]News, 0, len(r.others)+1)
	list = append(list, News{Member: r.self})
	for _, k := range r.others {
		if k.member.HostID != "" {
			list = append(list, News{Member: k.member, Silent: k.silent, Age: now.Sub(k.changed).Milliseconds()})
		}
	}
	return list
}

// Learn takes in the whole list of another entry. Of each member the newer change counts; it isn't passed on, since all who lack
// it hear so by their digests.
func (r *Roster) Learn(now time.Time, list []News) []Change {
	var changes []Change
	for _, news := range list {
		if change, changed := r.apply(now, since(now, news), news); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// since is the time of a change by this entry's clock.
func since(now time.Time, news News) time.Time {
	return now.Add(-time.Duration(news.Age) * time.Millisecond)
}

// ListFor returns the whole list for the entry at the address if its own differs, and nothing otherwise. Right after a change the lists of
// most entries differ for a moment; only one that was never told, or that news didn't bring in line, gets it.
//
// Guard: most entries are called once in a minute or two, and what such a one told last is long out of date. It was sent the whole list
// though it had come to know it meanwhile; now only what it told just before counts.
func (r *Roster) ListFor(now time.Time, address netip.AddrPort) []News {
	k, ok := r.others[address]
	if !ok || k.digest == 0 || k.digest == r.Digest() || now.Sub(k.digested) > suspectTime {
		return nil
	}
	if !k.listed.IsZero() && (now.Sub(k.listed) < listPause || now.Sub(k.agreed) < listPause) {
		return nil
	}
	k.listed = now
	return r.list(now)
}

// tell begins to tell news of this entry's own.
func (r *Roster) tell(now time.Time, news News) {
	news.ID = rand.Uint64()
	r.remember(now, news, now)
}

func (r *Roster) remember(now time.Time, news News, at time.Time) {
	r.learned = now
	t := &told{news: news, at: at, until: at.Add(newsTime)}
	r.news[news.ID] = t
	r.recent = append(r.recent, t)
}

// News returns what is to be told, the last learned first.
func (r *Roster) News(now time.Time) []News {
	var out []News
	for _, t := range slices.Backward(r.recent) {
		if len(out) == newsMost {
			break
		}
		if now.Before(t.until) {
			news := t.news
			news.Age = now.Sub(t.at).Milliseconds()
			out = append(out, news)
		}
	}
	return out
}

// Apply takes in news from another entry, and passes on what was new here. It returns what changed.
func (r *Roster) Apply(now time.Time, all []News) []Change {
	var changes []Change
	for _, news := range all {
		if r.news[news.ID] != nil {
			continue
		}
		at := since(now, news)
		if change, changed := r.apply(now, at, news); changed {
			r.remember(now, news, at)
			changes = append(changes, change)
		}
	}
	return changes
}

func (r *Roster) apply(now, at time.Time, news News) (Change, bool) {
	_, met := r.others[news.Member.Address]
	switch {
	case !news.Member.Address.IsValid() || news.Silent && !met && news.Member.Address != r.self.Address:
		return Change{}, false
	case news.Member.Address == r.self.Address:
		r.refute(now, news)
		return Change{}, false
	}
	k := r.other(now, news.Member.Address)
	// A run that leaves never stays again, so that its leaving counts whenever it comes.
	leaves := news.Member.Leaving && !k.member.Leaving && k.member.Incarnation == news.Member.Incarnation
	if k.member.HostID != "" && !at.After(k.changed) && !leaves {
		return Change{}, false
	}
	if news.Silent {
		return r.applySilence(now, at, k, news.Member)
	}
	return r.applyLife(at, k, news.Member)
}

// refute tells that this entry lives if others take it for dead. All its neighbours say so in each beat for seconds, and one answer
// does for all.
func (r *Roster) refute(now time.Time, news News) {
	if !news.Silent || news.Member.Incarnation != r.self.Incarnation || now.Sub(r.refuted) < AliveTime {
		return
	}
	r.refuted = now
	r.tell(now, News{Member: r.self})
}

// applySilence believes that an entry is silent unless it was heard here meanwhile.
func (r *Roster) applySilence(now, at time.Time, k *known, member Member) (Change, bool) {
	if !k.alive() || k.member.Incarnation != member.Incarnation || now.Sub(k.heard) < AliveTime {
		return Change{}, false
	}
	k.silent = true
	k.changed = at
	r.stale()
	return Change{Former: k.member, Now: k.member, Silent: true}, true
}

func (r *Roster) applyLife(at time.Time, k *known, member Member) (Change, bool) {
	if k.member.Incarnation != member.Incarnation && k.member.HostID != "" && k.heard.After(at) && !k.silent {
		// The run that was heard since then is the newer one.
		return Change{}, false
	}
	change := Change{Former: k.member, Now: member}
	changed := k.member != member || k.silent
	k.changed = at
	if at.After(k.heard) {
		k.heard = at
	}
	if changed {
		k.become(member)
		k.silent = false
		r.stale()
	}
	return change, changed
}

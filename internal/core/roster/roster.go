package roster

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the time between two calls to the same neighbour. Both sides learn from each call; a withdrawn key that one entry
	// knows of is known to 26 others within this time, and to 380 within four times as long.
	Interval = 400 * time.Millisecond
	// newsInterval is the time between two calls to the same neighbour while there is news that it hasn't got from here.
	newsInterval = 100 * time.Millisecond
	// suspectTime is the silence after which a neighbour that should call this entry is called by it: it may know another ring.
	suspectTime = 2 * Interval
	// AliveTime is how long a silent neighbour counts as alive: three calls and a pause of the processor may be lost.
	AliveTime = 1500 * time.Millisecond
	// neighbours is how many entries further on in the ring an entry calls. All must die at once for a death among them to stay
	// unnoticed, and as many before notice it as well.
	neighbours = 3
	// farInterval is the time between two calls to entries that are no neighbours. They mend what news missed, as after a partition.
	farInterval = 500 * time.Millisecond
	// neededShare, times the number of entries, is the time between two calls to an entry that must hear this one directly, so that 140
	// calls a second reach it at most; but at least Interval and at most neededMost, which the holder of the duties waits for counts.
	neededShare = 7 * time.Millisecond
	neededMost  = 2600 * time.Millisecond
	// metInterval is the time between two calls to an address of which nothing is known.
	metInterval = time.Second
	// slowFrom is the silence after which an entry counts no more in the ring; it may be gone for good.
	slowFrom = 5 * time.Second
	// forgetTime is how long a silent entry is called at all.
	forgetTime = 2 * time.Minute
	// listPause is how long news is given to bring two lists in line before a whole list is sent, and the pause between two such lists.
	listPause = 2 * time.Second
	// newsTime is how long a change is told: several times as long as it takes to all.
	newsTime = 6 * time.Second
	// newsMost is how much news goes with one call, of some sixty bytes each. Where more happens at once, as at the start of all, lists do
	// the rest.
	newsMost = 40
)

// known is another entry.
type known struct {
	address netip.AddrPort
	member  Member
	// heard is when the entry was heard last, directly or by the news that it lives; called when it was called last.
	heard, called time.Time
	// near is when the entry became a neighbour, zero while it is none; after says that it stands after this one in the ring.
	near    time.Time
	after   bool
	calling bool
	silent  bool
	// changed is the time of the newest change that is known of it.
	changed time.Time
	// digest is that of the list that the entry has, as it told last, and 0 before; agreed is when it was this one's; listed is
	// when the whole list was last sent there.
	digest         uint64
	agreed, listed time.Time
}

func (k *known) alive() bool { return k.member.HostID != "" && !k.silent }

// renew forgets what the entry was told if it was started anew; it knows nothing, and is told all at its first call.
func (k *known) renew(member Member) {
	if k.member.Incarnation != member.Incarnation {
		k.digest = 0
		k.agreed, k.listed = time.Time{}, time.Time{}
	}
}

// told is news with the time of the change.
type told struct {
	news News
	at   time.Time
	// until is when the news isn't told any more; it is remembered as long again.
	until time.Time
}

// Roster is the list of the other entries. It is not safe for concurrent use.
type Roster struct {
	self   Member
	others map[netip.AddrPort]*known
	news   map[uint64]*told
	// recent holds the news in the order in which it was learned.
	recent []*told
	// learned is when news came last.
	learned time.Time
	// alive is the sorted list of living members, byHost its index and digest its digest; nil if they must be made anew.
	alive   []Member
	byHost  map[string]Member
	digest  uint64
	farCall time.Time
	settled time.Time
}

// New returns a roster of an entry that knows no other and tells that it is there.
func New(now time.Time, self Member) *Roster {
	r := &Roster{self: self, others: map[netip.AddrPort]*known{}, news: map[uint64]*told{}}
	r.tell(now, News{Member: self})
	return r
}

// Self returns this entry.
func (r *Roster) Self() Member { return r.self }

// Leave marks this entry as leaving.
func (r *Roster) Leave(now time.Time) {
	r.self.Leaving = true
	r.stale()
	r.tell(now, News{Member: r.self})
}

// Meet adds addresses at which entries may be.
func (r *Roster) Meet(now time.Time, addresses ...netip.AddrPort) {
	for _, address := range addresses {
		if address.IsValid() && address != r.self.Address {
			r.other(now, address)
		}
	}
}

// other returns the entry at an address, which may be unknown so far.
func (r *Roster) other(now time.Time, address netip.AddrPort) *known {
	k, ok := r.others[address]
	if !ok {
		k = &known{address: address, heard: now, silent: true}
		r.others[address] = k
	}
	return k
}

// Alive returns the other entries that are heard of, sorted by host, leaving ones included. The slice must not be changed.
func (r *Roster) Alive() []Member {
	r.refresh()
	return r.alive
}

// Find returns the entry of that name if it is heard of.
func (r *Roster) Find(hostID string) (Member, bool) {
	r.refresh()
	member, ok := r.byHost[hostID]
	return member, ok
}

// Digest is the same for two entries that know the same list.
func (r *Roster) Digest() uint64 {
	r.refresh()
	return r.digest
}

func (r *Roster) stale() { r.byHost = nil }

func (r *Roster) refresh() {
	if r.byHost != nil {
		return
	}
	r.alive = nil
	r.byHost = map[string]Member{}
	r.digest = r.self.digest()
	for _, k := range r.others {
		if k.alive() {
			r.alive = append(r.alive, k.member)
			r.byHost[k.member.HostID] = k.member
			r.digest ^= k.member.digest()
		}
	}
	slices.SortFunc(r.alive, func(a, b Member) int { return cmp.Compare(a.HostID, b.HostID) })
}

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
// Guard: news came three places on with each call where an entry called the three after it. Of 27 entries some heard after 1.5 s that
// another was leaving, and of 380 it went by the calls to others in turn only.
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
			places = append(places, place{address, xxhash.Sum64String(k.member.HostID)})
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
	k.renew(member)
	k.heard = now
	k.digest = digest
	if digest == r.Digest() {
		k.agreed = now
	}
	if !changed {
		return change, false
	}
	k.member = member
	k.silent = false
	k.changed = now
	r.stale()
	return change, true
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
func (r *Roster) ListFor(now time.Time, address netip.AddrPort) []News {
	k, ok := r.others[address]
	if !ok || k.digest == 0 || k.digest == r.Digest() {
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
		if news.Silent && news.Member.Incarnation == r.self.Incarnation {
			// Others take this entry for dead; it says that it lives.
			r.tell(now, News{Member: r.self})
		}
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
	k.renew(member)
	k.member = member
	k.silent = false
	k.changed = at
	if at.After(k.heard) {
		k.heard = at
	}
	r.stale()
	return change, changed
}

package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the time between two calls to the same neighbour. Both sides learn from each call.
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
	// seedInterval is used instead of metInterval for slowFrom after the start while no other living entry is known.
	seedInterval = 150 * time.Millisecond
	// slowFrom is the silence after which an entry counts no more in the ring; it may be gone for good.
	slowFrom = 5 * time.Second
	// forgetTime is how long a silent entry is called at all.
	forgetTime = 2 * time.Minute
	// listPause is how long news is given to bring two lists in line before a whole list is sent, and the pause between two such lists.
	listPause = 2 * time.Second
	// newsTime is how long a change is told: several times as long as it takes to all.
	newsTime = 6 * time.Second
	// newsMost is how much news goes with one call. Where more happens at once, as at the start of all, lists do
	// the rest.
	newsMost = 40
)

// known is another entry.
type known struct {
	address netip.AddrPort
	// member is set by become only; sum is its part of the digest and order its place in the ring.
	member     Member
	sum, order uint64
	// heard is when the entry was heard last, directly or by the news that it lives; called when it was called last.
	heard, called time.Time
	// near is when the entry became a neighbour, zero while it is none; after says that it stands after this one in the ring.
	near    time.Time
	after   bool
	calling bool
	silent  bool
	// changed is the time of the newest change that is known of it.
	changed time.Time
	// digest is that of the list that the entry has, as it told last, and 0 before; digested is when it told so, agreed when it was this
	// one's, and listed when the whole list was last sent there.
	digest                   uint64
	digested, agreed, listed time.Time
}

// become takes in what the entry is. A run that began anew knows nothing, and is told all at its first call.
func (k *known) become(member Member) {
	if k.member.Incarnation != member.Incarnation {
		k.digest = 0
		k.agreed, k.listed = time.Time{}, time.Time{}
	}
	k.member = member
	k.sum = member.digest()
	k.order = xxhash.Sum64String(member.HostID)
}

func (k *known) alive() bool { return k.member.HostID != "" && !k.silent }

// Roster is the list of the other entries. It is not safe for concurrent use.
type Roster struct {
	self Member
	// started is when the roster was created.
	started time.Time
	others  map[netip.AddrPort]*known
	news    map[uint64]*told
	// recent holds the news in the order in which it was learned.
	recent []*told
	// learned is when news came last, refuted when this entry last told that it lives though others took it for dead.
	learned, refuted time.Time
	// alive is the sorted list of living members and byHost its index, nil if they must be made anew; digest is theirs where digested
	// is set.
	alive    []Member
	byHost   map[string]Member
	digest   uint64
	digested bool
	farCall  time.Time
	settled  time.Time
}

// New returns a roster of an entry that knows no other and tells that it is there.
func New(now time.Time, self Member) *Roster {
	r := &Roster{self: self, started: now, others: map[netip.AddrPort]*known{}, news: map[uint64]*told{}}
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

// Digest is the same for two entries that know the same list. Each beat needs it, so that it doesn't wait for a sorted list.
func (r *Roster) Digest() uint64 {
	if r.digested {
		return r.digest
	}
	r.digested = true
	r.digest = r.self.digest()
	for _, k := range r.others {
		if k.alive() {
			r.digest ^= k.sum
		}
	}
	return r.digest
}

func (r *Roster) stale() {
	r.byHost = nil
	r.digested = false
}

func (r *Roster) refresh() {
	if r.byHost != nil {
		return
	}
	r.alive = nil
	r.byHost = map[string]Member{}
	for _, k := range r.others {
		if k.alive() {
			r.alive = append(r.alive, k.member)
			r.byHost[k.member.HostID] = k.member
		}
	}
	slices.SortFunc(r.alive, func(a, b Member) int { return cmp.Compare(a.HostID, b.HostID) })
}

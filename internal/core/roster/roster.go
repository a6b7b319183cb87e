package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Interval is the time between two calls to the same neighbour. Caller and receiver exchange what they know in each call.
	Interval = 400 * time.Millisecond
	// updateInterval replaces Interval for a neighbour that hasn't been sent the latest update by this entry.
	updateInterval = 100 * time.Millisecond
	// suspectTimeout is the silence after which this entry calls a neighbour that should have called it: the neighbour may see another ring.
	suspectTimeout = 2 * Interval
	// FailureTimeout is how long a neighbour may be silent and still count as alive. It allows for three lost calls and a paused process.
	FailureTimeout = 1500 * time.Millisecond
	// neighbourCount is how many entries further along the ring an entry calls. A failure among them goes unnoticed only if all fail at
	// once, and as many entries before this one detect failures as well.
	neighbourCount = 3
	// MaxFullMesh is how many other living entries there may be so that each one exchanges heartbeats with all of them: those that it calls and
	// those that call it.
	MaxFullMesh = 2 * neighbourCount
	// antiEntropyInterval is the time between two calls to entries that are not successors. These calls repair what updates missed, for
	// example after a partition.
	antiEntropyInterval = 500 * time.Millisecond
	// directIntervalPerEntry times the number of entries is the time between two calls to an entry that must hear from this one directly,
	// so that it receives at most 140 calls a second. The result is at least Interval and at most maxDirectInterval, which is how long the
	// holder of the duties waits for usage counts.
	directIntervalPerEntry = 7 * time.Millisecond
	maxDirectInterval      = 2600 * time.Millisecond
	// unknownInterval is the time between two calls to an address at which no entry is known yet.
	unknownInterval = time.Second
	// seedInterval replaces unknownInterval during the first ringTimeout after the start while no other living entry is known.
	seedInterval = 150 * time.Millisecond
	// ringTimeout is the silence after which an entry is removed from the ring, since it may have failed permanently.
	ringTimeout = 5 * time.Second
	// forgetTimeout is how long a silent entry is still called.
	forgetTimeout = 2 * time.Minute
	// fullListPause is how long updates have to bring two lists in line before a full list is sent, and the pause between two full lists
	// to the same entry.
	fullListPause = 2 * time.Second
	// updateLifetime is how long an update is passed on: several times as long as it takes to reach all entries.
	updateLifetime = 6 * time.Second
	// maxUpdatesPerCall bounds the updates in one call. If more happens at once, as when all entries start together, full lists carry the
	// rest.
	maxUpdatesPerCall = 40
)

// peerState is what this entry knows of another one.
type peerState struct {
	address netip.AddrPort
	// member is set by setMember only; memberDigest is its contribution to the list's digest and ringHash its position in the ring.
	member                 Member
	memberDigest, ringHash uint64
	// lastHeard is when the entry was last known to be alive, from a call or from an update; lastCalled is when this entry last called it.
	lastHeard, lastCalled time.Time
	// neighbourSince is when the entry became a neighbour, zero while it is none; successor is set for neighbours that this entry calls.
	neighbourSince time.Time
	successor      bool
	calling        bool
	silent         bool
	// lastChange is the time of the newest known change of the entry's state.
	lastChange time.Time
	// reportedDigest is the digest that the entry last sent of its own list, 0 if it has sent none. reportedAt is when it sent that,
	// agreedAt when its digest last matched this entry's, and fullListAt when the full list was last sent to it.
	reportedDigest                   uint64
	reportedAt, agreedAt, fullListAt time.Time
}

// setMember replaces the member. A new run of the process has an empty list, so it is sent the full list at its first call.
func (p *peerState) setMember(member Member) {
	if p.member.Incarnation != member.Incarnation {
		p.reportedDigest = 0
		p.agreedAt, p.fullListAt = time.Time{}, time.Time{}
	}
	p.member = member
	p.memberDigest = member.digest()
	p.ringHash = xxhash.Sum64String(member.HostID)
}

func (p *peerState) alive() bool { return p.member.HostID != "" && !p.silent }

// Roster is the membership list of one entry. It is not safe for concurrent use.
type Roster struct {
	self Member
	// started is when the roster was created.
	started time.Time
	peers   map[netip.AddrPort]*peerState
	updates map[uint64]*updateRecord
	// recent holds the updates in the order in which they were learned.
	recent []*updateRecord
	// lastUpdate is when an update was last added, lastRefutation when this entry last announced that it is alive because others
	// considered it failed.
	lastUpdate, lastRefutation time.Time
	// alive is the sorted list of living members, byHost its index, and incarnations those of its members; byHost is nil if they must be
	// rebuilt. All three are replaced as a whole and never changed. digest is valid only if digestValid is set.
	alive        []Member
	byHost       map[string]Member
	incarnations map[uint64]bool
	digest       uint64
	digestValid  bool
	// lastAntiEntropy is when an entry that is not a successor was last called, neighboursUpdated when the neighbours were last determined.
	lastAntiEntropy   time.Time
	neighboursUpdated time.Time
	// ringChanged is set if members have changed since the neighbours were last determined.
	ringChanged bool
}

// New returns a roster that knows no other entry and announces self.
func New(now time.Time, self Member) *Roster {
	r := &Roster{self: self, started: now, peers: map[netip.AddrPort]*peerState{}, updates: map[uint64]*updateRecord{}}
	r.announce(now, Update{Member: self})
	return r
}

// Self returns this entry.
func (r *Roster) Self() Member { return r.self }

// Leave marks this entry as leaving and announces it.
func (r *Roster) Leave(now time.Time) {
	r.self.Leaving = true
	r.invalidate()
	r.announce(now, Update{Member: r.self})
}

// AddAddresses adds addresses at which other entries may be reached. It ignores invalid addresses and this entry's own.
func (r *Roster) AddAddresses(now time.Time, addresses ...netip.AddrPort) {
	for _, address := range addresses {
		if address.IsValid() && address != r.self.Address {
			r.peer(now, address)
		}
	}
}

// peer returns the state of the entry at an address, and adds an empty one if the address is new.
func (r *Roster) peer(now time.Time, address netip.AddrPort) *peerState {
	p, ok := r.peers[address]
	if !ok {
		p = &peerState{address: address, lastHeard: now, silent: true}
		r.peers[address] = p
	}
	return p
}

// Alive returns the other living entries, including leaving ones, sorted by host. The slice is shared: nobody may change it, and the next
// change of the list replaces it.
func (r *Roster) Alive() []Member {
	r.refresh()
	return r.alive
}

// Incarnations returns the incarnations of the other living entries. The map is shared like the slice of Alive.
func (r *Roster) Incarnations() map[uint64]bool {
	r.refresh()
	return r.incarnations
}

// Find returns the living entry with the host ID.
func (r *Roster) Find(hostID string) (Member, bool) {
	r.refresh()
	member, ok := r.byHost[hostID]
	return member, ok
}

// Digest returns a digest of the living members, this entry included; it is the same at two entries that have the same list. It is computed
// without the sorted list because every call carries it.
func (r *Roster) Digest() uint64 {
	if r.digestValid {
		return r.digest
	}
	r.digestValid = true
	r.digest = r.self.digest()
	for _, p := range r.peers {
		if p.alive() {
			r.digest ^= p.memberDigest
		}
	}
	return r.digest
}

// invalidate discards the cached list and digest.
func (r *Roster) invalidate() {
	r.byHost = nil
	r.digestValid = false
	r.ringChanged = true
}

// refresh rebuilds the cached list if it was discarded.
func (r *Roster) refresh() {
	if r.byHost != nil {
		return
	}
	r.alive = make([]Member, 0, len(r.peers))
	r.byHost = make(map[string]Member, len(r.peers))
	r.incarnations = make(map[uint64]bool, len(r.peers))
	for _, p := range r.peers {
		if p.alive() {
			r.alive = append(r.alive, p.member)
			r.byHost[p.member.HostID] = p.member
			r.incarnations[p.member.Incarnation] = true
		}
	}
	slices.SortFunc(r.alive, func(a, b Member) int { return cmp.Compare(a.HostID, b.HostID) })
}

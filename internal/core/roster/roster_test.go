package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func member(i int) Member {
	return Member{
		HostID:      fmt.Sprintf("entry-%03d", i),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		Incarnation: uint64(i + 1),
	}
}

// cluster is a deployment whose entries call each other without a network, in virtual time.
type cluster struct {
	t       testing.TB
	now     time.Time
	rosters map[netip.AddrPort]*Roster
	// down entries neither call nor answer; cut reports whether the network between two entries is partitioned.
	down  map[netip.AddrPort]bool
	cut   func(a, b netip.AddrPort) bool
	calls int
	// changes holds the changes that each entry learned, by its address.
	changes map[netip.AddrPort][]Change
	// lists counts the full lists that were sent, updates the single updates.
	lists, updates int
}

// newCluster starts count entries at once that have the first three as seeds.
func newCluster(t testing.TB, count int) *cluster {
	c := &cluster{
		t: t, now: start, rosters: map[netip.AddrPort]*Roster{}, down: map[netip.AddrPort]bool{},
		cut: func(netip.AddrPort, netip.AddrPort) bool { return false }, changes: map[netip.AddrPort][]Change{},
	}
	for i := range count {
		c.start(member(i))
	}
	return c
}

// newStableCluster returns a cluster that has run for long: all entries know each other, and no update is being passed on.
func newStableCluster(t testing.TB, count int) *cluster {
	c := newCluster(t, count)
	for _, r := range c.rosters {
		for i := range count {
			if m := member(i); m.Address != r.self.Address {
				p := r.peer(c.now, m.Address)
				p.setMember(m)
				p.silent = false
			}
		}
		r.invalidate()
		r.updates, r.recent = map[uint64]*updateRecord{}, nil
	}
	c.run(2 * time.Second)
	clear(c.changes)
	return c
}

func (c *cluster) start(m Member) {
	r := New(c.now, m)
	r.AddAddresses(c.now, member(0).Address, member(1).Address, member(2).Address)
	c.rosters[m.Address] = r
	delete(c.down, m.Address)
}

// deliver passes what a call or its answer carries to the receiver.
func (c *cluster) deliver(from, to *Roster) {
	updates := from.PendingUpdates(c.now)
	c.updates += len(updates)
	c.recordChanges(to, to.ApplyUpdates(c.now, updates)...)
	if list := from.FullListFor(c.now, to.self.Address); len(list) > 0 {
		c.lists++
		c.recordChanges(to, to.MergeList(c.now, list)...)
	}
	if change, changed := to.RecordContact(c.now, from.self, from.Digest()); changed {
		c.recordChanges(to, change)
	}
}

func (c *cluster) recordChanges(r *Roster, changes ...Change) {
	if len(changes) == 0 {
		return
	}
	c.changes[r.self.Address] = append(c.changes[r.self.Address], changes...)
}

// run advances the time by the duration in steps of 100 ms.
func (c *cluster) run(duration time.Duration) {
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
		for address, r := range c.rosters {
			if c.down[address] {
				continue
			}
			for _, due := range r.DueCalls(c.now) {
				to := due.Address
				other, exists := c.rosters[to]
				if exists && !c.down[to] && !c.cut(address, to) {
					c.calls++
					c.deliver(r, other)
					c.deliver(other, r)
				}
				r.CallEnded(to)
			}
			for _, failed := range r.DetectFailures(c.now) {
				c.recordChanges(r, Change{Previous: failed, Current: failed, Silent: true})
			}
		}
	}
}

// converged reports whether each running entry's list holds exactly the other running entries.
func (c *cluster) converged() bool {
	running := len(c.rosters) - len(c.down)
	for address, r := range c.rosters {
		if c.down[address] {
			continue
		}
		if len(r.Alive()) != running-1 {
			return false
		}
		for _, m := range r.Alive() {
			if c.down[m.Address] || c.rosters[m.Address].self.Incarnation != m.Incarnation {
				return false
			}
		}
	}
	return true
}

// requireConvergence runs the cluster until it has converged, and fails the test if that takes longer than limit.
func (c *cluster) requireConvergence(event string, limit time.Duration) {
	c.t.Helper()
	for began := c.now; c.now.Sub(began) < limit; {
		c.run(100 * time.Millisecond)
		if c.converged() {
			return
		}
	}
	c.t.Fatalf("no convergence within %v after %s", limit, event)
}

// Guards against a large deployment whose entries don't find each other within seconds after a common start, and against idle traffic: when
// nothing changes, each entry makes at most ten calls a second, and they carry no list and no update. The traffic budget of the control
// plane leaves a few hundred bytes for each call at this size.
func TestLargeDeploymentConvergesAndIsThenIdle(t *testing.T) {
	c := newCluster(t, 380)
	c.requireConvergence("the start", 8*time.Second)
	c.run(6 * time.Second)
	c.calls, c.lists, c.updates = 0, 0, 0
	clear(c.changes)
	c.run(2 * time.Second)
	if perEntry := float64(c.calls) / 380 / 2; perEntry > 10 {
		t.Errorf("%.1f calls a second by each entry, want at most 10", perEntry)
	}
	if c.lists > 0 || c.updates > 0 || len(c.changes) > 0 {
		t.Errorf("%d lists, %d updates and %d changes while idle, want none", c.lists, c.updates, len(c.changes))
	}
}

// Guards against jobs and usage counts of a failed host that are taken over too late or twice: all entries must learn of the failure within
// FailureTimeout and the time in which an update spreads, and each must learn of it once.
func TestFailureIsKnownToAllInTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		entries int
		failed  int
		limit   time.Duration
	}{
		{name: "one of four", entries: 4, failed: 1, limit: 2500 * time.Millisecond},
		{name: "one of 27", entries: 27, failed: 1, limit: 3 * time.Second},
		{name: "one of 380", entries: 380, failed: 1, limit: 4 * time.Second},
		{name: "a zone of 380", entries: 380, failed: 17, limit: 12 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newStableCluster(t, test.entries)
			for i := range test.failed {
				c.down[member(i+3).Address] = true
			}
			c.requireConvergence("the failure", test.limit)
			for address, changes := range c.changes {
				if len(changes) != test.failed {
					t.Errorf("%s learned %d changes: %+v", address, len(changes), changes)
				}
			}
		})
	}
}

// Guards against an unnoticed restart: a process that fails and is back at once under the same address never counts as silent, but the
// work of its former run is lost, so every entry must learn that the former run has ended.
func TestRestartIsKnownToAll(t *testing.T) {
	c := newCluster(t, 27)
	c.requireConvergence("the start", 8*time.Second)
	c.run(10 * time.Second)
	clear(c.changes)
	restarted := member(5)
	restarted.Incarnation = 999
	c.start(restarted)
	c.requireConvergence("the restart", 5*time.Second)
	for address, changes := range c.changes {
		endings := 0
		for _, change := range changes {
			if change.EndsPrevious() && change.Previous.Incarnation == member(5).Incarnation {
				endings++
			}
		}
		if endings != 1 && address != restarted.Address {
			t.Errorf("%s learned %d times that the former run has ended, want once", address, endings)
		}
	}
}

// Guards against a restarted entry that waits for updates to learn of the others: until it knows them it sends work to none and takes
// nothing over. The answer to its first call must carry the full list.
func TestRestartedEntryGetsFullListAtOnce(t *testing.T) {
	c := newStableCluster(t, 27)
	restarted := member(5)
	restarted.Incarnation = 999
	c.start(restarted)
	c.run(500 * time.Millisecond)
	if alive := len(c.rosters[restarted.Address].Alive()); alive != 26 {
		t.Errorf("the restarted entry knows %d others after half a second, want 26", alive)
	}
}

// Guards against work for a leaving entry: it announces once that it leaves, and all must know within 1.5 s.
func TestLeavingEntryIsKnownToAll(t *testing.T) {
	c := newCluster(t, 27)
	c.requireConvergence("the start", 8*time.Second)
	c.rosters[member(9).Address].Leave(c.now)
	c.run(1500 * time.Millisecond)
	for address, r := range c.rosters {
		if m, ok := r.Find(member(9).HostID); address != member(9).Address && (!ok || !m.Leaving) {
			t.Errorf("%s doesn't know that the entry is leaving", address)
		}
	}
}

// Guards against an entry that stays marked as silent after its process was paused for a few seconds, and against an entry that refutes
// each copy of the update about its failure.
func TestResumedEntryIsAliveAgain(t *testing.T) {
	c := newCluster(t, 27)
	c.requireConvergence("the start", 8*time.Second)
	paused := member(5).Address
	c.down[paused] = true
	c.run(4 * time.Second)
	delete(c.down, paused)
	resumed := c.now.Add(-time.Millisecond)
	c.requireConvergence("the pause", 3*time.Second)
	announcements := 0
	for _, record := range c.rosters[paused].recent {
		if record.update.Member.Address == paused && record.changedAt.After(resumed) {
			announcements++
		}
	}
	if announcements > 2 {
		t.Errorf("the entry announced %d times that it is alive, want at most 2", announcements)
	}
}

// Guards against a partition that never heals: for 30 s each half of the entries marks the other as silent, and when the network is back
// the updates from that time are no longer passed on.
func TestPartitionHeals(t *testing.T) {
	c := newCluster(t, 26)
	c.requireConvergence("the start", 8*time.Second)
	half := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%2 == 0 }
	c.cut = func(a, b netip.AddrPort) bool { return half(a) != half(b) }
	c.run(30 * time.Second)
	c.cut = func(netip.AddrPort, netip.AddrPort) bool { return false }
	c.requireConvergence("the partition", 10*time.Second)
}

// Guards against a living entry that is declared silent as soon as it becomes a neighbour: until then it was known through others only, so
// its last direct contact lies far back.
func TestNewNeighbourHasTimeToRespond(t *testing.T) {
	c := newCluster(t, 40)
	c.requireConvergence("the start", 8*time.Second)
	c.run(20 * time.Second)
	clear(c.changes)
	for i := 3; i < 9; i++ {
		c.down[member(i).Address] = true
	}
	c.run(15 * time.Second)
	for address, changes := range c.changes {
		for _, change := range changes {
			if !c.down[change.Current.Address] {
				t.Errorf("%s considered %s failed", address, change.Current.HostID)
			}
		}
	}
}

func TestDirectEntryIsCalled(t *testing.T) {
	c := newCluster(t, 40)
	c.requireConvergence("the start", 8*time.Second)
	r := c.rosters[member(0).Address]
	direct := member(30).Address
	called := 0
	for range 40 {
		c.now = c.now.Add(100 * time.Millisecond)
		for _, due := range r.DueCalls(c.now, direct) {
			if due.Address == direct && due.KeepsCopies {
				called++
			}
			r.CallEnded(due.Address)
		}
	}
	if called < 2 {
		t.Errorf("called %d times in four seconds, want at least 2", called)
	}
}

func TestAddressWithoutEntryIsForgotten(t *testing.T) {
	r := New(start, member(0))
	r.AddAddresses(start, member(1).Address)
	if due := r.DueCalls(start); len(due) != 1 {
		t.Errorf("due calls %v, want one", due)
	}
	r.CallEnded(member(1).Address)
	if r.DueCalls(start.Add(forgetTimeout + time.Second)); len(r.peers) != 0 {
		t.Errorf("%d addresses are still known", len(r.peers))
	}
}

// Guards against full lists that are sent because of an outdated digest: a digest that differed a minute ago, before the entry learned the
// rest, must not cause one; a digest that differs now must.
func TestOutdatedDigestCausesNoFullList(t *testing.T) {
	r := New(start, member(0))
	r.RecordContact(start, member(1), 42)
	now := start.Add(time.Minute)
	if list := r.FullListFor(now, member(1).Address); list != nil {
		t.Errorf("full list of %d members sent", len(list))
	}
	r.RecordContact(now, member(1), 42)
	if list := r.FullListFor(now, member(1).Address); len(list) != 2 {
		t.Errorf("full list of %d members sent", len(list))
	}
}

// Guards against a start that is delayed by unknownInterval because the seeds were not listening yet at the first call.
func TestNewEntryCallsItsSeedsAgainSoon(t *testing.T) {
	now := time.Now()
	seed := member(2)
	r := New(now, member(1))
	r.AddAddresses(now, seed.Address)
	calls := 0
	for at := now; at.Before(now.Add(ringTimeout)); at = at.Add(50 * time.Millisecond) {
		for _, due := range r.DueCalls(at) {
			calls++
			r.CallEnded(due.Address)
		}
	}
	if limit := int(ringTimeout/seedInterval) + 1; calls < limit-3 || calls > limit {
		t.Errorf("%d calls in the first %v", calls, ringTimeout)
	}
	calls = 0
	for at := now.Add(ringTimeout); at.Before(now.Add(ringTimeout + 10*time.Second)); at = at.Add(50 * time.Millisecond) {
		for _, due := range r.DueCalls(at) {
			calls++
			r.CallEnded(due.Address)
		}
	}
	if calls > 11 {
		t.Errorf("%d calls in the following ten seconds", calls)
	}
}

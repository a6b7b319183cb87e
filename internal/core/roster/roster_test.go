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

// world is a deployment whose entries call each other without a network.
type world struct {
	t       *testing.T
	now     time.Time
	rosters map[netip.AddrPort]*Roster
	// down entries neither call nor answer; cut says whether a call between two can't go through.
	down  map[netip.AddrPort]bool
	cut   func(a, b netip.AddrPort) bool
	calls int
	// changes are those that each entry learned.
	changes map[netip.AddrPort][]Change
	// lists counts whole lists that went over the wire, news single changes.
	lists, news int
}

// newWorld starts so many entries at once that know the first three as seeds.
func newWorld(t *testing.T, count int) *world {
	w := &world{
		t: t, now: start, rosters: map[netip.AddrPort]*Roster{}, down: map[netip.AddrPort]bool{},
		cut: func(netip.AddrPort, netip.AddrPort) bool { return false }, changes: map[netip.AddrPort][]Change{},
	}
	for i := range count {
		w.start(member(i))
	}
	return w
}

// newWarmWorld returns a deployment that has run for long: all know all, and nothing is told any more.
func newWarmWorld(t *testing.T, count int) *world {
	w := newWorld(t, count)
	for _, r := range w.rosters {
		for i := range count {
			if m := member(i); m.Address != r.self.Address {
				k := r.other(w.now, m.Address)
				k.become(m)
				k.silent = false
			}
		}
		r.stale()
		r.news, r.recent = map[uint64]*told{}, nil
	}
	w.run(2 * time.Second)
	clear(w.changes)
	return w
}

func (w *world) start(m Member) {
	r := New(w.now, m)
	r.Meet(w.now, member(0).Address, member(1).Address, member(2).Address)
	w.rosters[m.Address] = r
	delete(w.down, m.Address)
}

// tell is what a call or its answer carries.
func (w *world) tell(from, to *Roster) {
	news := from.News(w.now)
	w.news += len(news)
	w.note(to, to.Apply(w.now, news)...)
	if list := from.ListFor(w.now, to.self.Address); len(list) > 0 {
		w.lists++
		w.note(to, to.Learn(w.now, list)...)
	}
	if change, changed := to.Heard(w.now, from.self, from.Digest()); changed {
		w.note(to, change)
	}
}

func (w *world) note(r *Roster, changes ...Change) {
	if len(changes) == 0 {
		return
	}
	w.changes[r.self.Address] = append(w.changes[r.self.Address], changes...)
}

// run lets time pass in steps of a tenth of a second.
func (w *world) run(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
		for address, r := range w.rosters {
			if w.down[address] {
				continue
			}
			for _, due := range r.Due(w.now) {
				to := due.Address
				other, there := w.rosters[to]
				if there && !w.down[to] && !w.cut(address, to) {
					w.calls++
					w.tell(r, other)
					w.tell(other, r)
				}
				r.Called(to)
			}
			for _, fallen := range r.Judge(w.now) {
				w.note(r, Change{Former: fallen, Now: fallen, Silent: true})
			}
		}
	}
}

// agreed says whether all that run know exactly those that run.
func (w *world) agreed() bool {
	running := len(w.rosters) - len(w.down)
	for address, r := range w.rosters {
		if w.down[address] {
			continue
		}
		if len(r.Alive()) != running-1 {
			return false
		}
		for _, m := range r.Alive() {
			if w.down[m.Address] || w.rosters[m.Address].self.Incarnation != m.Incarnation {
				return false
			}
		}
	}
	return true
}

func (w *world) within(what string, most time.Duration) {
	w.t.Helper()
	for began := w.now; w.now.Sub(began) < most; {
		w.run(100 * time.Millisecond)
		if w.agreed() {
			return
		}
	}
	w.t.Fatalf("not within %v: %s", most, what)
}

// 380 entries start at once. All must know each other within seconds, and then, with nothing to tell, each makes ten calls a second
// that carry no list and no news: what control may take at that size leaves room for a few hundred bytes a call.
func TestManyEntriesMeetAndRest(t *testing.T) {
	w := newWorld(t, 380)
	w.within("all know all", 8*time.Second)
	w.run(6 * time.Second)
	w.calls, w.lists, w.news = 0, 0, 0
	clear(w.changes)
	w.run(2 * time.Second)
	if perEntry := float64(w.calls) / 380 / 2; perEntry > 10 {
		t.Errorf("%.1f calls a second an entry", perEntry)
	}
	if w.lists > 0 || w.news > 0 || len(w.changes) > 0 {
		t.Errorf("%d lists, %d news and %d changes at rest", w.lists, w.news, len(w.changes))
	}
}

// A host dies. Its jobs and its counts of usage must be taken over, so that all entries must know within AliveTime and the rounds in which
// news spreads, and each must hear so once.
func TestADeathIsKnownToAllInTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		entries int
		dead    int
		most    time.Duration
	}{
		{name: "one of four", entries: 4, dead: 1, most: 2500 * time.Millisecond},
		{name: "one of 27", entries: 27, dead: 1, most: 3 * time.Second},
		{name: "one of 380", entries: 380, dead: 1, most: 4 * time.Second},
		{name: "a zone of 380", entries: 380, dead: 17, most: 12 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWarmWorld(t, test.entries)
			for i := range test.dead {
				w.down[member(i+3).Address] = true
			}
			w.within("all know of the death", test.most)
			for address, changes := range w.changes {
				if len(changes) != test.dead {
					t.Errorf("%s heard of %d changes: %+v", address, len(changes), changes)
				}
			}
		})
	}
}

// A process dies and is back at once under the same address. What it ran is gone, and every entry must learn that the former run
// is over although it never fell silent.
func TestARestartIsKnownToAll(t *testing.T) {
	w := newWorld(t, 27)
	w.within("all know all", 8*time.Second)
	w.run(10 * time.Second)
	clear(w.changes)
	again := member(5)
	again.Incarnation = 999
	w.start(again)
	w.within("all know of the new run", 5*time.Second)
	for address, changes := range w.changes {
		over := 0
		for _, change := range changes {
			if change.Over() && change.Former.Incarnation == member(5).Incarnation {
				over++
			}
		}
		if over != 1 && address != again.Address {
			t.Errorf("%s heard %d times that the former run is over", address, over)
		}
	}
}

// An entry that was started again calls a neighbour for the first time, and must hear of all others in its answer: until then it would send
// work to nobody and take nothing over.
func TestARestartedEntryIsToldAllAtOnce(t *testing.T) {
	w := newWarmWorld(t, 27)
	again := member(5)
	again.Incarnation = 999
	w.start(again)
	w.run(500 * time.Millisecond)
	if alive := len(w.rosters[again.Address].Alive()); alive != 26 {
		t.Errorf("it knows of %d others after half a second", alive)
	}
}

// An entry that leaves says so once, and all must stop giving it work within a second or two.
func TestALeavingEntryIsKnownToAll(t *testing.T) {
	w := newWorld(t, 27)
	w.within("all know all", 8*time.Second)
	w.rosters[member(9).Address].Leave(w.now)
	w.run(1500 * time.Millisecond)
	for address, r := range w.rosters {
		if m, ok := r.Find(member(9).HostID); address != member(9).Address && (!ok || !m.Leaving) {
			t.Errorf("%s doesn't know", address)
		}
	}
}

// A process stands still for a few seconds and goes on. It was taken for dead, and all must take it for alive again soon.
func TestAnEntryThatWakesIsAliveAgain(t *testing.T) {
	w := newWorld(t, 27)
	w.within("all know all", 8*time.Second)
	frozen := member(5).Address
	w.down[frozen] = true
	w.run(4 * time.Second)
	delete(w.down, frozen)
	thawed := w.now.Add(-time.Millisecond)
	w.within("all know that it lives", 3*time.Second)
	own := 0
	for _, each := range w.rosters[frozen].recent {
		if each.news.Member.Address == frozen && each.at.After(thawed) {
			own++
		}
	}
	if own > 2 {
		t.Errorf("it told %d times that it lives", own)
	}
}

// A partition parts the entries in two halves for half a minute. Each half takes the other for dead; when it heals both must find each other
// again, although no news of that time is told any more.
func TestHalvesFindEachOther(t *testing.T) {
	w := newWorld(t, 26)
	w.within("all know all", 8*time.Second)
	half := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%2 == 0 }
	w.cut = func(a, b netip.AddrPort) bool { return half(a) != half(b) }
	w.run(30 * time.Second)
	w.cut = func(netip.AddrPort, netip.AddrPort) bool { return false }
	w.within("all know all again", 10*time.Second)
}

// An entry becomes the neighbour of one that it heard of only through others. It must not be taken for dead at once because nobody
// called it here so far.
func TestANewNeighbourIsGivenTime(t *testing.T) {
	w := newWorld(t, 40)
	w.within("all know all", 8*time.Second)
	w.run(20 * time.Second)
	clear(w.changes)
	for i := 3; i < 9; i++ {
		w.down[member(i).Address] = true
	}
	w.run(15 * time.Second)
	for address, changes := range w.changes {
		for _, change := range changes {
			if !w.down[change.Now.Address] {
				t.Errorf("%s took %s for dead", address, change.Now.HostID)
			}
		}
	}
}

func TestAnEntryThatMustHearDirectlyIsCalled(t *testing.T) {
	w := newWorld(t, 40)
	w.within("all know all", 8*time.Second)
	r := w.rosters[member(0).Address]
	needed := member(30).Address
	called := 0
	for range 40 {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, due := range r.Due(w.now, needed) {
			if due.Address == needed && due.Copies {
				called++
			}
			r.Called(due.Address)
		}
	}
	if called < 2 {
		t.Errorf("called %d times in four seconds", called)
	}
}

func TestAddressesOfNobodyAreForgotten(t *testing.T) {
	r := New(start, member(0))
	r.Meet(start, member(1).Address)
	if due := r.Due(start); len(due) != 1 {
		t.Errorf("called %v", due)
	}
	r.Called(member(1).Address)
	if r.Due(start.Add(forgetTime + time.Second)); len(r.others) != 0 {
		t.Errorf("still %d", len(r.others))
	}
}

// An entry that is called in turn told a minute ago that its list differs, and has learned the rest since. Calling it again must not send the
// whole list; telling so again must.
func TestOldWordOfADifferentListIsNoReasonForOne(t *testing.T) {
	r := New(start, member(0))
	r.Heard(start, member(1), 42)
	now := start.Add(time.Minute)
	if list := r.ListFor(now, member(1).Address); list != nil {
		t.Errorf("%d members sent", len(list))
	}
	r.Heard(now, member(1), 42)
	if list := r.ListFor(now, member(1).Address); len(list) != 2 {
		t.Errorf("%d members sent", len(list))
	}
}

// Guards against a start that is delayed by metInterval because its seeds were not listening yet at the first call.
func TestAFreshEntryCallsItsSeedsAgainSoon(t *testing.T) {
	now := time.Now()
	seed := member(2)
	r := New(now, member(1))
	r.Meet(now, seed.Address)
	calls := 0
	for at := now; at.Before(now.Add(slowFrom)); at = at.Add(50 * time.Millisecond) {
		for _, due := range r.Due(at) {
			calls++
			r.Called(due.Address)
		}
	}
	if most := int(slowFrom/seedInterval) + 1; calls < most-3 || calls > most {
		t.Errorf("%d calls in the first %v", calls, slowFrom)
	}
	calls = 0
	for at := now.Add(slowFrom); at.Before(now.Add(slowFrom + 10*time.Second)); at = at.Add(50 * time.Millisecond) {
		for _, due := range r.Due(at) {
			calls++
			r.Called(due.Address)
		}
	}
	if calls > 11 {
		t.Errorf("%d calls in the following ten seconds", calls)
	}
}

package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// object is the lease object in the simulated platform.
type object struct {
	version uint64
	record  Record
	exists  bool
}

func (o *object) put(step Step) bool {
	if o.version != step.IfVersion {
		return false
	}
	o.version++
	o.record = step.Record
	o.exists = true
	return true
}

// call is a call to the platform that a host has sent.
type call struct {
	step Step
	// arrived is set once the platform has executed the call, written if it was a write that succeeded.
	arrived bool
	written bool
	// result is the object after the call.
	result object
}

// host is a contender with its own clocks.
type host struct {
	machine   *Machine
	self      Holder
	monotonic time.Duration
	wall      time.Duration
	// suspends selects the disturbance of the host's clocks: suspension, during which the monotonic clock stops, or else steps
	// of the wall clock. If both happen in one term, the lease can't detect it.
	suspends bool
	inFlight *call
}

func (h *host) now() Instant {
	return Instant{Monotonic: h.monotonic, Wall: time.Unix(0, 0).Add(h.wall)}
}

func (h *host) held() bool {
	grant, ok := h.machine.Grant()
	return ok && DefaultTiming().Held(grant, h.now())
}

// simulation is a platform and its contenders in virtual time.
type simulation struct {
	object object
	hosts  []*host
	// delayedWrites are writes whose senders have stopped waiting; they may still take effect.
	delayedWrites []Step
	// lastTenure and lastHolder are those of the last holder.
	lastTenure uint64
	lastHolder Holder
}

func newSimulation(count int, suspends func(int) bool) *simulation {
	s := &simulation{}
	for i := range count {
		self := Holder{HostID: fmt.Sprintf("entry-%d", i), Incarnation: 1}
		s.hosts = append(s.hosts, &host{
			machine: NewMachine(self, true, DefaultTiming()), self: self, suspends: suspends(i),
			monotonic: time.Duration(i) * time.Hour, wall: time.Duration(i) * time.Minute,
		})
	}
	return s
}

func (s *simulation) advance(by time.Duration) {
	for _, h := range s.hosts {
		h.monotonic += by
		h.wall += by
	}
}

// send starts the host's next step unless a call is in flight.
func (s *simulation) send(h *host) {
	if h.inFlight != nil {
		return
	}
	step := h.machine.Next(h.now())
	if step.Kind != StepWait {
		h.inFlight = &call{step: step}
	}
}

// arrive lets the platform execute the host's call.
func (s *simulation) arrive(h *host) {
	if h.inFlight == nil || h.inFlight.arrived {
		return
	}
	h.inFlight.arrived = true
	if h.inFlight.step.Kind == StepWrite {
		h.inFlight.written = s.object.put(h.inFlight.step)
	}
	h.inFlight.result = s.object
}

// answer delivers the platform's answer to the host.
func (s *simulation) answer(h *host) {
	sent := h.inFlight
	if sent == nil || !sent.arrived {
		return
	}
	h.inFlight = nil
	switch {
	case sent.step.Kind == StepWrite && sent.written:
		h.machine.Wrote(h.now(), sent.result.version)
	case sent.step.Kind == StepWrite:
		h.machine.NotWritten(true)
	case sent.result.exists:
		h.machine.Observed(h.now(), sent.result.version, sent.result.record)
	default:
		h.machine.ObservedAbsent(h.now())
	}
}

// lose ends a call without an answer; a write may still be in flight.
func (s *simulation) lose(h *host) {
	sent := h.inFlight
	if sent == nil {
		return
	}
	h.inFlight = nil
	if sent.step.Kind != StepWrite {
		return
	}
	h.machine.WriteUncertain()
	if !sent.arrived {
		s.delayedWrites = append(s.delayedWrites, sent.step)
	}
}

// refuse ends a call with an error that excludes any effect.
func (s *simulation) refuse(h *host) {
	if h.inFlight == nil || h.inFlight.arrived {
		return
	}
	if h.inFlight.step.Kind == StepWrite {
		h.machine.NotWritten(false)
	}
	h.inFlight = nil
}

// run carries out the host's next step in full.
func (s *simulation) run(h *host) {
	s.send(h)
	s.arrive(h)
	s.answer(h)
}

// restart replaces the host's process by one with a new incarnation.
func (s *simulation) restart(h *host) {
	if h.inFlight != nil && !h.inFlight.arrived && h.inFlight.step.Kind == StepWrite {
		s.delayedWrites = append(s.delayedWrites, h.inFlight.step)
	}
	h.inFlight = nil
	h.self.Incarnation++
	h.machine = NewMachine(h.self, true, DefaultTiming())
}

// holders returns the processes that hold the duty by their own clocks.
func (s *simulation) holders() []string {
	var held []string
	for _, h := range s.hosts {
		if h.held() {
			held = append(held, fmt.Sprintf("%s incarnation %d", h.self.HostID, h.self.Incarnation))
		}
	}
	return held
}

// Guards against two holders at once, with which two hosts would order servers for one availability zone or
// report one window twice. Random schedules pause holders, lose the answers to renewals, step clocks, suspend
// machines and delay the effect of calls, so that a former holder may resume after another host took over.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 3).Draw(t, "hosts")
		suspends := rapid.Bool().Draw(t, "suspends")
		s := newSimulation(count, func(int) bool { return suspends })
		anyHost := func(t *rapid.T) *host { return s.hosts[rapid.IntRange(0, count-1).Draw(t, "host")] }
		run := func(t *rapid.T) { s.run(anyHost(t)) }
		advance := func(t *rapid.T) { s.advance(rapid.SampledFrom(spans).Draw(t, "span")) }
		t.Repeat(map[string]func(*rapid.T){
			"run":          run,
			"runAgain":     run,
			"advance":      advance,
			"advanceAgain": advance,
			"clockForward": func(t *rapid.T) { s.disturbClock(anyHost(t), rapid.SampledFrom(spans).Draw(t, "span")) },
			"clockBack": func(t *rapid.T) {
				s.disturbClock(anyHost(t), -rapid.SampledFrom(spans).Draw(t, "span"))
			},
			"send":   func(t *rapid.T) { s.send(anyHost(t)) },
			"arrive": func(t *rapid.T) { s.arrive(anyHost(t)) },
			"answer": func(t *rapid.T) { s.answer(anyHost(t)) },
			"lose":   func(t *rapid.T) { s.lose(anyHost(t)) },
			"rare":   func(t *rapid.T) { s.rare(t, anyHost(t)) },
			"": func(t *rapid.T) {
				if held := s.holders(); len(held) > 1 {
					t.Fatalf("held by %q at once", held)
				}
				s.checkTenure(t)
			},
		})
		checkTakeover(t, s)
	})
}

// checkTenure checks that no holder has a lower number than an earlier one, or that of another holder.
func (s *simulation) checkTenure(t *rapid.T) {
	for _, h := range s.hosts {
		if !h.held() {
			continue
		}
		tenure := h.machine.Tenure()
		if tenure < s.lastTenure || tenure == s.lastTenure && h.self != s.lastHolder {
			t.Fatalf("%v holds the duty with the number %d after %v had %d", h.self, tenure, s.lastHolder, s.lastTenure)
		}
		s.lastTenure, s.lastHolder = tenure, h.self
	}
}

// spans are durations below, at and above those at which the lease decides differently.
var spans = []time.Duration{
	300 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second, 20 * time.Second,
}

// disturbClock suspends the host's machine for the duration, or steps its wall clock by it.
func (s *simulation) disturbClock(h *host, by time.Duration) {
	if !h.suspends {
		h.wall += by
		return
	}
	s.advance(by.Abs())
	h.monotonic -= by.Abs()
}

// rare carries out an event that would end most schedules early if it were frequent.
func (s *simulation) rare(t *rapid.T, h *host) {
	switch rapid.IntRange(0, 9).Draw(t, "rare") {
	case 0:
		s.restart(h)
	case 1:
		h.machine.Release()
	case 2, 3, 4, 5:
		s.refuse(h)
	default:
		if len(s.delayedWrites) > 0 {
			s.object.put(s.delayedWrites[rapid.IntRange(0, len(s.delayedWrites)-1).Draw(t, "late")])
		}
	}
}

// checkTakeover lets all calls succeed and checks that a host that has not released the duty holds it within 20 s.
func checkTakeover(t *rapid.T, s *simulation) {
	contenders := 0
	for _, h := range s.hosts {
		s.lose(h)
		if !h.machine.released {
			contenders++
		}
	}
	if contenders == 0 {
		return
	}
	for range 40 {
		for _, h := range s.hosts {
			s.run(h)
		}
		s.advance(500 * time.Millisecond)
		if held := s.holders(); len(held) == 1 {
			return
		}
	}
	t.Fatalf("no host holds the duty 20 s after the faults ended")
}

// Guards against an outdated order that reaches the platform after a newer one from another host: the holder is
// paused for 30 s right after a renewal, another host takes over, and the first one resumes. It must know
// without any call that its term has ended.
func TestPausedHolderResumes(t *testing.T) {
	s := newSimulation(2, func(int) bool { return false })
	first, second := s.hosts[0], s.hosts[1]
	acquire(t, s, first)
	s.run(second)
	for range 30 {
		s.advance(time.Second)
		s.run(second)
	}
	if first.held() || !second.held() {
		t.Fatalf("held by %q, want only the second host", s.holders())
	}
}

// renewalSent returns a simulation whose only host holds the duty and has a renewal in flight, and when it sent that.
func renewalSent(t *testing.T) (*simulation, *host, Instant) {
	t.Helper()
	s := newSimulation(1, func(int) bool { return false })
	h := s.hosts[0]
	acquire(t, s, h)
	s.advance(DefaultTiming().Renew)
	sent := h.now()
	s.send(h)
	return s, h, sent
}

// checkGrant checks that the host has a grant for the object's version, counted from sent.
func (s *simulation) checkGrant(t *testing.T, h *host, sent Instant) {
	t.Helper()
	grant, _ := h.machine.Grant()
	want := Grant{Version: s.object.version, Since: sent}
	if diff := cmp.Diff(want, grant); diff != "" {
		t.Errorf("grant (-want +got):\n%s", diff)
	}
}

// Guards against a duty that nobody carries out for seconds, or that is carried out with a fencing number other
// than the object's version. The renewal is written and its answer lost; the holder reads the object,
// recognises its own record and counts the term from before it sent that renewal.
func TestLostRenewalAnswer(t *testing.T) {
	s, h, sent := renewalSent(t)
	s.arrive(h)
	s.lose(h)
	s.advance(time.Second)
	s.run(h)
	s.checkGrant(t, h, sent)
}

// Guards against two holders for a second. The results of two renewals are unknown: the first takes effect with a delay,
// the second fails with a conflict and its answer is lost. The object holds the first, so the term must count
// from that one and not from the second, which was sent after a contender may have started to wait.
func TestOlderOfTwoLostRenewals(t *testing.T) {
	s, h, sent := renewalSent(t)
	s.lose(h)
	s.run(h) // reads the object: the renewal has not been written yet
	s.advance(time.Second)
	s.send(h)
	s.object.put(s.delayedWrites[0])
	s.arrive(h)
	s.lose(h)
	s.run(h)
	s.checkGrant(t, h, sent)
}

// Guards against a takeover that waits for the term to end although the holder released the duty.
func TestRelease(t *testing.T) {
	s := newSimulation(2, func(int) bool { return false })
	first, second := s.hosts[0], s.hosts[1]
	acquire(t, s, first)
	s.run(second)
	first.machine.Release()
	if first.held() {
		t.Error("the duty is held after its release")
	}
	s.run(first)
	s.run(second)
	s.run(second)
	if !second.held() || !first.machine.Released() {
		t.Errorf("held by %q, want the second host at once", s.holders())
	}
}

// Guards against a write by a host that does not contend.
func TestObserverNeverWrites(t *testing.T) {
	m := NewMachine(Holder{HostID: "entry-9"}, false, DefaultTiming())
	now := Instant{}
	for range 20 {
		if step := m.Next(now); step.Kind == StepWrite {
			t.Fatalf("unexpected write: %+v", step)
		}
		m.ObservedAbsent(now)
		now.Monotonic += 10 * time.Second
	}
}

// acquire runs the host until it holds the duty.
func acquire(t *testing.T, s *simulation, h *host) {
	t.Helper()
	for range 5 {
		s.run(h)
		if h.held() {
			return
		}
	}
	t.Fatal("the host has not taken the duty over after five steps")
}

// Guards against a duty that nobody carries out for a full term after its holder was killed and restarted at once: the lease names a
// run of the process that has ended, and only its host can know that. If a host runs one process at a time, it takes over at once.
func TestRestartedHolderTakesOverAtOnce(t *testing.T) {
	earlier := Holder{HostID: "h1", Incarnation: 1}
	for _, test := range []struct {
		name       string
		self       Holder
		oneProcess bool
		want       StepKind
	}{
		{name: "same host, one process", self: Holder{HostID: "h1", Incarnation: 2}, oneProcess: true, want: StepWrite},
		{name: "same host, possibly several processes", self: Holder{HostID: "h1", Incarnation: 2}, want: StepWatch},
		{name: "another host", self: Holder{HostID: "h2", Incarnation: 2}, oneProcess: true, want: StepWatch},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := NewMachine(test.self, true, DefaultTiming())
			machine.SetOneProcess(test.oneProcess)
			now := Instant{Wall: time.Unix(1_700_000_000, 0)}
			machine.Observed(now, 7, Record{Holder: earlier, Renewal: 3})
			step := machine.Next(now)
			if step.Kind != test.want {
				t.Fatalf("unexpected step %v", step.Kind)
			}
			if step.Kind != StepWrite {
				return
			}
			machine.Wrote(now, 8)
			grant, held := machine.Grant()
			if !held || grant.Version != 8 || len(grant.Past) != 1 || grant.Past[0].HostID != "h1" {
				t.Errorf("grant %+v, %v", grant, held)
			}
		})
	}
}

// Guards against a duty that nobody carries out for a full term longer than needed: the holder was lost in an outage of the store. The
// others had learned of its last renewal from the holder itself, and could read the object only when the store was back. The wait must
// count from when they learned of the renewal.
func TestContenderWaitCountsFromKnownRenewal(t *testing.T) {
	timing := DefaultTiming()
	wait := timing.Term + timing.Margin
	at := func(since time.Duration) Instant {
		return Instant{Monotonic: since, Wall: time.Unix(1_700_000_000, 0).Add(since)}
	}
	for _, test := range []struct {
		name string
		// learned is when the host learned of the renewal, read when it read the object.
		learned, read time.Duration
		want          StepKind
	}{
		{name: "learned long before", learned: 0, read: wait, want: StepWrite},
		{name: "learned a little before", learned: wait / 2, read: wait, want: StepWatch},
		{name: "learned from the read", learned: wait, read: wait, want: StepWatch},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := NewMachine(Holder{HostID: "h2"}, true, timing)
			machine.ObservedSince(at(test.learned), 7, Record{Holder: Holder{HostID: "h1"}})
			if step := machine.Next(at(test.read)); step.Kind != test.want {
				t.Errorf("unexpected step %v", step.Kind)
			}
		})
	}
}

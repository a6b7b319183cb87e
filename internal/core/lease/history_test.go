package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Times of the simulated hosts, as those of the entries of a deployment with a store of its own.
const (
	historyTick      = 10 * time.Millisecond
	historyLength    = 40 * time.Second
	storeTime        = 10 * time.Millisecond
	storeTimeout     = 1500 * time.Millisecond
	storeRetryPause  = 300 * time.Millisecond
	peerCallInterval = 400 * time.Millisecond
	peerSilenceTime  = 1500 * time.Millisecond
	silentReadDelay  = time.Second
	// maxFlight bounds how long a call under the lease is under way.
	maxFlight = 300 * time.Millisecond
	// maxDrift is how much faster or slower than true time a clock may run.
	maxDrift = 0.03
)

// historyTiming is the timing of the duties of such a deployment.
var historyTiming = Timing{Term: 3650 * time.Millisecond, Renew: 1300 * time.Millisecond, Margin: 350 * time.Millisecond}

// cut is what a disturbance of a host's network stops until it ends.
type cut struct {
	// incoming and outgoing are calls from and to other hosts, store those to the store.
	incoming, outgoing, store bool
	// refuses is set if connections are refused and reset; otherwise nothing answers.
	refuses bool
	until   time.Duration
}

// announcement is a version of the lease that its holder made known to a host.
type announcement struct {
	version uint64
	at      time.Duration
}

// storeCall is a call to the store that ends at a time.
type storeCall struct {
	step   Step
	endsAt time.Duration
	// arrived is set once the store has been reached or found out of reach. Refused calls had no effect, lost ones bring no answer, although a
	// write may have succeeded.
	arrived, refused, lost, written bool
	result                          object
}

// entryHost is a host with its network, its clock, and a process that contends for the duty.
type entryHost struct {
	id      string
	self    Holder
	machine *Machine
	// rate is the speed of the host's clock.
	rate        float64
	cut         cut
	pausedUntil time.Duration
	killedUntil time.Duration
	nextStep    time.Duration
	nextCalls   time.Duration
	// watching is set while the process waits for the holder's silence. If the holder was silent from the beginning, the process waits for
	// silentWait before it reads the lease.
	watching, heardWhileWatching bool
	silentWait                   time.Duration
	call                         *storeCall
	// heard is when another process was last heard, announced what it made known of the lease.
	heard     map[Holder]time.Duration
	announced map[Holder]announcement
}

// receivedCall is a call under the lease as its receiver got it.
type receivedCall struct {
	at     time.Duration
	holder Holder
	tenure uint64
}

// history is a store, the hosts that contend for one duty, and a receiver of the calls under it, in virtual time.
type history struct {
	timing   Timing
	now      time.Duration
	random   *rand.Rand
	object   object
	hosts    []*entryHost
	inFlight []receivedCall
	received []receivedCall
	// storeCalls counts the calls that reached the store.
	storeCalls int
}

func newHistory(seed uint64, count int, timing Timing) *history {
	s := &history{timing: timing, random: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // simulated disturbances
	for i := range count {
		h := &entryHost{id: fmt.Sprintf("entry-%d", i), rate: 1 + maxDrift*(2*s.random.Float64()-1)}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

// between returns a random duration.
func (s *history) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// start starts a process at the host.
func (s *history) start(h *entryHost) {
	h.self = Holder{HostID: h.id, Incarnation: h.self.Incarnation + 1}
	h.machine = NewMachine(h.self, true, s.timing)
	h.machine.SetOneProcess(true)
	h.watching, h.call = false, nil
	h.heard, h.announced = map[Holder]time.Duration{}, map[Holder]announcement{}
	h.nextStep = s.now + s.between(0, time.Second)
	h.nextCalls = s.now + s.between(0, peerCallInterval)
}

// instant returns a time by the host's clocks.
func (s *history) instant(h *entryHost, at time.Duration) Instant {
	local := time.Duration(float64(at) * h.rate)
	return Instant{Monotonic: local, Wall: time.Unix(1_700_000_000, 0).Add(local)}
}

// runs reports whether the host's process runs.
func (s *history) runs(h *entryHost) bool { return s.now >= h.killedUntil && s.now >= h.pausedUntil }

// holds reports whether the host's process holds the duty by its own clocks.
func (s *history) holds(h *entryHost) bool {
	grant, ok := h.machine.Grant()
	return ok && s.timing.Held(grant, s.instant(h, s.now))
}

// advance moves the time on by a tick.
func (s *history) advance() {
	s.now += historyTick
	for _, h := range s.hosts {
		if s.now >= h.cut.until {
			h.cut = cut{}
		}
		if h.killedUntil > 0 && s.now >= h.killedUntil {
			h.killedUntil = 0
			s.start(h)
		}
		if s.runs(h) {
			s.callPeers(h)
			s.endStoreCall(h)
			s.continueSteps(h)
			s.act(h)
		}
	}
	s.deliver()
}

// callPeers exchanges heartbeats with the other hosts when they are due.
func (s *history) callPeers(h *entryHost) {
	if s.now < h.nextCalls {
		return
	}
	h.nextCalls = s.now + peerCallInterval
	for _, other := range s.hosts {
		if other == h {
			continue
		}
		cutOff := h.cut.outgoing || other.cut.incoming
		if !cutOff && s.runs(other) {
			h.hear(s.now, other)
			other.hear(s.now, h)
		}
	}
}

// hear records a heartbeat of the other host's process.
func (h *entryHost) hear(now time.Duration, other *entryHost) {
	h.heard[other.self] = now
	grant, ok := other.machine.Grant()
	if ok && grant.Version > h.announced[other.self].version {
		h.announced[other.self] = announcement{version: grant.Version, at: now}
	}
}

// continueSteps carries out the process's next step if it is due.
func (s *history) continueSteps(h *entryHost) {
	if h.call != nil || s.now < h.nextStep {
		return
	}
	if h.watching {
		holder, held := h.machine.Holder()
		if at, known := h.heard[holder]; held && known && s.now-at < peerSilenceTime {
			h.heardWhileWatching = true
			return
		}
		h.watching = false
		h.nextStep = s.now
		if !h.heardWhileWatching {
			h.nextStep += h.silentWait
		}
		h.call = &storeCall{step: Step{Kind: StepRead}, endsAt: h.nextStep}
		return
	}
	switch step := h.machine.Next(s.instant(h, s.now)); step.Kind {
	case StepWait:
		h.nextStep = s.now + min(step.Wait, storeRetryPause)
	case StepWatch:
		h.watching, h.heardWhileWatching, h.silentWait = true, false, min(step.Wait, silentReadDelay)
	default:
		h.call = &storeCall{step: step, endsAt: s.now}
	}
}

// endStoreCall lets a call reach the store, and then the process learn of its outcome.
func (s *history) endStoreCall(h *entryHost) {
	switch sent := h.call; {
	case sent == nil || s.now < sent.endsAt:
	case !sent.arrived:
		s.reachStore(h, sent)
	default:
		h.call = nil
		s.learn(h, sent)
	}
}

// reachStore carries out a call at the store, unless the host is cut off from it.
func (s *history) reachStore(h *entryHost, sent *storeCall) {
	sent.arrived = true
	if h.cut.store {
		sent.refused, sent.lost = h.cut.refuses, !h.cut.refuses
		sent.endsAt = s.now + storeTime
		if sent.lost {
			sent.endsAt = s.now + storeTimeout
		}
		return
	}
	s.storeCalls++
	if sent.step.Kind == StepWrite {
		sent.written = s.object.put(sent.step)
	}
	sent.result = s.object
	sent.endsAt = s.now + s.between(storeTime, 5*storeTime)
	if s.random.IntN(200) == 0 {
		sent.lost, sent.endsAt = true, s.now+storeTimeout
	}
}

// learn passes the outcome of a call to the process's machine.
func (s *history) learn(h *entryHost, sent *storeCall) {
	now := s.instant(h, s.now)
	write := sent.step.Kind == StepWrite
	switch {
	case write && sent.lost:
		h.machine.WriteUncertain()
	case write && sent.refused:
		h.machine.NotWritten(false)
	case write && sent.written:
		h.machine.Wrote(now, sent.result.version)
	case write:
		h.machine.NotWritten(true)
	case sent.lost || sent.refused:
	case sent.result.exists:
		first := now
		if known := h.announced[sent.result.record.Holder]; known.version == sent.result.version {
			first = s.instant(h, known.at)
		}
		h.machine.ObservedSince(first, sent.result.version, sent.result.record)
	default:
		h.machine.ObservedAbsent(now)
	}
	if sent.lost || sent.refused {
		h.nextStep = s.now + storeRetryPause
	}
}

// act sends a call under the lease if the process holds it.
func (s *history) act(h *entryHost) {
	if s.holds(h) {
		s.inFlight = append(s.inFlight, receivedCall{at: s.now + s.between(0, maxFlight), holder: h.self, tenure: h.machine.Tenure()})
	}
}

// deliver lets the calls arrive that are no longer under way.
func (s *history) deliver() {
	under := s.inFlight[:0]
	for _, c := range s.inFlight {
		if c.at > s.now {
			under = append(under, c)
			continue
		}
		s.received = append(s.received, c)
	}
	s.inFlight = under
}

// holder returns the host whose process holds the duty; nil if none does.
func (s *history) holder() *entryHost {
	for _, h := range s.hosts {
		if s.runs(h) && s.holds(h) {
			return h
		}
	}
	return nil
}

// disturb cuts a host off, or kills or pauses its process. Half of the disturbances concern the holder.
func (s *history) disturb() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if holder := s.holder(); holder != nil && s.random.IntN(2) == 0 {
		h = holder
	}
	until := s.now + s.between(200*time.Millisecond, 7*time.Second)
	switch s.random.IntN(6) {
	case 0:
		h.killedUntil = max(h.killedUntil, until)
	case 1:
		h.pausedUntil = max(h.pausedUntil, until)
	default:
		directions := 1 + s.random.IntN(7)
		h.cut = cut{
			incoming: directions&1 != 0, outgoing: directions&2 != 0, store: directions&4 != 0, refuses: s.random.IntN(2) == 0, until: until,
		}
	}
}

// check returns what is wrong with the calls that were received; empty if nothing is.
func (s *history) check() string {
	var last receivedCall
	for _, c := range s.received {
		if c.tenure < last.tenure {
			return fmt.Sprintf("%v: a call of %s with the number %d after one of %s with %d", c.at, c.holder.HostID, c.tenure, last.holder.HostID, last.tenure)
		}
		last = c
	}
	return ""
}

// Guards against a receiver that gets calls of two holders in turn because a contender took a network that refuses connections, or a host that
// can't be reached, for the end of the holder's process. Hosts are cut off from each other and from the store, silently or by resets, in one
// direction or both; processes are killed and paused; clocks drift.
func TestCallsOfTwoHoldersDoNotMix(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newHistory(seed, 2+int(seed%3), historyTiming)
			disturbance := s.between(3*time.Second, 8*time.Second)
			for s.now < historyLength {
				if s.now >= disturbance {
					s.disturb()
					disturbance = s.now + s.between(100*time.Millisecond, 5*time.Second)
				}
				s.advance()
			}
			if len(s.received) == 0 {
				t.Error("no call was received")
			}
			if problem := s.check(); problem != "" {
				t.Error(problem)
			}
		})
	}
}

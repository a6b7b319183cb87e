package lease

import (
	"slices"
	"time"
)

// Timing holds the durations of a lease. All hosts of a deployment must use the same.
type Timing struct {
	// Term is how long a renewal is valid at most.
	Term time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Margin is how much earlier than Term the holder stops, and how much longer than Term a contender waits.
	Margin time.Duration
}

// DefaultTiming lets another host take a duty over within 7 s of its holder's failure. Two renewals may
// fail before the term ends. The holder stops 5 s after a renewal, and the earliest takeover is 7 s
// after it. Because of these 2 s the clocks' rates may differ by a fifth, and an order to a receiver
// that ignores the fencing number must not be in flight for longer than that.
func DefaultTiming() Timing {
	return Timing{Term: 6 * time.Second, Renew: 2 * time.Second, Margin: time.Second}
}

// StepKind is the kind of a Step.
type StepKind uint8

// The kinds of steps.
const (
	// StepRead: read the object and call Observed, ObservedSince or ObservedAbsent.
	StepRead StepKind = iota + 1
	// StepWatch: wait up to Step.Wait for a change of the object, and report the object as for StepRead.
	StepWatch
	// StepWrite: write Step.Record if the object's version is Step.IfVersion, and call Wrote,
	// NotWritten or WriteUncertain.
	StepWrite
	// StepWait: call Next again after Step.Wait.
	StepWait
)

// Step is the next action of the caller.
type Step struct {
	Kind      StepKind
	Wait      time.Duration
	IfVersion uint64
	Record    Record
}

// Grant is the right to carry out the duty for one term.
type Grant struct {
	// Version is the version of the object that gave the right; it serves as the fencing number.
	Version uint64
	// Since is the moment before the renewal was sent. The term counts from then.
	Since Instant
	// Past are the hosts that held the duty before this holder took it over, most recent last.
	Past []FormerHolder
}

// observation is the lease object as last seen.
type observation struct {
	known   bool
	exists  bool
	version uint64
	record  Record
	// firstSeen is when this host first saw the version.
	firstSeen Instant
}

// write is a write whose result is not known.
type write struct {
	record Record
	sent   Instant
}

// maxPending bounds the writes of unknown result that are remembered. If a forgotten one turns out to
// have succeeded it gives no grant, which is safe.
const maxPending = 16

// Machine is the state machine of one host for one lease object. It is not safe for concurrent use.
//
// It prevents two holders at once. For that, a contender's write would have to succeed before the old
// holder's term has ended. The old holder counts its term from before it sent the renewal that created
// version V. The contender waits longer than a term, counted from after it saw V, and its write succeeds
// only if V is still the newest version. A renewal whose answer was lost gives no grant until it is seen
// in the object.
//
// Nothing else ends a lease early but its holder's release, or a successor of its process on the same host. In particular a holder that refuses
// connections may be alive: a network that is cut may refuse and reset them too.
type Machine struct {
	timing   Timing
	self     Holder
	contend  bool
	released bool
	seen     observation
	grant    *Grant
	pending  []write
	renewal  uint64
	// tenure is the version with which this process last took the duty over.
	tenure uint64
	// uncertain is set while the object may differ from what was last seen.
	uncertain bool
	// renewed is when the last write was prepared; retry is set if that write failed or its result is unknown.
	renewed Instant
	retry   bool
	// past are the holders before this one, most recent last.
	past []FormerHolder
	// oneProcess is set if each host runs one process at a time.
	oneProcess bool
}

// NewMachine returns a machine that has not seen the object yet. It takes the duty over only if contend is set.
func NewMachine(self Holder, contend bool, timing Timing) *Machine {
	return &Machine{timing: timing, self: self, contend: contend, uncertain: true}
}

// SetContend sets whether the host may take the duty over. A holder goes on renewing in either case.
func (m *Machine) SetContend(contend bool) { m.contend = contend }

// SetOneProcess sets whether each host runs one process at a time, so that a holder on this host with another incarnation has ended.
// A restarted holder then takes its duty over again at once and doesn't wait for the term to end.
func (m *Machine) SetOneProcess(oneProcess bool) { m.oneProcess = oneProcess }

// Next returns the next step. Now must be read before the step is carried out, since the term that a
// write gives counts from it.
func (m *Machine) Next(now Instant) Step {
	switch {
	case m.uncertain:
		return Step{Kind: StepRead}
	case m.released:
		return m.nextReleased(now)
	case m.heldBySelf():
		return m.nextHolder(now)
	case !m.contend:
		return Step{Kind: StepWatch, IfVersion: m.seen.version, Wait: m.timing.Term}
	default:
		return m.nextContender(now)
	}
}

// nextReleased writes a released record if this holder still holds the lease.
func (m *Machine) nextReleased(now Instant) Step {
	if !m.heldBySelf() {
		return Step{Kind: StepWait, Wait: m.timing.Term}
	}
	return m.prepareWrite(now, true)
}

// nextHolder renews the lease when that is due.
func (m *Machine) nextHolder(now Instant) Step {
	wait := m.timing.Renew - now.Elapsed(m.renewed)
	if m.grant != nil && !m.retry && wait > 0 {
		return Step{Kind: StepWait, Wait: wait}
	}
	return m.prepareWrite(now, false)
}

// nextContender takes a free lease, or one whose term has ended. It measures the wait by the monotonic clock only:
// if the wall clock is stepped forward, the wait must not become shorter than the holder's term.
func (m *Machine) nextContender(now Instant) Step {
	waited := now.Monotonic - m.seen.firstSeen.Monotonic
	remaining := m.timing.Term + m.timing.Margin - waited
	if m.free() || m.heldByEarlierRun() || remaining <= 0 {
		return m.prepareWrite(now, false)
	}
	return Step{Kind: StepWatch, IfVersion: m.seen.version, Wait: remaining}
}

// maxPast bounds the former holders in a record. No more than that many takeovers are expected within some seconds.
const maxPast = 4

// appendHolder returns the record's former holders followed by its holder, which is taken over from now.
func appendHolder(last Record, now Instant) []FormerHolder {
	if last.Holder.HostID == "" {
		return nil
	}
	past := append(slices.Clone(last.Past), FormerHolder{HostID: last.Holder.HostID, Until: now.Wall})
	return past[max(0, len(past)-maxPast):]
}

// heldByEarlierRun reports whether the holder is an earlier process of this host, which has ended.
func (m *Machine) heldByEarlierRun() bool {
	return m.oneProcess && m.seen.record.Holder.HostID == m.self.HostID && m.seen.record.Holder != m.self
}

// prepareWrite returns the step that takes, renews or releases the lease, and remembers the write as pending.
func (m *Machine) prepareWrite(now Instant, release bool) Step {
	if !m.heldBySelf() {
		m.past = appendHolder(m.seen.record, now)
	}
	m.renewal++
	m.renewed = now
	m.retry = false
	record := Record{Holder: m.self, Renewal: m.renewal, Released: release, Past: m.past}
	m.pending = append(m.pending, write{record: record, sent: now})
	if extra := len(m.pending) - maxPending; extra > 0 {
		m.pending = slices.Clone(m.pending[extra:])
	}
	return Step{Kind: StepWrite, IfVersion: m.seen.version, Record: record}
}

// Wrote reports that the last write succeeded and gave the object this version; now is after the answer came.
func (m *Machine) Wrote(now Instant, version uint64) {
	last := m.pending[len(m.pending)-1]
	m.Observed(now, version, last.record)
}

// NotWritten reports that the last write certainly had no effect. Conflict reports that the object's
// version is not the one last seen.
func (m *Machine) NotWritten(conflict bool) {
	m.pending = m.pending[:len(m.pending)-1]
	m.uncertain = m.uncertain || conflict
	m.retry = true
}

// WriteUncertain reports that the result of the last write is unknown: it may have taken effect, or may yet.
func (m *Machine) WriteUncertain() {
	m.uncertain = true
	m.retry = true
}

// Observed reports the object as read; now is after the answer came.
func (m *Machine) Observed(now Instant, version uint64, record Record) {
	m.ObservedSince(now, version, record)
}

// ObservedSince reports the object as read. FirstSeen is when this host learned, by whatever means, that the object has the version; a
// contender's wait counts from then. It must not be earlier than the success of the write that created the version.
func (m *Machine) ObservedSince(firstSeen Instant, version uint64, record Record) {
	if !m.seen.known || m.seen.version != version {
		renewed := m.heldBySelf()
		m.seen = observation{known: true, exists: true, version: version, record: record, firstSeen: firstSeen}
		if m.heldBySelf() && !renewed {
			m.tenure = version
		}
		m.resolvePending()
	}
	m.uncertain = false
}

// ObservedAbsent reports that the object does not exist.
func (m *Machine) ObservedAbsent(now Instant) {
	if !m.seen.known || m.seen.exists {
		m.seen = observation{known: true, firstSeen: now}
		m.grant = nil
	}
	m.uncertain = false
}

// resolvePending derives from a new version which of this holder's pending writes succeeded. The others
// were conditional on an older version and can't take effect any more.
func (m *Machine) resolvePending() {
	m.grant = nil
	if !m.released && m.heldBySelf() {
		i := slices.IndexFunc(m.pending, func(w write) bool { return w.record.sameWrite(m.seen.record) })
		if i >= 0 {
			m.grant = &Grant{Version: m.seen.version, Since: m.pending[i].sent, Past: m.seen.record.Past}
		}
	}
	m.pending = nil
}

// heldBySelf reports whether this process holds the lease as last seen.
func (m *Machine) heldBySelf() bool {
	return m.seen.exists && !m.seen.record.Released && m.seen.record.Holder == m.self
}

// free reports whether nobody holds the lease as last seen.
func (m *Machine) free() bool { return !m.seen.exists || m.seen.record.Released }

// Release ends the grant at once and makes Next release the lease object. The machine never takes the
// duty again.
func (m *Machine) Release() {
	m.released = true
	m.grant = nil
}

// Released reports whether Release was called and is complete: the lease is known to be free or held by another process. A holder that never
// wrote has nothing to release, so that a host that leaves during an outage need not wait for leases that it never held.
func (m *Machine) Released() bool {
	return m.released && (m.renewal == 0 || !m.uncertain && !m.heldBySelf())
}

// Grant returns the newest grant, whose term may have ended.
func (m *Machine) Grant() (Grant, bool) {
	if m.grant == nil {
		return Grant{}, false
	}
	return *m.grant, true
}

// Tenure returns the version of the object with which this process last took the duty over. Unlike that of the grant it doesn't grow with
// renewals, so that calls of one holder which overtake one another carry the same number. Each holder's is higher than those before.
//
// A write is conditional on the version last seen, so that no other process has held the duty between two versions that this one wrote.
func (m *Machine) Tenure() uint64 { return m.tenure }

// Holder returns the holder last seen in the object. It returns false if the lease is free.
func (m *Machine) Holder() (Holder, bool) {
	return m.seen.record.Holder, m.seen.exists && !m.seen.record.Released
}

// Held reports whether the grant is still valid at now. It needs no I/O, so that a holder that was
// paused finds out as soon as it runs again.
func (t Timing) Held(grant Grant, now Instant) bool {
	return now.Elapsed(grant.Since) < t.Term-t.Margin
}

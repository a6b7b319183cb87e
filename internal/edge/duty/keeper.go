// Package duty holds duties by leases in the platform's store: it renews, observes and takes over leases.
//
// A duty is work that at most one host may do at a time. The package core/lease makes the decisions; this package carries out
// its steps one at a time in a control goroutine and publishes the grant, which any goroutine can check without I/O.
package duty

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// ObjectPrefix starts the names of lease objects. The name of the duty follows.
const ObjectPrefix = "lease/"

const (
	// callTimeout bounds each store call. A renewal that takes longer is sent again while the term still runs.
	callTimeout = 1500 * time.Millisecond
	// startCheckInterval is the time between checks whether a keeper may start.
	startCheckInterval = 100 * time.Millisecond
	// retryPause is the mean pause after a failed call: several attempts fit into a term, and in an outage 48 duties with 3
	// contenders each make at most 480 calls a second, a quarter of what the platform can take.
	retryPause     = 300 * time.Millisecond
	jitterFraction = 0.3
)

// ErrNotReleased is returned by Release if the lease object still names this holder or could not be read. Held returns
// false nevertheless, but the next holder has to wait for the end of the term.
var ErrNotReleased = errors.New("lease is not released")

// Holder identifies one run of a process that may hold a duty.
type Holder = lease.Holder

// Fence is the authorization for a holder's writes.
type Fence struct {
	// Number grows with each renewal and takeover. Receivers can refuse writes with an older number.
	Number platform.Version
	// Tenure grows with each takeover only. It is the number for receivers of calls that a network may deliver late.
	Tenure platform.Version
	// Deadline is the time by which a write must have ended.
	Deadline time.Time
	// Past are the hosts that held the duty before this holder took it over, the most recent one last.
	Past []lease.FormerHolder
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithContend sets whether the keeper may take the duty over; if not, it only observes who holds it.
func WithContend(contend bool) Option {
	return WithContendIf(func() bool { return contend })
}

// WithContendIf lets a keeper take the duty over only while may returns true, for example while the host is among the first
// few by rendezvous hashing (membership.IsTopRanked). A holder keeps the duty even when may returns false.
func WithContendIf(may func() bool) Option {
	return func(k *Keeper) { k.mayContend = may }
}

// WithTiming replaces the default timing. All hosts must use the same timing.
func WithTiming(timing lease.Timing) Option {
	return func(k *Keeper) { k.timing = timing }
}

// WithOneProcess declares that a host runs one process at a time, so that a restarted holder takes its duty over at once.
func WithOneProcess() Option {
	return func(k *Keeper) { k.oneProcess = true }
}

// WithNotes stores notes with the lease, which needs no additional calls. The write function returns the notes to store with
// each write of the lease; the read function receives the holder's notes after each read of the lease, unless there are none.
func WithNotes(write func() []string, read func(notes []string)) Option {
	return func(k *Keeper) {
		k.writeNotes = write
		k.readNotes = read
	}
}

// WithStartIf delays a keeper's first call to the store until may returns true. Later results of may are ignored.
func WithStartIf(may func() bool) Option {
	return func(k *Keeper) { k.mayStart = may }
}

// WithClock replaces the clock. Either all of its times must carry a monotonic reading, or none.
func WithClock(clock func() time.Time) Option {
	return func(k *Keeper) { k.clock = clock }
}

// Keeper contends for one duty and renews its lease while it holds it.
type Keeper struct {
	store      platform.Store
	name       string
	object     string
	self       Holder
	timing     lease.Timing
	mayContend func() bool
	// mayStart is checked until it returns true for the first time, which sets started.
	mayStart func() bool
	started  bool
	// oneProcess is set if a host runs one process at a time.
	oneProcess bool
	clock      func() time.Time
	writeNotes func() []string
	readNotes  func(notes []string)
	startTime  time.Time
	machine    *lease.Machine
	current    atomic.Pointer[snapshot]
	// reported is the newest version of the lease object that its holder announced by other means than the object itself.
	reported atomic.Pointer[reportedVersion]
	// released is set by Release. cancelWaits ends a wait or watch, so that the control goroutine reacts at once.
	released    atomic.Bool
	cancelWaits context.CancelFunc
	// releaseDone is closed once the lease object is known not to name this holder any more.
	releaseDone chan struct{}
	wg          conc.WaitGroup
}

// reportedVersion is a version of the lease object and the time when this host first heard of it.
type reportedVersion struct {
	version    platform.Version
	firstHeard lease.Instant
}

// Heard records the holder's announcement that its renewal wrote this version of the lease object. A contender that
// reads that version later counts the term from this call, not from the read: otherwise, after an outage of the store in which
// the holder died, the duty would stay unheld for another full term.
func (k *Keeper) Heard(version platform.Version) {
	if last := k.reported.Load(); last == nil || version > last.version {
		k.reported.Store(&reportedVersion{version: version, firstHeard: k.instant(k.clock())})
	}
}

// snapshot is the state that is published to other goroutines. It is immutable.
type snapshot struct {
	grant     lease.Grant
	granted   bool
	tenure    uint64
	held      bool
	holder    Holder
	hasHolder bool
	lastError string
	// changed is closed when a snapshot that differs in holder, hasHolder or held is published.
	changed chan struct{}
}

// NewKeeper contends for the named duty until ctx ends. A duty that is still held then ends with its term.
func NewKeeper(ctx context.Context, store platform.Store, name string, self Holder, opts ...Option) *Keeper {
	k := &Keeper{
		store:      store,
		name:       name,
		object:     ObjectPrefix + name,
		self:       self,
		timing:     lease.DefaultTiming(),
		mayContend: func() bool { return true },

		mayStart:    func() bool { return true },
		clock:       time.Now,
		releaseDone: make(chan struct{}),

		writeNotes: func() []string { return nil },
		readNotes:  func([]string) {},
	}
	for _, opt := range opts {
		opt(k)
	}
	k.startTime = k.clock()
	k.machine = lease.NewMachine(self, k.mayContend(), k.timing)
	k.machine.SetOneProcess(k.oneProcess)
	k.current.Store(&snapshot{changed: make(chan struct{})})
	waitCtx, stop := context.WithCancel(ctx)
	k.cancelWaits = stop
	k.wg.Go(func() {
		defer stop()
		k.run(ctx, waitCtx)
	})
	return k
}

// Wait returns once the control goroutine has ended, which it does after the context has.
func (k *Keeper) Wait() { k.wg.Wait() }

// Held reports whether the duty is held at now, without any I/O. Call it right before each write, and end the write by the
// fence's deadline. The result depends only on the local clocks, so that a holder that was paused and resumes after the end of
// its term detects it without a store call.
func (k *Keeper) Held(now time.Time) (Fence, bool) {
	s := k.current.Load()
	if k.released.Load() || !s.granted || !k.timing.Held(s.grant, k.instant(now)) {
		return Fence{}, false
	}
	return Fence{
		Number: platform.Version(s.grant.Version), Tenure: platform.Version(s.tenure), Deadline: k.deadline(s.grant), Past: s.grant.Past,
	}, true
}

func (k *Keeper) instant(now time.Time) lease.Instant { return lease.InstantAt(k.startTime, now) }

// deadline returns the time by which writes under the grant must have ended.
func (k *Keeper) deadline(grant lease.Grant) time.Time {
	return k.startTime.Add(grant.Since.Monotonic + k.timing.Term - k.timing.Margin)
}

// Holder returns the holder last seen in the lease object. Its term may have ended.
func (k *Keeper) Holder() (Holder, bool) {
	s := k.current.Load()
	return s.holder, s.hasHolder
}

// Changed returns a channel that is closed when the holder changes or this host gains or loses the duty. The end of a term is
// noticed only at the keeper's next step; Held is exact.
func (k *Keeper) Changed() <-chan struct{} { return k.current.Load().changed }

// Release gives the duty up, so that the next holder need not wait for the end of the term. All writes under the duty must
// have ended. Held returns false from the call of Release on.
func (k *Keeper) Release(ctx context.Context) error {
	k.released.Store(true)
	k.cancelWaits()
	select {
	case <-k.releaseDone:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ErrNotReleased, "%s: %v", k.name, ctx.Err())
	}
}

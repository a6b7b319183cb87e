// Package duty holds duties on the platform's store: it renews, observes and takes over leases.
//
// The decisions are those of core/lease; this package carries out its steps one at a time in a
// control goroutine and publishes the grant, which any goroutine checks without I/O.
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

// ObjectPrefix starts the names of lease objects; the duty's name follows.
const ObjectPrefix = "lease/"

const (
	// callTimeout bounds each call. A renewal that takes longer is sent again while the term still runs.
	callTimeout = 1500 * time.Millisecond
	// startPause is the pause between checks whether a keeper may start.
	startPause = 100 * time.Millisecond
	// retryPause is the mean pause after a failed call: a few tries fit into a term, and in an outage
	// 48 duties with 3 contenders make 480 calls a second at most, a quarter of what the platform takes.
	retryPause  = 300 * time.Millisecond
	jitterShare = 0.3
)

// ErrNotReleased is returned by Release if the object still names this holder or could not be read.
// The duty is not carried out any more all the same; the next holder waits for the term to pass.
var ErrNotReleased = errors.New("lease is not released")

// Holder names one run of a process that may hold a duty.
type Holder = lease.Holder

// Fence is the proof under which a holder writes.
type Fence struct {
	// Number grows with each renewal and takeover; receivers refuse an older one.
	Number platform.Version
	// Deadline is when the write must have ended at the latest.
	Deadline time.Time
	// Past are the hosts that held the duty before this holder took it over, the last one last.
	Past []lease.Tenure
}

// Option changes a Keeper.
type Option func(*Keeper)

// WithContend says whether the keeper may take the duty over; if not, it only observes who holds it.
func WithContend(contend bool) Option {
	return WithContendIf(func() bool { return contend })
}

// WithContendIf makes a keeper take the duty over only while may returns true, such as while the host
// is among the first few by rendezvous hashing (membership.Among). A holder keeps the duty all the same.
func WithContendIf(may func() bool) Option {
	return func(k *Keeper) { k.may = may }
}

// WithTiming replaces the default timing; all hosts must use the same.
func WithTiming(timing lease.Timing) Option {
	return func(k *Keeper) { k.timing = timing }
}

// WithOneProcess says that a host runs one process at a time: a holder that was started again takes its duty over at once.
func WithOneProcess() Option {
	return func(k *Keeper) { k.oneProcess = true }
}

// WithNotes keeps notes with the lease, which cost no call of their own. Write returns those that go with each write; read takes in those of the
// holder with each read of the object, but for none.
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

// WithClock replaces the clock, which must return times with a monotonic reading or not at all.
func WithClock(clock func() time.Time) Option {
	return func(k *Keeper) { k.clock = clock }
}

// Keeper keeps one duty.
type Keeper struct {
	store  platform.Store
	name   string
	object string
	self   Holder
	timing lease.Timing
	may    func() bool
	// mayStart is checked until it returns true for the first time, which sets started.
	mayStart func() bool
	started  bool
	// oneProcess is set where a host runs one process at a time.
	oneProcess bool
	clock      func() time.Time
	writeNotes func() []string
	readNotes  func(notes []string)
	start      time.Time
	machine    *lease.Machine
	current    atomic.Pointer[snapshot]
	// heard is the newest version of the object that the holder told by other means than the object.
	heard atomic.Pointer[heard]
	// released is set by Release; stopWatch ends waits, so that the control goroutine sees it at once.
	released  atomic.Bool
	stopWatch context.CancelFunc
	// settled is closed when the object is known not to name this holder any more.
	settled chan struct{}
	wg      conc.WaitGroup
}

// heard is a version of the object and when this host first heard of it.
type heard struct {
	version platform.Version
	first   lease.Instant
}

// Heard takes in that the holder said that its renewal made the version. A taker's wait counts from then, although it could not read
// the object: after an outage of the store whose holder is gone, the duty would else rest for a whole term more.
func (k *Keeper) Heard(version platform.Version) {
	if last := k.heard.Load(); last == nil || version > last.version {
		k.heard.Store(&heard{version: version, first: k.instant(k.clock())})
	}
}

// snapshot is what other goroutines see; it never changes.
type snapshot struct {
	grant     lease.Grant
	granted   bool
	held      bool
	holder    Holder
	hasHolder bool
	lastError string
	// changed is closed when the next snapshot that differs is published.
	changed chan struct{}
}

// NewKeeper starts to keep the duty of that name until ctx ends. A duty still held then runs out by itself.
func NewKeeper(ctx context.Context, store platform.Store, name string, self Holder, opts ...Option) *Keeper {
	k := &Keeper{
		store:  store,
		name:   name,
		object: ObjectPrefix + name,
		self:   self,
		timing: lease.DefaultTiming(),
		may:    func() bool { return true },

		mayStart: func() bool { return true },
		clock:    time.Now,
		settled:  make(chan struct{}),

		writeNotes: func() []string { return nil },
		readNotes:  func([]string) {},
	}
	for _, opt := range opts {
		opt(k)
	}
	k.start = k.clock()
	k.machine = lease.NewMachine(self, k.may(), k.timing)
	k.machine.SetOneProcess(k.oneProcess)
	k.current.Store(&snapshot{changed: make(chan struct{})})
	watching, stop := context.WithCancel(ctx)
	k.stopWatch = stop
	k.wg.Go(func() {
		defer stop()
		k.run(ctx, watching)
	})
	return k
}

// Wait returns when the keeping has ended, after the context has.
func (k *Keeper) Wait() { k.wg.Wait() }

// Held reports whether the duty is held at now, without any I/O. Check it right before each write,
// and let the write end by the fence's deadline: a holder that was paused may wake long after its
// term, and its own clocks then tell it so at once.
func (k *Keeper) Held(now time.Time) (Fence, bool) {
	s := k.current.Load()
	if k.released.Load() || !s.granted || !k.timing.Held(s.grant, k.instant(now)) {
		return Fence{}, false
	}
	return Fence{Number: platform.Version(s.grant.Version), Deadline: k.deadline(s.grant), Past: s.grant.Past}, true
}

func (k *Keeper) instant(now time.Time) lease.Instant { return lease.InstantAt(k.start, now) }

func (k *Keeper) deadline(grant lease.Grant) time.Time {
	return k.start.Add(grant.Since.Monotonic + k.timing.Term - k.timing.Margin)
}

// Holder returns the holder last seen in the lease object; its term may have run out.
func (k *Keeper) Holder() (Holder, bool) {
	s := k.current.Load()
	return s.holder, s.hasHolder
}

// Changed is closed when the holder changes or this host gains or loses the duty. The loss of a term
// that runs out shows with the next step of the keeper; Held is exact.
func (k *Keeper) Changed() <-chan struct{} { return k.current.Load().changed }

// Release gives the duty up, so that the next holder need not wait for the term to pass. All writes
// under the duty must have ended. Held is false from the moment that Release is called.
func (k *Keeper) Release(ctx context.Context) error {
	k.released.Store(true)
	k.stopWatch()
	select {
	case <-k.settled:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ErrNotReleased, "%s: %v", k.name, ctx.Err())
	}
}

package billing

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Defaults of a closer.
const (
	// DefaultGrace is longer than it takes until counts are stored: several flush intervals, including
	// retries.
	DefaultGrace = time.Minute
	// DefaultCheckInterval is the mean time between checks for windows to close.
	DefaultCheckInterval = 5 * time.Second
	// DefaultRetention is the number of closed windows for which counts that arrive late are still reported. It bounds what each
	// closing of a window reads: 48 windows of 1,000 organisations are about 14 MB.
	DefaultRetention = 48
)

// ErrNotHeld is returned when the duty is not held, or its term has ended, so that nothing may be written.
var ErrNotHeld = errors.New("usage duty is not held")

// Duty is the lease under which windows are closed.
type Duty interface {
	// Held returns the fencing number and the end of the term, after which no write may be sent; ok is false
	// if the lease is not held.
	Held(now time.Time) (number platform.Version, deadline time.Time, ok bool)
}

// Closer closes usage windows in order of time while it holds the duty.
type Closer struct {
	periodic

	store     platform.Store
	reports   platform.UsageReports
	duty      Duty
	window    time.Duration
	grace     time.Duration
	retention int
	clock     func() time.Time
	log       zerolog.Logger

	// closingMutex is held while windows are closed. It guards the next two fields.
	closingMutex sync.Mutex
	// acknowledged are the organisations whose reports for reportingWindow the platform has acknowledged to this
	// closer.
	reportingWindow int64
	acknowledged    map[string]bool

	mutex sync.Mutex
	state CloserState
}

// CloserState is the part of a process's debug state that describes its closer.
type CloserState struct {
	// Through is the start of the last window that this closer knows to be reported.
	Through time.Time `json:"through"`
	Windows int       `json:"closedWindows"`
	Reports int       `json:"acknowledgedReports"`
	// Expired is the usage that arrived after the retention and was not reported.
	Expired usage.Amount `json:"expired"`
	Error   string       `json:"lastError,omitempty"`
}

// CloserOption configures a closer.
type CloserOption func(*Closer)

// WithCloserWindow sets the length of a usage window, which must equal that of the collectors.
func WithCloserWindow(window time.Duration) CloserOption {
	return func(c *Closer) { c.window = window }
}

// WithGrace sets how long after its end a window is closed.
func WithGrace(grace time.Duration) CloserOption {
	return func(c *Closer) { c.grace = grace }
}

// WithCheckInterval sets the mean time between checks for windows to close. With 0 the closer closes windows
// only when CloseDue is called.
func WithCheckInterval(interval time.Duration) CloserOption {
	return func(c *Closer) { c.interval = interval }
}

// WithRetention sets the number of closed windows for which counts that arrive late are still reported.
func WithRetention(windows int) CloserOption {
	return func(c *Closer) { c.retention = windows }
}

// WithCloserClock replaces time.Now.
func WithCloserClock(clock func() time.Time) CloserOption {
	return func(c *Closer) { c.clock = clock }
}

// WithCloserLog sets the logger.
func WithCloserLog(log zerolog.Logger) CloserOption {
	return func(c *Closer) { c.log = log }
}

// NewCloser starts a closer that closes windows until ctx ends.
func NewCloser(ctx context.Context, client platform.Platform, duty Duty, opts ...CloserOption) *Closer {
	closer := &Closer{
		periodic:  periodic{interval: DefaultCheckInterval},
		store:     client,
		reports:   client,
		duty:      duty,
		window:    DefaultWindow,
		grace:     DefaultGrace,
		retention: DefaultRetention,
		clock:     time.Now,
		log:       zerolog.Nop(),
	}
	for _, opt := range opts {
		opt(closer)
	}
	closer.start(ctx, closer.closeAndLog)
	return closer
}

// State returns the closer's part of the debug state.
func (c *Closer) State() CloserState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

func (c *Closer) closeAndLog(ctx context.Context) {
	err := c.CloseDueWindows(ctx)
	if err != nil && !errors.Is(err, ErrNotHeld) {
		c.log.Warn().Err(err).Msg("failed to close usage windows, will retry")
	}
}

// CloseDueWindows closes all windows whose grace period is over, the oldest first. After an error it may be called
// again: steps that are already done are neither undone nor done differently.
func (c *Closer) CloseDueWindows(ctx context.Context) error {
	c.closingMutex.Lock()
	defer c.closingMutex.Unlock()
	err := c.closeDue(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.Error = ""
	if err != nil {
		c.state.Error = err.Error()
	}
	return err
}

func (c *Closer) closeDue(ctx context.Context) error {
	if _, _, ok := c.duty.Held(c.clock()); !ok {
		return ErrNotHeld
	}
	for {
		object, progress, err := c.loadProgress(ctx)
		if errors.Is(err, errNoUsage) {
			return nil
		}
		if err != nil {
			return err
		}
		c.recordProgress(progress)
		window := progress.Through + c.windowSeconds()
		if !c.isDue(window) {
			return nil
		}
		if err := c.closeWindow(ctx, window); err != nil {
			return errors.Wrap(err, windowName(window))
		}
		if err := c.putIfHeld(ctx, ProgressName, Progress{Through: window}, object.Version); err != nil {
			return err
		}
		c.recordClosedWindow()
		c.log.Info().Str("window", windowName(window)).Msg("usage window reported")
	}
}

func (c *Closer) windowSeconds() int64 {
	return usage.WindowSeconds(c.window)
}

// isDue reports whether the grace period after the end of the window is over.
func (c *Closer) isDue(window int64) bool {
	end := time.Unix(window, 0).Add(c.window)
	return !c.clock().Before(end.Add(c.grace))
}

// newestExpired returns the start of the newest window whose late counts are no longer reported when the
// given window is closed.
func (c *Closer) newestExpired(window int64) int64 {
	return window - int64(c.retention)*c.windowSeconds()
}

// putIfHeld encodes the value as JSON and writes it if the duty is held.
func (c *Closer) putIfHeld(ctx context.Context, name string, value any, ifVersion platform.Version) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, name)
	}
	return c.writeIfHeld(ctx, func(ctx context.Context) error {
		_, err := c.store.Put(ctx, name, raw, ifVersion)
		return err
	})
}

// writeIfHeld runs one write if the duty is held at that moment, with a context that ends with the term.
//
// A process may be paused between two steps and resume after another process has taken over the duty; it
// would then continue to write. Since the term is checked right before each write and ends the write, at
// most a write that is already in flight remains, and the conditions on the objects' versions stop that one.
// The end is a deadline and not a timeout, because a timeout that was computed before a pause would start to
// run after it.
func (c *Closer) writeIfHeld(ctx context.Context, write func(context.Context) error) error {
	now := c.clock()
	_, deadline, ok := c.duty.Held(now)
	if !ok || !now.Before(deadline) {
		return ErrNotHeld
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return write(ctx)
}

func (c *Closer) recordProgress(progress Progress) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.Through = time.Unix(progress.Through, 0).UTC()
}

func (c *Closer) recordClosedWindow() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.Windows++
}

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
	// DefaultGrace is above the time until counts are stored: some flush intervals, retries included.
	DefaultGrace = time.Minute
	// DefaultCheckInterval is how often a closer looks for windows to close.
	DefaultCheckInterval = 5 * time.Second
	// DefaultRetention is how many closed windows late counts are still taken into account for. It
	// bounds what is read at a closing: 48 windows of 1,000 organisations are about 14 MB.
	DefaultRetention = 48
)

// ErrNotHeld is returned when the duty is not held, or not for long enough to write.
var ErrNotHeld = errors.New("usage duty is not held")

// Duty is the lease under which windows are closed.
type Duty interface {
	// Held returns the fencing number and the time until which writes may be sent.
	Held(now time.Time) (number platform.Version, deadline time.Time, ok bool)
}

// Closer closes usage windows in their order while it holds the duty.
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

	// closing is held during a closing, and guards the two fields below it.
	closing sync.Mutex
	// acknowledged are the organisations of the window reporting whose reports the platform has acknowledged to
	// this closer.
	reporting    int64
	acknowledged map[string]bool

	mutex sync.Mutex
	state CloserState
}

// CloserState is shown in the dump of a process.
type CloserState struct {
	// Through is the start of the last window that this closer saw reported.
	Through time.Time `json:"through"`
	Windows int       `json:"closedWindows"`
	Reports int       `json:"acknowledgedReports"`
	// Expired is usage that arrived after the retention and was not reported.
	Expired usage.Amount `json:"expired"`
	Error   string       `json:"lastError,omitempty"`
}

// CloserOption changes a closer under construction.
type CloserOption func(*Closer)

// WithCloserWindow sets the length of a usage window; it must be the collectors'.
func WithCloserWindow(window time.Duration) CloserOption {
	return func(c *Closer) { c.window = window }
}

// WithGrace sets how long after its end a window is closed.
func WithGrace(grace time.Duration) CloserOption {
	return func(c *Closer) { c.grace = grace }
}

// WithCheckInterval sets the time between looks; 0 leaves closing to CloseDue.
func WithCheckInterval(interval time.Duration) CloserOption {
	return func(c *Closer) { c.interval = interval }
}

// WithRetention sets how many closed windows late counts are still taken into account for.
func WithRetention(windows int) CloserOption {
	return func(c *Closer) { c.retention = windows }
}

// WithCloserClock replaces time.Now.
func WithCloserClock(clock func() time.Time) CloserOption {
	return func(c *Closer) { c.clock = clock }
}

// WithCloserLog sets the log.
func WithCloserLog(log zerolog.Logger) CloserOption {
	return func(c *Closer) { c.log = log }
}

// NewCloser closes windows until the context ends.
func NewCloser(ctx context.Context, users platform.Platform, duty Duty, opts ...CloserOption) *Closer {
	closer := &Closer{
		periodic:  periodic{interval: DefaultCheckInterval},
		store:     users,
		reports:   users,
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
	closer.start(ctx, closer.tryClosing)
	return closer
}

// State returns the closer's state for the dump.
func (c *Closer) State() CloserState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

func (c *Closer) tryClosing(ctx context.Context) {
	err := c.CloseDue(ctx)
	if err != nil && !errors.Is(err, ErrNotHeld) {
		c.log.Warn().Err(err).Msg("usage windows are not closed yet")
	}
}

// CloseDue closes all windows whose grace time is over, the oldest first. After an error it is
// called again; what was done before is not undone or done differently.
func (c *Closer) CloseDue(ctx context.Context) error {
	c.closing.Lock()
	defer c.closing.Unlock()
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
		object, progress, err := c.progress(ctx)
		if errors.Is(err, errNoUsage) {
			return nil
		}
		if err != nil {
			return err
		}
		c.noteProgress(progress)
		window := progress.Through + c.seconds()
		if !c.due(window) {
			return nil
		}
		if err := c.closeWindow(ctx, window); err != nil {
			return errors.Wrap(err, windowName(window))
		}
		if err := c.put(ctx, ProgressName, Progress{Through: window}, object.Version); err != nil {
			return err
		}
		c.noteClosed()
		c.log.Info().Str("window", windowName(window)).Msg("usage window reported")
	}
}

func (c *Closer) seconds() int64 {
	return usage.WindowSeconds(c.window)
}

// due reports whether the window has ended and its grace time is over.
func (c *Closer) due(window int64) bool {
	end := time.Unix(window, 0).Add(c.window)
	return !c.clock().Before(end.Add(c.grace))
}

// oldest is the newest window that is no longer taken into account when the window is closed.
func (c *Closer) oldest(window int64) int64 {
	return window - int64(c.retention)*c.seconds()
}

// put writes the value under the duty.
func (c *Closer) put(ctx context.Context, name string, value any, ifVersion platform.Version) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, name)
	}
	return c.held(ctx, func(ctx context.Context) error {
		_, err := c.store.Put(ctx, name, raw, ifVersion)
		return err
	})
}

// held runs one write if the duty is held at that moment, and ends it with the term.
//
// A process may be paused between two steps and wake after another has taken the duty over; it
// would go on writing. Looking at the term right before each write, and ending the write with the
// term, leaves at most what is already on its way; the objects' conditions stop that. The end is a
// point in time: a timeout worked out before a pause would begin to run after it.
func (c *Closer) held(ctx context.Context, write func(context.Context) error) error {
	now := c.clock()
	_, deadline, ok := c.duty.Held(now)
	if !ok || !now.Before(deadline) {
		return ErrNotHeld
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return write(ctx)
}

func (c *Closer) noteProgress(progress Progress) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.Through = time.Unix(progress.Through, 0).UTC()
}

func (c *Closer) noteClosed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.Windows++
}

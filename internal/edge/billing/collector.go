package billing

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Defaults of a collector.
const (
	// DefaultFlushInterval bounds what is lost if a host and an agent die together. With two
	// writers in each of 22 availability zones it makes 9 writes a second, of several hundred.
	DefaultFlushInterval = 5 * time.Second
	// DefaultObjectBytes stays below the platform's megabyte.
	DefaultObjectBytes = 900_000
	// sharedWriter is the writer of hosts that have no objects of their own.
	sharedWriter = "shared"
	// keptWindows is how many windows a stored count stays in memory, for answers that come late.
	keptWindows = 2
)

// Collector stores the counts of its host's ledger in the platform. In an outage the ledger only
// grows, and everything is stored afterwards.
type Collector struct {
	periodic

	store       platform.Store
	ledger      *usage.Ledger
	zone        string
	writer      string
	window      time.Duration
	objectBytes int
	enabled     func() bool
	clock       func() time.Time
	log         zerolog.Logger

	// flushing is held during a flush, so that Flush may be called beside the timer, and guards objects.
	flushing sync.Mutex
	objects  map[part]*stored
	mutex    sync.Mutex
	shards   int
	stored   map[usage.Cell]usage.Amount
	state    CollectorState
}

// CollectorState is shown in the dump of a process.
type CollectorState struct {
	Cells    int       `json:"cells"`
	Unstored int       `json:"unstoredCells"`
	Shards   int       `json:"shards"`
	Flushed  time.Time `json:"lastFlush"`
	Failures int       `json:"failedFlushes"`
	Error    string    `json:"lastError,omitempty"`
}

// CollectorOption changes a collector under construction.
type CollectorOption func(*Collector)

// WithFlushInterval sets the mean time between flushes; 0 leaves flushing to Flush.
func WithFlushInterval(interval time.Duration) CollectorOption {
	return func(c *Collector) { c.interval = interval }
}

// WithWindow sets the length of a usage window.
func WithWindow(window time.Duration) CollectorOption {
	return func(c *Collector) { c.window = window }
}

// WithFlushIf flushes at the interval only while the function returns true, so that few hosts of an
// availability zone write for all.
func WithFlushIf(enabled func() bool) CollectorOption {
	return func(c *Collector) { c.enabled = enabled }
}

// WithWriter names the objects in which this host stores its counts. Hosts that don't flush regularly share one name:
// each flush of theirs reads the objects first.
func WithWriter(name string) CollectorOption {
	return func(c *Collector) { c.writer = name }
}

// WithObjectBytes bounds the length of one counts object.
func WithObjectBytes(limit int) CollectorOption {
	return func(c *Collector) { c.objectBytes = limit }
}

// WithCollectorClock replaces time.Now.
func WithCollectorClock(clock func() time.Time) CollectorOption {
	return func(c *Collector) { c.clock = clock }
}

// WithCollectorLog sets the log of failed flushes.
func WithCollectorLog(log zerolog.Logger) CollectorOption {
	return func(c *Collector) { c.log = log }
}

// NewCollector stores the ledger's counts until the context ends. The ledger must be one that is
// only merged into: the collector forgets old counts, and a writer would start again at zero.
func NewCollector(
	ctx context.Context, store platform.Store, ledger *usage.Ledger, zone string, opts ...CollectorOption,
) *Collector {
	collector := &Collector{
		periodic:    periodic{interval: DefaultFlushInterval},
		store:       store,
		ledger:      ledger,
		zone:        zone,
		writer:      sharedWriter,
		window:      DefaultWindow,
		objectBytes: DefaultObjectBytes,
		enabled:     func() bool { return true },
		clock:       time.Now,
		log:         zerolog.Nop(),
		shards:      1,
		objects:     make(map[part]*stored),
		stored:      make(map[usage.Cell]usage.Amount),
	}
	for _, opt := range opts {
		opt(collector)
	}
	collector.start(ctx, collector.tryFlush)
	return collector
}

// Merge takes counts over from answers or from other hosts.
func (c *Collector) Merge(counts ...usage.Count) {
	for _, count := range counts {
		c.ledger.Merge(count)
	}
}

// Follow takes over the counters of this host's own writer, and drops the old ones from it. A request adds to the
// window in which it ends, so that these are never added to again.
//
// The counters of a window go no later than the collector's counts of it. Otherwise each call would bring counts back
// that are stored and forgotten, and they would be handed over, read and compared once more at every gathering.
func (c *Collector) Follow(counters *usage.Ledger) {
	c.Merge(counters.Counts()...)
	oldest := c.oldestKept()
	counters.Forget(func(count usage.Count) bool { return count.Cell.Window < oldest })
}

// oldestKept is the first window whose stored counts stay in memory.
func (c *Collector) oldestKept() int64 {
	return usage.WindowStart(c.clock(), c.window) - keptWindows*usage.WindowSeconds(c.window)
}

// Unstored returns the counts that the platform is not known to have, for hosts that hand them to
// another host instead of flushing.
func (c *Collector) Unstored() []usage.Count {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var unstored []usage.Count
	for _, count := range c.ledger.Counts() {
		if c.isUnstored(count) {
			unstored = append(unstored, count)
		}
	}
	return unstored
}

// isUnstored expects the mutex to be held.
func (c *Collector) isUnstored(count usage.Count) bool {
	known, ok := c.stored[count.Cell]
	return !ok || known != count.Amount
}

// HasStored reports whether the platform is known to have at least these amounts, which the collector was given before.
// One that it has forgotten since is stored.
func (c *Collector) HasStored(counts []usage.Count) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, count := range counts {
		known, ok := c.stored[count.Cell]
		if c.ledger.Has(count.Cell) && (!ok || known.Max(count.Amount) != known) {
			return false
		}
	}
	return true
}

// Stored notes that the platform has the counts, which another host may have flushed, and drops
// those of old windows: a collector that never flushes by itself must not keep them for ever.
func (c *Collector) Stored(counts []usage.Count) {
	c.markStored(counts)
	// A flush that is under way writes what the ledger holds, and forgets by itself at its end.
	if c.flushing.TryLock() {
		defer c.flushing.Unlock()
		c.forgetOld()
	}
}

func (c *Collector) markStored(counts []usage.Count) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, count := range counts {
		c.stored[count.Cell] = c.stored[count.Cell].Max(count.Amount)
	}
}

// State returns the collector's state for the dump.
func (c *Collector) State() CollectorState {
	unstored := len(c.Unstored())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.state
	state.Cells = c.ledger.Len()
	state.Unstored = unstored
	state.Shards = c.shards
	return state
}

func (c *Collector) tryFlush(ctx context.Context) {
	if !c.enabled() {
		return
	}
	if err := c.Flush(ctx); err != nil {
		c.log.Warn().Err(err).Msg("usage counts are not stored yet")
	}
}

// forgetOld drops counts of old windows that the platform has. It expects flushing to be held.
//
// A flush replaces objects by what the ledger holds. If the ledger had less than they, the counts would be erased and
// their usage never reported. So what is known of the objects of a window goes before the window's counts, and a
// count that comes later makes the next flush read the objects.
func (c *Collector) forgetOld() {
	oldest := c.oldestKept()
	maps.DeleteFunc(c.objects, func(key part, _ *stored) bool { return key.window < oldest })
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ledger.Forget(func(count usage.Count) bool {
		return count.Cell.Window < oldest && !c.isUnstored(count)
	})
	for cell := range c.stored {
		if cell.Window < oldest && !c.ledger.Has(cell) {
			delete(c.stored, cell)
		}
	}
}

func (c *Collector) note(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.state.Failures++
		c.state.Error = err.Error()
		return
	}
	c.state.Error = ""
	c.state.Flushed = c.clock()
}

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
	// DefaultFlushInterval bounds the usage that is lost if a host and an agent fail together. With two
	// writers in each of 22 availability zones it causes 9 writes per second, of several hundred.
	DefaultFlushInterval = 5 * time.Second
	// DefaultObjectBytes is below the object size limit of the platform, one megabyte.
	DefaultObjectBytes = 900_000
	// sharedWriter is the writer name of hosts that have no objects of their own.
	sharedWriter = "shared"
	// retainedWindows is how many windows before the current one keep their stored counts in memory, for
	// responses that arrive late.
	retainedWindows = 2
)

// Collector stores the counts of the ledger of its host at the platform. During a platform outage the ledger
// only grows, and all of it is stored afterwards.
type Collector struct {
	periodic

	store        platform.Store
	ledger       *usage.Ledger
	zone         string
	writer       string
	window       time.Duration
	objectBytes  int
	flushEnabled func() bool
	clock        func() time.Time
	log          zerolog.Logger

	// flushMutex is held during a flush, because Flush may be called while the timer flushes too. It guards
	// shardStates.
	flushMutex  sync.Mutex
	shardStates map[shardKey]*shardState
	mutex       sync.Mutex
	shards      int
	stored      map[usage.Cell]usage.Amount
	state       CollectorState
}

// CollectorState is the part of a process's debug state that describes its collector.
type CollectorState struct {
	Cells    int       `json:"cells"`
	Unstored int       `json:"unstoredCells"`
	Shards   int       `json:"shards"`
	Flushed  time.Time `json:"lastFlush"`
	Failures int       `json:"failedFlushes"`
	Error    string    `json:"lastError,omitempty"`
}

// CollectorOption configures a collector.
type CollectorOption func(*Collector)

// WithFlushInterval sets the mean time between flushes. With 0 the collector flushes only when Flush is
// called.
func WithFlushInterval(interval time.Duration) CollectorOption {
	return func(c *Collector) { c.interval = interval }
}

// WithWindow sets the length of a usage window.
func WithWindow(window time.Duration) CollectorOption {
	return func(c *Collector) { c.window = window }
}

// WithFlushIf restricts the periodic flushes to times when enabled returns true, so that a few hosts of an
// availability zone write for all of them.
func WithFlushIf(enabled func() bool) CollectorOption {
	return func(c *Collector) { c.flushEnabled = enabled }
}

// WithWriter sets the writer name in the names of the objects in which this host stores its counts. Hosts
// that don't flush regularly share one name: each of their flushes reads the objects first.
func WithWriter(name string) CollectorOption {
	return func(c *Collector) { c.writer = name }
}

// WithObjectBytes limits the length of one counts object in bytes.
func WithObjectBytes(limit int) CollectorOption {
	return func(c *Collector) { c.objectBytes = limit }
}

// WithCollectorClock replaces time.Now.
func WithCollectorClock(clock func() time.Time) CollectorOption {
	return func(c *Collector) { c.clock = clock }
}

// WithCollectorLog sets the logger for failed flushes.
func WithCollectorLog(log zerolog.Logger) CollectorOption {
	return func(c *Collector) { c.log = log }
}

// NewCollector starts a collector that stores the counts of the ledger until ctx ends. Counts may only be
// merged into the ledger, not added to it: the collector removes old counts, and a count that is added to
// would start again at zero.
func NewCollector(
	ctx context.Context, store platform.Store, ledger *usage.Ledger, zone string, opts ...CollectorOption,
) *Collector {
	collector := &Collector{
		periodic:     periodic{interval: DefaultFlushInterval},
		store:        store,
		ledger:       ledger,
		zone:         zone,
		writer:       sharedWriter,
		window:       DefaultWindow,
		objectBytes:  DefaultObjectBytes,
		flushEnabled: func() bool { return true },
		clock:        time.Now,
		log:          zerolog.Nop(),
		shards:       1,
		shardStates:  make(map[shardKey]*shardState),
		stored:       make(map[usage.Cell]usage.Amount),
	}
	for _, opt := range opts {
		opt(collector)
	}
	collector.start(ctx, collector.flushAndLog)
	return collector
}

// Merge merges counts from responses or from other hosts into the ledger.
func (c *Collector) Merge(counts ...usage.Count) {
	for _, count := range counts {
		c.ledger.Merge(count)
	}
}

// ImportCounters merges the counts of the ledger in which this host counts its own usage, and removes old windows
// from that ledger. A request is counted in the window in which it ends, so old windows no longer change.
//
// Counters of a window are removed no later than the collector's own counts of it. Otherwise each call would
// bring back counts that the collector has stored and removed, and they would be sent, read and
// compared again at every gathering.
func (c *Collector) ImportCounters(counters *usage.Ledger) {
	c.Merge(counters.Counts()...)
	oldest := c.oldestRetained()
	counters.Forget(func(count usage.Count) bool { return count.Cell.Window < oldest })
}

// oldestRetained returns the start of the first window whose stored counts stay in memory, in Unix seconds.
func (c *Collector) oldestRetained() int64 {
	return usage.WindowStart(c.clock(), c.window) - retainedWindows*usage.WindowSeconds(c.window)
}

// Unstored returns the counts that the platform is not known to have. Hosts that don't flush pass them to
// another host.
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

// isUnstored requires the caller to hold mutex.
func (c *Collector) isUnstored(count usage.Count) bool {
	known, ok := c.stored[count.Cell]
	return !ok || known != count.Amount
}

// HasStored reports whether the platform is known to have at least the given amounts, which must have been
// merged into the collector before. A count that the collector has removed since then is stored.
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

// MarkStored records that the platform has the counts, which another host may have flushed, and removes
// stored counts of old windows, so that a collector that never flushes doesn't keep them forever.
func (c *Collector) MarkStored(counts []usage.Count) {
	c.recordStored(counts)
	// A running flush writes the content of the ledger, and removes old windows itself when it ends.
	if c.flushMutex.TryLock() {
		defer c.flushMutex.Unlock()
		c.forgetOldWindows()
	}
}

func (c *Collector) recordStored(counts []usage.Count) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, count := range counts {
		c.stored[count.Cell] = c.stored[count.Cell].Max(count.Amount)
	}
}

// State returns the collector's part of the debug state.
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

func (c *Collector) flushAndLog(ctx context.Context) {
	if !c.flushEnabled() {
		return
	}
	if err := c.Flush(ctx); err != nil {
		c.log.Warn().Err(err).Msg("failed to store usage counts, will retry")
	}
}

// forgetOldWindows removes stored counts of old windows. The caller must hold flushMutex.
//
// A flush overwrites objects with the counts in the ledger. If the ledger had fewer counts than the objects,
// the missing ones would be erased and their usage would never be reported. So the known state of a window's
// objects is removed before its counts, and a count that arrives later makes the next flush read the objects
// again.
func (c *Collector) forgetOldWindows() {
	oldest := c.oldestRetained()
	maps.DeleteFunc(c.shardStates, func(key shardKey, _ *shardState) bool { return key.window < oldest })
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

func (c *Collector) recordFlush(err error) {
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

package batchjob

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// job is a batch job in the memory of this process, which runs it or has read it from the store.
type job struct {
	spec *batch.Job
	// tokenRate is computed once; see batch.Job.TokenRate.
	tokenRate float64

	mu       sync.Mutex
	progress *batch.Progress
	// running is set while this process runs the job, hasRun from its first start on.
	running bool
	hasRun  bool
	// run is the current run, or else the last one; nil before the first.
	run *run
	// runs are the runs of items at servers that are under way, by item.
	runs map[string]*itemRun
	// betweenRuns are the items whose run has ended and that are neither queued nor started again yet.
	betweenRuns map[string]batch.IdleState
	// slowMoves are the items that left a slow server and haven't started elsewhere yet.
	slowMoves map[string]move
	// silences counts, by item, the runs without an answer since the last event.
	silences map[string]silence
	// interruptedRuns are runs that were interrupted lately, and whose servers haven't been counted as ended.
	interruptedRuns []interruptedRun
	// endedUnder holds the servers that were counted as ended under the items.
	endedUnder map[serverUse]bool
	// refusedEnds are those of them that were counted because the server refused connections, and may be taken back.
	refusedEnds map[serverUse]*refusedEnd
	// watched holds the items with a short run after which the server went on, since a server last ended under them.
	watched map[string]bool
	// rankingStale is set when an item waits again that ran when the placer last ranked the items.
	rankingStale bool
	// unaccepted is set while the store isn't known to hold the job, which then has no pages; see early.go. Its text and events are counted.
	unaccepted  bool
	earlyBytes  int
	earlyEvents int
	// settled is closed when an unaccepted job is accepted or given up; nil for any other job.
	settled chan struct{}
	// outOfMemory is set while unaccepted jobs may start no items because of their size.
	outOfMemory bool
	// handedOverBy is the leaving entry that handed the job over to this one, if any.
	handedOverBy gossip.Member
	// endRequested is set if the trainer ended the job and the end could not be stored yet.
	endRequested bool
	// writeAtOnce is set if results that were received before the acceptance wait for their first page.
	writeAtOnce bool
	// noRouteLogged is set once a reward call of the job without a route was logged.
	noRouteLogged bool
	// changed is closed and replaced when results are listed or the job ends; wakeup wakes the control loop.
	changed chan struct{}
	wakeup  chan struct{}
	// noNewPageAt is when the last query of the store began that found no page after those known.
	noNewPageAt time.Time
	// storeQuery is a semaphore, held by the reader that queries the store for new pages.
	storeQuery chan struct{}
	// lastUse is when the job was last used; jobs unused for long are evicted.
	lastUse time.Time
	// wg counts the work that the control loop has started. Runs follow one another, so that it belongs to one run at a time.
	wg conc.WaitGroup
}

// run is the time from a start of a job in this process until the job is stopped or finished.
type run struct {
	cancel  context.CancelFunc
	started time.Time
	// ended is closed when the control loop and all work that it started have ended.
	ended chan struct{}
}

// newJob returns a job of which no page is known yet.
//
// Each page names its writer, so that a job recognises its own page if the create was carried out but the answer was lost. Every job in
// memory gets a random writer of its own: a process that drops a job and runs it again numbers its writes from the start, and if the
// writer identified the process, an earlier page whose create was delayed would be mistaken for the new one.
func newJob(spec *batch.Job) *job {
	return &job{
		spec:        spec,
		tokenRate:   spec.TokenRate(),
		progress:    batch.NewProgress(spec, rand.Uint64()),
		runs:        map[string]*itemRun{},
		betweenRuns: map[string]batch.IdleState{},
		slowMoves:   map[string]move{},
		silences:    map[string]silence{},
		endedUnder:  map[serverUse]bool{},
		refusedEnds: map[serverUse]*refusedEnd{},
		watched:     map[string]bool{},
		changed:     make(chan struct{}),
		wakeup:      make(chan struct{}, 1),
		storeQuery:  make(chan struct{}, 1),
		lastUse:     time.Now(),
	}
}

// notifyReaders wakes the readers that wait for results. The caller holds the lock.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// wake wakes the control loop.
func (j *job) wake() {
	select {
	case j.wakeup <- struct{}{}:
	default:
	}
}

// end stops the job for good.
func (j *job) end() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.endLocked()
}

// endLocked is end for callers that hold the lock.
func (j *job) endLocked() {
	if j.progress.Ended() {
		return
	}
	j.progress.End()
	if j.run != nil {
		j.run.cancel()
	}
	j.notifyReaders()
	j.wake()
}

// stopRunning stops running the job here without ending it.
func (j *job) stopRunning() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running = false
	if j.run != nil {
		j.run.cancel()
	}
	j.wake()
}

// awaitEnd blocks until the last run has ended with all its work.
func (j *job) awaitEnd() {
	j.mu.Lock()
	last := j.run
	j.mu.Unlock()
	if last != nil {
		<-last.ended
	}
}

func (j *job) isRunning() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.running
}

// completedHere reports whether this process ran the job to its last result and the trainer hasn't ended it yet.
func (j *job) completedHere() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.hasRun && j.progress.Complete() && !j.progress.Ended()
}

// finished reports whether nothing is left to run.
func (j *job) finished() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.progress.Ended() || j.progress.Complete()
}

// mayStart reports whether items and reward calls of the job may start.
func (j *job) mayStart() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.endRequested && (!j.unaccepted || !j.outOfMemory)
}

// canAnswer reports whether a read from the position is best answered here: its results are known, or this process runs the job and learns
// of new results first.
func (j *job) canAnswer(from int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.running || j.progress.Complete() || from < j.progress.Published()
}

// recordNoNewPage records that a store query that began at the given time found no page after those known.
func (j *job) recordNoNewPage(queried time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if queried.After(j.noNewPageAt) {
		j.noNewPageAt = queried
	}
}

// resultsFrom returns the number of items, and the results from a position on that a read received at the given time may be shown. It
// returns false if the store must be queried first.
func (j *job) resultsFrom(received time.Time, from, maxBytes int) (int, []batch.Result, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastUse = time.Now()
	results, ok := j.progress.ReadResults(from, maxBytes, !j.noNewPageAt.Before(received))
	return j.progress.Total(), results, ok
}

// awaitResults waits until results are listed from the position on or the job is finished, for up to wait.
func (j *job) awaitResults(ctx context.Context, from int, wait time.Duration) {
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	for {
		j.mu.Lock()
		j.lastUse = time.Now()
		known := j.progress.Published() > from || j.progress.Ended() || j.progress.Complete()
		changed := j.changed
		j.mu.Unlock()
		if known || wait <= 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (j *job) body(item string) ([]byte, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.progress.Body(item)
}

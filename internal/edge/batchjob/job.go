package batchjob

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

// job is a batch job that this process knows: it runs it, or has read it from the store.
type job struct {
	spec *batch.Job

	mu       sync.Mutex
	progress *batch.Progress
	// runs is set while this process runs the job, ran once it has; stop ends the job's items.
	runs bool
	ran  bool
	stop context.CancelFunc
	// changed is closed when results are listed or the job ends; poke wakes the runner.
	changed chan struct{}
	poke    chan struct{}
	// shared is set once another process may run the job as well, and list results that this one doesn't know.
	shared bool
	// used is when the job was last used, for forgetting.
	used time.Time
	// endedAt is when the end of the job was learned; final says that all pages were read well after it.
	endedAt time.Time
	final   bool
	work    conc.WaitGroup
}

func newJob(spec *batch.Job, writer uint64) *job {
	return &job{
		spec:     spec,
		progress: batch.NewProgress(spec, writer),
		changed:  make(chan struct{}),
		poke:     make(chan struct{}, 1),
		used:     time.Now(),
	}
}

// tell wakes the readers of results. The caller holds the lock.
func (j *job) tell() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// wake wakes the runner.
func (j *job) wake() {
	select {
	case j.poke <- struct{}{}:
	default:
	}
}

// end stops the job.
func (j *job) end() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.progress.Ended() {
		return
	}
	j.progress.End()
	j.endedAt = time.Now()
	if j.stop != nil {
		j.stop()
	}
	j.tell()
	j.wake()
}

// yield stops running the job here without ending it.
func (j *job) yield() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = false
	if j.stop != nil {
		j.stop()
	}
	j.wake()
}

func (j *job) running() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs
}

// whole says that this process ran the job to its last result, and its trainer hasn't ended it yet.
func (j *job) whole() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ran && j.progress.Complete() && !j.progress.Ended()
}

// share notes that another process may run the job as well.
func (j *job) share() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.shared = true
}

func (j *job) isShared() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.shared && j.runs
}

// over says that nothing is left to run.
func (j *job) over() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.progress.Ended() || j.progress.Complete()
}

// shows says that a read from the position can be answered by what is known here: a position never changes, so that results
// that are there are right, but only the process that runs a job, or one that read all pages well after its end, knows that
// there are no others.
//
// Guard: a copy that was read while the job ran, and heard of its end later, misses pages; taken for the whole job it would
// show an empty list for positions that a trainer has read before.
func (j *job) shows(from int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs || j.final || j.progress.Complete() || from < j.progress.Listed()
}

// finalTime is how long after the end of a job a page may still be written: a call to the store may be carried out late.
const finalTime = 8 * time.Second

// caughtUp takes in that there is no page after those known.
func (j *job) caughtUp(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.final = j.progress.Ended() && now.Sub(j.endedAt) > finalTime
}

// results waits until there are results from the position on, for up to wait.
func (j *job) results(ctx context.Context, from int, wait time.Duration, maxBytes int) (int, []batch.Result) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		j.mu.Lock()
		j.used = time.Now()
		total, results := j.progress.Total(), j.progress.Results(from, maxBytes)
		over := j.progress.Ended() || from >= total
		changed := j.changed
		j.mu.Unlock()
		if len(results) > 0 || over || wait <= 0 {
			return total, results
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return total, results
		}
	}
}

func (j *job) body(item string) ([]byte, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.progress.Body(item)
}

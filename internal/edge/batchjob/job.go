package batchjob

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

// job is a batch job that this process knows: it runs it, or has read it from the store.
type job struct {
	spec *batch.Job
	// tokenRate is computed once; see batch.Job.TokenRate.
	tokenRate float64

	mu       sync.Mutex
	progress *batch.Progress
	// runs is set while this process runs the job, ran once it has; stop ends the job's items.
	runs bool
	ran  bool
	stop context.CancelFunc
	// routeMissing is set once no route served a reward call of the job.
	routeMissing bool
	// changed is closed when results are listed or the job ends; poke wakes the runner.
	changed chan struct{}
	poke    chan struct{}
	// asked is when the store was last asked for a page after those known, and had none.
	asked time.Time
	// asking is held by the reader that asks the store.
	asking chan struct{}
	// used is when the job was last used, for forgetting.
	used time.Time
	work conc.WaitGroup
}

// newJob returns a job of which no page is known yet.
//
// Guard: pages are marked with their writer, so that a page whose answer was lost is recognised. A process that forgets a job and runs it again
// counts its pages anew; under the mark of the process it would take a former page, carried out late, for its new one.
func newJob(spec *batch.Job) *job {
	return &job{
		spec:      spec,
		tokenRate: spec.TokenRate(),
		progress:  batch.NewProgress(spec, rand.Uint64()),
		changed:   make(chan struct{}),
		poke:      make(chan struct{}, 1),
		asking:    make(chan struct{}, 1),
		used:      time.Now(),
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
	j.endLocked()
}

// endLocked does what end does. The caller holds the lock.
func (j *job) endLocked() {
	if j.progress.Ended() {
		return
	}
	j.progress.End()
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

// over says that nothing is left to run.
func (j *job) over() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.progress.Ended() || j.progress.Complete()
}

// shows says that a read from the position is best answered here: its results are known, or this process runs the job and hears of new
// ones first.
func (j *job) shows(from int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs || j.progress.Complete() || from < j.progress.Listed()
}

// caughtUp takes in that the store, asked at a time, had no page after those known.
func (j *job) caughtUp(asked time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if asked.After(j.asked) {
		j.asked = asked
	}
}

// show returns the number of items, and what a read that came in at a time may be told; false if the store must be asked first.
func (j *job) show(came time.Time, from, maxBytes int) (int, []batch.Result, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.used = time.Now()
	results, ok := j.progress.Show(from, maxBytes, !j.asked.Before(came))
	return j.progress.Total(), results, ok
}

// await waits until there are results from the position on, for up to wait, or the job is over.
func (j *job) await(ctx context.Context, from int, wait time.Duration) {
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	for {
		j.mu.Lock()
		j.used = time.Now()
		known := j.progress.Listed() > from || j.progress.Ended() || j.progress.Complete()
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

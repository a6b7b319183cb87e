package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// readsOn is how long a trainer reads a job at most, readsAfter how long the readers beside it go on after that.
	readsOn    = 4 * time.Second
	readsAfter = 2 * time.Second
	// readWait is how long an entry may hold back a read.
	readWait = 300 * time.Millisecond
	// retryPause is the pause after an answer that brought nothing.
	retryPause = 100 * time.Millisecond
)

// ending is when a trainer ends its job.
type ending uint8

const (
	endsNever ending = iota
	// endsEarly ends the job while its items run or wait.
	endsEarly
	endsWhole
	endings
)

// jobSizes are how many items jobs have; the great ones wait for places at the engines.
var jobSizes = []int{8, 24, 64}

// keepTraining hands jobs in, one after the other, and reads each until it is whole or for some seconds.
func (l *load) keepTraining(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		l.w.mu.Lock()
		minVersion := max(1, l.w.weights-n%2)
		l.w.mu.Unlock()
		j := newJob(fmt.Sprintf("j%d-%d", number, n), jobSizes[rand.IntN(len(jobSizes))], minVersion, l.ledger)
		l.mu.Lock()
		l.jobs = append(l.jobs, j)
		l.mu.Unlock()
		for ctx.Err() == nil && !j.isAccepted() {
			l.submit(j)
			ticker.Sleep(ctx, retryPause)
		}
		if j.isAccepted() {
			l.train(ctx, j, ending(n%int(endings)))
		}
	}
}

// train reads a job, while others read it too, and ends it.
func (l *load) train(ctx context.Context, j *job, ends ending) {
	for range readersPerJob {
		l.readers.Go(func() {
			reading, stop := context.WithTimeout(ctx, readsOn+readsAfter)
			defer stop()
			l.keepReading(reading, j)
		})
	}
	early := rand.IntN(len(j.items))
	for until := time.Now().Add(readsOn); time.Now().Before(until) && ctx.Err() == nil && !j.whole(); {
		if ends == endsEarly && j.listed() >= early/2 {
			break
		}
		l.read(ctx, j, j.listed(), readWait)
	}
	if ends == endsNever {
		return
	}
	for until := time.Now().Add(readsOn); time.Now().Before(until) && ctx.Err() == nil && !l.end(j); {
		ticker.Sleep(ctx, retryPause)
	}
}

// submit hands the job in, perhaps not for the first time.
func (l *load) submit(j *job) {
	j.noteSubmission(l.ask(l.w.any(), question{
		kind: kindSubmission, method: http.MethodPost, path: "/job/" + j.id, key: l.w.currentKey(), id: j.id, body: j.submission(), fresh: rand.IntN(2) == 0,
	}))
}

// end ends the job, perhaps not for the first time, and says whether that was acknowledged.
func (l *load) end(j *job) bool {
	j.mu.Lock()
	if j.endSent.IsZero() {
		j.endSent = time.Now()
	}
	j.mu.Unlock()
	r := l.ask(l.w.any(), question{kind: kindEnd, method: http.MethodDelete, path: platformtest.JobTarget(j.id, 0), key: l.w.currentKey(), fresh: rand.IntN(2) == 0})
	j.noteEnd(r)
	return r.status == http.StatusOK
}

// read reads results at any entry from a position on, and returns the position after the last of them.
func (l *load) read(ctx context.Context, j *job, from int, wait time.Duration) int {
	status, next := l.readAt(l.w.any(), j, from, wait)
	if status != http.StatusOK {
		ticker.Sleep(ctx, retryPause)
	}
	return next
}

func (l *load) readAt(p *process, j *job, from int, wait time.Duration) (status, next int) {
	r := l.ask(p, question{kind: kindRead, method: http.MethodGet, path: platformtest.JobTarget(j.id, from), key: l.w.currentKey(), wait: wait, fresh: rand.IntN(2) == 0})
	j.noteResults(from, r)
	got, err := platformtest.ReadResults(r.body)
	if r.status != http.StatusOK || err != nil {
		return r.status, from
	}
	return r.status, min(from+len(got.Results), len(j.items))
}

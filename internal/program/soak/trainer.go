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
	// trainerReadTime is how long a trainer reads a job at most. The other readers of the job go on for extraReadTime after that.
	trainerReadTime = 4 * time.Second
	extraReadTime   = 2 * time.Second
	// longPollTime is how long a gateway may delay the response to a read until there are results.
	longPollTime = 300 * time.Millisecond
	// retryPause is the pause after an unsuccessful request.
	retryPause = 100 * time.Millisecond
)

// endPolicy says when a trainer ends its job.
type endPolicy uint8

const (
	endNever endPolicy = iota
	// endEarly ends the job while its items are running or queued.
	endEarly
	endComplete
	endPolicies
)

// jobSizes are the possible numbers of items of a job. Items of the large ones have to wait for slots at the engines.
var jobSizes = []int{8, 24, 64}

// runTrainer submits jobs one after the other. It reads each until it is complete or trainerReadTime has passed.
func (l *loadGenerator) runTrainer(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		l.env.mu.Lock()
		minVersion := max(1, l.env.modelVersion-n%2)
		l.env.mu.Unlock()
		j := newJob(fmt.Sprintf("j%d-%d", number, n), jobSizes[rand.IntN(len(jobSizes))], minVersion, l.env)
		l.mu.Lock()
		l.jobs = append(l.jobs, j)
		l.mu.Unlock()
		l.env.beginStep()
		for ctx.Err() == nil && !j.isAccepted() {
			l.submit(j)
			l.readUnlessAccepted(j)
			ticker.Sleep(ctx, retryPause)
		}
		if j.isAccepted() {
			l.train(ctx, j, endPolicy(n%int(endPolicies)))
		}
	}
}

// train reads a job together with other readers, and ends it according to the policy. It stops reading when the store is taken away at
// a step, so that further steps arrive in the outage.
func (l *loadGenerator) train(ctx context.Context, j *job, end endPolicy) {
	for range extraReadersPerJob {
		l.readers.Go(func() {
			reading, stop := context.WithTimeout(ctx, trainerReadTime+extraReadTime)
			defer stop()
			l.runReader(reading, j)
		})
	}
	early := rand.IntN(len(j.items))
	for deadline := time.Now().Add(trainerReadTime); time.Now().Before(deadline) && ctx.Err() == nil && !j.isComplete() && !l.env.isStepOutage(); {
		if end == endEarly && j.listedCount() >= early/2 {
			break
		}
		l.read(ctx, j, j.listedCount(), longPollTime)
	}
	if end == endNever {
		return
	}
	for deadline := time.Now().Add(trainerReadTime); time.Now().Before(deadline) && ctx.Err() == nil && !l.end(j); {
		ticker.Sleep(ctx, retryPause)
	}
}

// submit submits the job, possibly again.
func (l *loadGenerator) submit(j *job) {
	l.env.submissions.Add(1)
	j.recordSubmission(l.do(l.env.randomProcess(), clientRequest{
		kind: requestSubmission, method: http.MethodPost, path: "/job/" + j.id, key: l.env.currentKey(), id: j.id,
		body: j.submission(), newConnection: rand.IntN(2) == 0,
	}))
}

// readUnlessAccepted reads a job whose submission had no answer that accepts it. It may be unknown, but nothing may be listed that is not in
// the store.
func (l *loadGenerator) readUnlessAccepted(j *job) {
	if j.isAccepted() {
		return
	}
	r := l.do(l.env.randomProcess(), clientRequest{
		kind: requestRead, method: http.MethodGet, path: platformtest.JobTarget(j.id, 0), key: l.env.currentKey(),
	})
	if r.status == http.StatusOK {
		j.recordResults(0, r)
	}
}

// end sends the end request of the job, possibly again, and reports whether it was acknowledged.
func (l *loadGenerator) end(j *job) bool {
	j.mu.Lock()
	if j.endSent.IsZero() {
		j.endSent = time.Now()
	}
	j.mu.Unlock()
	r := l.do(l.env.randomProcess(), clientRequest{
		kind: requestEnd, method: http.MethodDelete, path: platformtest.JobTarget(j.id, 0), key: l.env.currentKey(),
		newConnection: rand.IntN(2) == 0,
	})
	j.recordEnd(r)
	return r.status == http.StatusOK
}

// read reads results from a random gateway, starting at position from. It returns the position after the last result.
func (l *loadGenerator) read(ctx context.Context, j *job, from int, wait time.Duration) int {
	status, next := l.readAt(l.env.randomProcess(), j, from, wait)
	if status != http.StatusOK {
		ticker.Sleep(ctx, retryPause)
	}
	return next
}

func (l *loadGenerator) readAt(p *process, j *job, from int, wait time.Duration) (status, next int) {
	r := l.do(p, clientRequest{
		kind: requestRead, method: http.MethodGet, path: platformtest.JobTarget(j.id, from), key: l.env.currentKey(), wait: wait,
		newConnection: rand.IntN(2) == 0,
	})
	j.recordResults(from, r)
	got, err := platformtest.ReadResults(r.body)
	if r.status != http.StatusOK || err != nil {
		return r.status, from
	}
	return r.status, min(from+len(got.Results), len(j.items))
}

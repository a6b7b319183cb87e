package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// extraReadersPerJob is the number of readers of a job besides its trainer.
	extraReadersPerJob = 3
	// lateReaderCount is the number of readers that read random jobs of the entire run, including jobs that their trainers no longer read.
	lateReaderCount = 2
	// maxReadPause is the longest pause between two requests of one reader.
	maxReadPause = 120 * time.Millisecond
	// resubmitTime is how long after its acceptance a job may be submitted again.
	resubmitTime = 5 * time.Second
)

// runReader reads a job from random gateways and keeps its own position, like one of several consumers of an organisation that share
// a job.
func (l *loadGenerator) runReader(ctx context.Context, j *job) {
	next := 0
	for ctx.Err() == nil {
		next = l.runRandomRequest(ctx, j, next)
		ticker.Sleep(ctx, time.Duration(rand.Int64N(int64(maxReadPause))))
	}
}

// runLateReader reads jobs that were accepted at any time of the run.
func (l *loadGenerator) runLateReader(ctx context.Context) {
	for ctx.Err() == nil {
		if j, ok := l.randomJob(); ok {
			l.runRandomRequest(ctx, j, 0)
		}
		ticker.Sleep(ctx, time.Duration(rand.Int64N(int64(maxReadPause))))
	}
}

func (l *loadGenerator) randomJob() (*job, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.jobs) == 0 {
		return nil, false
	}
	j := l.jobs[rand.IntN(len(l.jobs))]
	return j, j.isAccepted()
}

// runRandomRequest sends one random request about a job whose results before next the reader has read. It returns the reader's new
// position.
func (l *loadGenerator) runRandomRequest(ctx context.Context, j *job, next int) int {
	const kinds = 16
	switch draw := rand.IntN(kinds); {
	case draw == 0 && j.isEndSent():
		l.end(j)
	case draw <= 2 && time.Since(j.acceptedAt()) < resubmitTime:
		l.submit(j)
	case draw <= 4:
		item := j.items[rand.IntN(len(j.items))].ID
		j.recordBody(item, l.do(l.env.randomProcess(), clientRequest{
			kind: requestBody, method: http.MethodGet, path: platformtest.ItemTarget(j.id, item), key: l.env.currentKey(),
			newConnection: rand.IntN(2) == 0,
		}))
	case draw <= 7:
		return l.read(ctx, j, next, longPollTime)
	default:
		l.read(ctx, j, l.randomPosition(j), 0)
	}
	return next
}

// randomPosition returns where a read begins: at the start, at a random listed position, at the last listed position, after it, or at
// the end.
func (l *loadGenerator) randomPosition(j *job) int {
	listed := j.listedCount()
	return []int{0, rand.IntN(listed + 1), max(0, listed-1), listed, len(j.items)}[rand.IntN(5)]
}

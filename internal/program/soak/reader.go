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
	// readersPerJob read a job beside its trainer.
	readersPerJob = 3
	// laggards read jobs that others have left.
	laggards = 2
	// maxReadPause is the longest pause between two requests of one reader.
	maxReadPause = 120 * time.Millisecond
	// repeatTime is how long after its acceptance a submission may be repeated.
	repeatTime = 5 * time.Second
)

// keepReading reads a job at all entries with a view of its own, as consumers of the same organisation do that work together.
func (l *load) keepReading(ctx context.Context, j *job) {
	next := 0
	for ctx.Err() == nil {
		next = l.look(ctx, j, next)
		ticker.Sleep(ctx, time.Duration(rand.Int64N(int64(maxReadPause))))
	}
}

// keepLooking reads jobs that were accepted at any time of the run.
func (l *load) keepLooking(ctx context.Context) {
	for ctx.Err() == nil {
		if j, ok := l.anyJob(); ok {
			l.look(ctx, j, 0)
		}
		ticker.Sleep(ctx, time.Duration(rand.Int64N(int64(maxReadPause))))
	}
}

func (l *load) anyJob() (*job, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.jobs) == 0 {
		return nil, false
	}
	j := l.jobs[rand.IntN(len(l.jobs))]
	return j, j.isAccepted()
}

// look asks one thing about a job of which the reader has read the results before next, and returns where it stands then.
func (l *load) look(ctx context.Context, j *job, next int) int {
	const kinds = 16
	switch draw := rand.IntN(kinds); {
	case draw == 0 && j.endWasSent():
		l.end(j)
	case draw <= 2 && time.Since(j.acceptedAt()) < repeatTime:
		l.submit(j)
	case draw <= 4:
		item := j.items[rand.IntN(len(j.items))].ID
		j.noteBody(item, l.ask(l.w.any(), question{
			kind: kindBody, method: http.MethodGet, path: platformtest.ItemTarget(j.id, item), key: l.w.currentKey(), fresh: rand.IntN(2) == 0,
		}))
	case draw <= 7:
		return l.read(ctx, j, next, readWait)
	default:
		l.read(ctx, j, l.position(j), 0)
	}
	return next
}

// position draws where a read begins: at the start, in between, at the last position that anybody was shown, after it, or at the end.
func (l *load) position(j *job) int {
	listed := j.listed()
	return []int{0, rand.IntN(listed + 1), max(0, listed-1), listed, len(j.items)}[rand.IntN(5)]
}

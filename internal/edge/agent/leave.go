package agent

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// pauseDuration is how long an agent takes no new work after the last order from the holder of the availability
// zone's lease, which repeats the order every few seconds.
//
// The pause expires because the holder may die after sending the order. Its successor may not want to stop the server
// and doesn't know about the pause; without an expiry the server would be paid for but serve no requests.
const pauseDuration = 20 * time.Second

// pause is the last order from the holder of the availability zone's lease.
type pause struct {
	until   time.Time
	fencing uint64
}

func (p pause) active(now time.Time) bool { return now.Before(p.until) }

// apply applies an order, or refuses it if a newer holder of the lease has sent one. A holder whose process was
// suspended may resume and send an order that its successor has since revoked.
func (p *pause) apply(now time.Time, req request.Drain) error {
	if req.Fencing < p.fencing {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonFenced, 0, "fencing number %d is older than %d", req.Fencing, p.fencing)
	}
	p.fencing = req.Fencing
	p.until = time.Time{}
	if req.Drain {
		p.until = now.Add(pauseDuration)
	}
	return nil
}

// handleDrain handles an order from the holder of the availability zone's lease to take no new work, because the
// server is to be stopped, or to take work again. Queued and running requests continue, so that stopping the server
// doesn't interrupt any.
func (a *Agent) handleDrain(_ context.Context, req request.Drain) (request.Load, error) {
	var load request.Load
	var err error
	ok := a.runOnControlLoop(func(now time.Time) {
		err = a.control.pause.apply(now, req)
		load = a.control.load(now)
	})
	if !ok {
		return request.Load{}, ErrStopped
	}
	return load, err
}

package agent

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// pauseLife is how long an agent takes no new work after the zone's duty holder last said so; the holder says
// it every few seconds.
//
// Guard: a holder dies after it told an agent to leave. Its successor may not want the server stopped, and doesn't
// know of it; the server would be paid for and serve nobody. The pause ends by itself.
const pauseLife = 20 * time.Second

// pause is the last order of the zone's duty holder.
type pause struct {
	until   time.Time
	fencing uint64
}

func (p pause) holds(now time.Time) bool { return now.Before(p.until) }

// set takes an order, unless a newer holder has given one: a holder that was paused itself may wake and send
// an order that its successor has taken back.
func (p *pause) set(now time.Time, q request.Drain) error {
	if q.Fencing < p.fencing {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonFenced, 0, "fencing number %d is older than %d", q.Fencing, p.fencing)
	}
	p.fencing = q.Fencing
	p.until = time.Time{}
	if q.Drain {
		p.until = now.Add(pauseLife)
	}
	return nil
}

// leave takes the order of the zone's duty holder to take no new work before the server is stopped, or to
// take work again. Requests that are queued or running go on: a stopped server must not cut off any.
func (a *Agent) leave(_ context.Context, q request.Drain) (request.Load, error) {
	var load request.Load
	var err error
	ok := a.do(func(now time.Time) {
		err = a.control.pause.set(now, q)
		load = a.control.load(now)
	})
	if !ok {
		return request.Load{}, ErrEnded
	}
	return load, err
}

package agent

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// leave takes the order of the zone's duty holder to take no new work before the server is stopped, or to
// take work again. Requests that are queued or running go on: a stopped server must not cut off any.
func (a *Agent) leave(_ context.Context, q request.Leave) (request.Load, error) {
	var load request.Load
	ok := a.do(func(now time.Time) {
		a.control.paused = q.Leave
		load = a.control.load(now)
	})
	if !ok {
		return request.Load{}, ErrEnded
	}
	return load, nil
}

package admission

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// PlannedStop is a stop of a process that has begun. Callers whose connections are open go on to send requests until the process has ended.
type PlannedStop struct {
	// AcceptUntil is until when all requests are accepted: the load balancer may still choose the host, so that a caller that is refused may
	// come back to it.
	AcceptUntil time.Time
	// End is when the process stops waiting for answers; zero if it waits for all.
	End time.Time
}

// Check refuses a request that may still be unanswered when the process ends. It must not have been sent to a server. Its caller can go to
// another host at once. A nil stop accepts all requests.
func (s *PlannedStop) Check(now, deadline time.Time) error {
	if s == nil || s.End.IsZero() || now.Before(s.AcceptUntil) || !deadline.After(s.End) {
		return nil
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonLeaving, 0, "the host stops before the request's deadline")
}

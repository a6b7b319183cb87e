package agent

import (
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// check holds a request against the agent's own view. The entry has checked it too, but a view that
// is newer here wins: a key that was withdrawn after the entry admitted the request runs nothing.
func (a *Agent) check(now time.Time, q request.Execute) (ticket.Pool, error) {
	view := a.deps.View()
	if !a.deps.Fresh(now) {
		return ticket.Pool{}, isolated()
	}
	if q.Pool != a.config.Pool {
		return ticket.Pool{}, verdict.Refuse(verdict.NotRun, verdict.ReasonWrongPool, retrySoon,
			"this agent serves pool %s, not %s", a.config.Pool, q.Pool)
	}
	pool, ok := view.Pool(q.Pool)
	if !ok {
		return pool, a.unknown(view, q, notFound(q.Pool))
	}
	if !view.KeyValid(q.Organisation, q.KeyHash) {
		return pool, a.unknown(view, q, keyWithdrawn(verdict.NotRun))
	}
	if len(pool.Organisations) > 0 && !slices.Contains(pool.Organisations, q.Organisation) {
		return pool, a.unknown(view, q, verdict.Refuse(verdict.NotRun, verdict.ReasonForbidden, 0,
			"organisation %s may not use pool %s", q.Organisation, q.Pool))
	}
	if q.Remaining < 0 {
		return pool, verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlinePassed, retrySoon,
			"the deadline passed before the agent was reached")
	}
	return pool, nil
}

// unknown returns the refusal, or that the agent's view is behind the entry's: then another agent may
// know what this one doesn't yet.
func (a *Agent) unknown(view *ticket.View, q request.Execute, refusal *verdict.Refusal) *verdict.Refusal {
	if view.Revision() >= q.Revision {
		return refusal
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonStaleView, retrySoon,
		"the agent is at revision %d, the entry at %d", view.Revision(), q.Revision)
}

func notFound(pool string) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0, "pool %s is unknown", pool)
}

func keyWithdrawn(v verdict.Verdict) *verdict.Refusal {
	return verdict.Refuse(v, verdict.ReasonKeyWithdrawn, 0, "the key was withdrawn")
}

func isolated() *verdict.Refusal { return isolatedWith(verdict.NotRun) }

func isolatedWith(v verdict.Verdict) *verdict.Refusal {
	return verdict.Refuse(v, verdict.ReasonIsolated, retrySoon,
		"the agent's configuration was not confirmed lately")
}

func cancelled(v verdict.Verdict) *verdict.Refusal {
	return verdict.Refuse(v, verdict.ReasonCancelled, 0, "the caller has gone")
}

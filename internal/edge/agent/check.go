package agent

import (
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// checkRequest checks a request against the agent's own configuration. The entry has checked it too, but the
// agent's configuration may be newer: a request must not run if its key was withdrawn after the entry admitted it.
func (a *Agent) checkRequest(now time.Time, req request.Execute) (ticket.Pool, error) {
	view := a.deps.View()
	if !a.deps.Fresh(now) {
		return ticket.Pool{}, isolatedNotRun()
	}
	if req.Pool != a.config.Pool {
		return ticket.Pool{}, verdict.Refuse(verdict.NotRun, verdict.ReasonWrongPool, defaultRetryDelay,
			"this agent serves pool %s, not %s", a.config.Pool, req.Pool)
	}
	pool, ok := view.Pool(req.Pool)
	if !ok {
		return pool, a.refuseUnlessStale(view, req, poolNotFoundRefusal(req.Pool))
	}
	if !view.KeyValid(req.Organisation, req.KeyHash) {
		return pool, a.refuseUnlessStale(view, req, keyWithdrawnRefusal(verdict.NotRun))
	}
	if len(pool.Organisations) > 0 && !slices.Contains(pool.Organisations, req.Organisation) {
		return pool, a.refuseUnlessStale(view, req, verdict.Refuse(verdict.NotRun, verdict.ReasonForbidden, 0,
			"organisation %s may not use pool %s", req.Organisation, req.Pool))
	}
	if req.Remaining < 0 {
		return pool, verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlinePassed, defaultRetryDelay,
			"the deadline passed before the agent was reached")
	}
	return pool, nil
}

// refuseUnlessStale returns the refusal if the agent's configuration is at least as new as the entry's. Otherwise
// it returns a refusal with ReasonStaleView, since another agent may already have the newer configuration.
func (a *Agent) refuseUnlessStale(view *ticket.View, req request.Execute, refusal *verdict.Refusal) *verdict.Refusal {
	if view.Revision() >= req.Revision {
		return refusal
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonStaleView, defaultRetryDelay,
		"the agent is at revision %d, the entry at %d", view.Revision(), req.Revision)
}

func poolNotFoundRefusal(pool string) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0, "pool %s is unknown", pool)
}

func keyWithdrawnRefusal(v verdict.Verdict) *verdict.Refusal {
	return verdict.Refuse(v, verdict.ReasonKeyWithdrawn, 0, "the key was withdrawn")
}

func isolatedNotRun() *verdict.Refusal { return isolatedRefusal(verdict.NotRun) }

func isolatedRefusal(v verdict.Verdict) *verdict.Refusal {
	return verdict.Refuse(v, verdict.ReasonIsolated, defaultRetryDelay,
		"the agent's configuration was not confirmed lately")
}

func cancelledRefusal(v verdict.Verdict) *verdict.Refusal {
	return verdict.Refuse(v, verdict.ReasonCancelled, 0, "the caller has gone")
}

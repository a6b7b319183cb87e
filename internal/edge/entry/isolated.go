package entry

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// isolatedRetryInterval is the wait before agents are tried again that consider themselves isolated.
	isolatedRetryInterval = 250 * time.Millisecond
	// maxIsolatedWait bounds the total wait of a request for such agents. Relays find out within about a second
	// whether the platform is down or a host is cut off.
	maxIsolatedWait = 1500 * time.Millisecond
)

// refusingAgents are the agents that refused one request because they considered themselves isolated, as their
// configuration wasn't confirmed recently, or because they had no room.
//
// When the platform goes down, an agent's last confirmation may become too old just before its relays find out that
// this is an outage, and not that the agent is cut off. Without retries a caller would be refused with all servers
// idle, although the entry's own view is fresh. So if no other agent is left, the entry retries for a short time; an
// agent that is really cut off keeps refusing, and the caller gets its refusal.
//
// Agents that refused for lack of room are retried too while the request waits. Otherwise the request would be refused
// because one agent stays isolated, although another one that had no room at first may be idle by then.
type refusingAgents struct {
	// hosts are the agents to retry.
	hosts []string
	// retried are the agents that were made available for a retry.
	retried map[string]bool
	// isolatedSince is when the first agent refused as isolated.
	isolatedSince time.Time
}

// add records an agent's refusal, and returns whether further attempts at the agent are bounded by time instead of by
// number.
func (r *refusingAgents) add(hostID string, refusal *verdict.Refusal) bool {
	isolated := refusal.Reason == verdict.ReasonIsolated
	noRoom := refusal.Reason == verdict.ReasonOverloaded || refusal.Reason == verdict.ReasonNoRoom
	if refusal.Verdict != verdict.NotRun || !isolated && !noRoom {
		return false
	}
	if isolated && r.isolatedSince.IsZero() {
		r.isolatedSince = time.Now()
	}
	r.hosts = append(r.hosts, hostID)
	return isolated || r.retried[hostID]
}

// wait waits for isolatedRetryInterval and removes the agents from tried. It returns false if none considered itself
// isolated, the total wait is over, or ctx has ended.
func (r *refusingAgents) wait(ctx context.Context, tried map[string]bool) bool {
	if len(r.hosts) == 0 || r.isolatedSince.IsZero() || time.Since(r.isolatedSince) > maxIsolatedWait {
		return false
	}
	if !ticker.Sleep(ctx, isolatedRetryInterval) {
		return false
	}
	if r.retried == nil {
		r.retried = map[string]bool{}
	}
	for _, hostID := range r.hosts {
		delete(tried, hostID)
		r.retried[hostID] = true
	}
	r.hosts = nil
	return true
}

package entry

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// isolatedPause is the pause before an agent is asked again that took itself for cut off.
	isolatedPause = 250 * time.Millisecond
	// isolatedMost is how long a request waits for such agents in all. Relays find out within about a second whether the platform is down
	// or a host is cut off.
	isolatedMost = 1500 * time.Millisecond
)

// isolatedAgents are the agents that refused one request because their configuration was not confirmed lately.
//
// Guard: the platform goes down, and an agent's last confirmation is too old a moment before its relays have found out that it is an
// outage and not a cut. A caller was refused with all servers idle, though the entry's own view was in order. So where no other agent
// is left the entry asks again for a moment; an agent that is really cut off refuses on, and the caller hears so.
//
// Agents that refused for want of room are asked again too while the request waits: else it was refused as the one agent stayed
// cut off, though the other had been idle for a second.
type isolatedAgents struct {
	// hosts are to be asked again.
	hosts []string
	// again are those that were.
	again map[string]bool
	since time.Time
}

// note takes in how an agent refused, and returns whether tries at it are bounded by time.
func (i *isolatedAgents) note(hostID string, refusal *verdict.Refusal) bool {
	isolated := refusal.Reason == verdict.ReasonIsolated
	full := refusal.Reason == verdict.ReasonOverloaded || refusal.Reason == verdict.ReasonNoRoom
	if refusal.Verdict != verdict.NotRun || !isolated && !full {
		return false
	}
	if isolated && i.since.IsZero() {
		i.since = time.Now()
	}
	i.hosts = append(i.hosts, hostID)
	return isolated || i.again[hostID]
}

// wait waits a moment and lets the agents be tried again; false if none took itself for cut off, or the time for that is over.
func (i *isolatedAgents) wait(ctx context.Context, tried map[string]bool) bool {
	if len(i.hosts) == 0 || i.since.IsZero() || time.Since(i.since) > isolatedMost {
		return false
	}
	if !ticker.Sleep(ctx, isolatedPause) {
		return false
	}
	if i.again == nil {
		i.again = map[string]bool{}
	}
	for _, hostID := range i.hosts {
		delete(tried, hostID)
		i.again[hostID] = true
	}
	i.hosts = nil
	return true
}

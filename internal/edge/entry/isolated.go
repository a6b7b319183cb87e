package entry

import (
	"context"
	"slices"
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
type isolatedAgents struct {
	hosts []string
	since time.Time
}

// note takes in how an agent refused, and returns whether it took itself for cut off.
func (i *isolatedAgents) note(hostID string, refusal *verdict.Refusal) bool {
	if refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonIsolated {
		return false
	}
	if i.since.IsZero() {
		i.since = time.Now()
	}
	if !slices.Contains(i.hosts, hostID) {
		i.hosts = append(i.hosts, hostID)
	}
	return true
}

// wait waits a moment and lets these agents be tried again; false if there are none, or they have had their time.
func (i *isolatedAgents) wait(ctx context.Context, tried map[string]bool) bool {
	if len(i.hosts) == 0 || time.Since(i.since) > isolatedMost {
		return false
	}
	if !ticker.Sleep(ctx, isolatedPause) {
		return false
	}
	for _, hostID := range i.hosts {
		delete(tried, hostID)
	}
	i.hosts = nil
	return true
}

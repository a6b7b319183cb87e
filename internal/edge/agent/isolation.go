package agent

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/queue"
)

// isolationGrace is how long the configuration may stay unconfirmed before streams are cut. With the
// 3 s after which a view counts as unconfirmed, a withdrawn key stops within 4 s even where its
// withdrawal never arrives; a shorter grace would cut streams for a moment's delay of one message.
const isolationGrace = time.Second

// errIsolated is the cause of the end of a run whose agent was cut off.
var errIsolated = errors.New("agent is isolated")

// isolation watches whether the configuration is still confirmed.
//
// An agent that is cut off does not learn that a key was withdrawn, and a stream of that key would go
// on for as long as the cut lasts. So an isolated agent refuses what is queued and cuts the streams.
// Calls that may not be cut short finish. An outage of the platform is no isolation: no key can be
// withdrawn then.
type isolation struct {
	fresh func(now time.Time) bool
	since time.Time
}

// persists says whether the agent has been isolated for longer than the grace.
func (i *isolation) persists(now time.Time) bool {
	if i.fresh(now) {
		i.since = time.Time{}
		return false
	}
	if i.since.IsZero() {
		i.since = now
	}
	return now.Sub(i.since) >= isolationGrace
}

// checkIsolation refuses and cuts what an isolated agent may not serve.
func (c *control) checkIsolation(now time.Time) {
	if !c.isolation.persists(now) {
		return
	}
	for _, item := range c.queue.Remove(func(queue.Item[*job]) bool { return true }) {
		c.drop(now, item.Value, isolated())
	}
	for j := range c.running {
		if j.cancellable {
			j.cancel(errIsolated)
		}
	}
}

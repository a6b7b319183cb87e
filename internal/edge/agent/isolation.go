package agent

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/queue"
)

// isolationGrace is how long the configuration may stay unconfirmed before streams are cancelled. A configuration
// counts as unconfirmed after 3 s, so the streams of a withdrawn key end within 4 s even if the withdrawal never
// reaches the agent. With a shorter grace a short delay of one message would cancel streams.
const isolationGrace = time.Second

// errIsolated is the cancellation cause of a request whose agent is isolated.
var errIsolated = errors.New("agent is isolated")

// isolation tracks how long the configuration has been unconfirmed.
//
// An agent that is cut off from its peers doesn't learn that a key was withdrawn, and a stream of that key would
// continue until the connection is restored. An isolated agent therefore refuses queued requests and cancels streams;
// uncancellable calls finish. An outage of the platform is not isolation, since no key can be withdrawn during it.
type isolation struct {
	fresh            func(now time.Time) bool
	unconfirmedSince time.Time
}

// exceedsGrace reports whether the configuration has been unconfirmed for at least isolationGrace.
func (i *isolation) exceedsGrace(now time.Time) bool {
	if i.fresh(now) {
		i.unconfirmedSince = time.Time{}
		return false
	}
	if i.unconfirmedSince.IsZero() {
		i.unconfirmedSince = now
	}
	return now.Sub(i.unconfirmedSince) >= isolationGrace
}

// enforceIsolation refuses the queued requests and cancels the cancellable running ones if the agent is isolated.
func (c *control) enforceIsolation(now time.Time) {
	if !c.isolation.exceedsGrace(now) {
		return
	}
	for _, item := range c.queue.Remove(func(queue.Item[*job]) bool { return true }) {
		c.refuse(now, item.Value, isolatedNotRun())
	}
	for j := range c.running {
		if j.cancellable {
			j.cancel(errIsolated)
		}
	}
}

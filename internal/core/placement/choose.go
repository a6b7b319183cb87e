package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// option is a server with the estimate of when a request would start there.
type option struct {
	server  Server
	start   time.Duration
	trial   bool
	leaving bool
}

// Choose returns the probed server at which a request of the cost starts soonest; false if none may
// take it. A server whose probe failed is judged by its last report, behind those that answered.
func (t *Tracker) Choose(now time.Time, probed []Probed, cost float64) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	options := make([]option, 0, len(probed))
	for _, p := range probed {
		if o := t.weigh(now, p, cost); !o.leaving {
			options = append(options, o)
		}
	}
	if len(options) == 0 {
		return Server{}, false
	}
	best := slices.MinFunc(options, compareOptions)
	if best.trial {
		t.hosts[best.server.HostID].onTrial = false
	}
	return best.server, true
}

func compareOptions(a, b option) int {
	return cmp.Or(
		cmp.Compare(trialFirst(a), trialFirst(b)),
		cmp.Compare(a.start, b.start),
		cmp.Compare(a.server.HostID, b.server.HostID),
	)
}

func trialFirst(o option) int {
	if o.trial {
		return 0
	}
	return 1
}

// weigh estimates the start at one server.
func (t *Tracker) weigh(now time.Time, p Probed, _ float64) option {
	host := t.host(now, p.Server.HostID)
	host.pool = p.Server.Pool
	if p.Err == nil {
		host.load = p.Load
		host.reported = now
		return t.option(p.Server, host, p.RoundTrip/2)
	}
	host.onTrial = false
	host.learn(0, true)
	t.judge(now)
	if now.Sub(host.reported) > reportTime {
		return option{server: p.Server, start: reportTime, leaving: p.Server.Leaving}
	}
	return t.option(p.Server, host, unprobedPenalty)
}

func (t *Tracker) option(server Server, host *hostState, extra time.Duration) option {
	start := host.load.Wait + extra + time.Duration(use(host.load)*float64(useTime))
	if !host.load.PrefixCached {
		start += t.cacheSaving
	}
	return option{
		server:  server,
		start:   start,
		trial:   host.spared && host.onTrial,
		leaving: host.load.Draining || server.Leaving,
	}
}

// use is how full a server is: 1 when all slots are taken and nothing waits.
func use(load request.Load) float64 {
	return float64(load.Running+load.Queued) / float64(max(1, load.Limit))
}

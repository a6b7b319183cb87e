package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// estimate is a server with the estimated delay until a request would start there.
type estimate struct {
	server  Server
	start   time.Duration
	trial   bool
	leaving bool
}

// Choose returns the probed server where a request is estimated to start soonest; false if all are leaving. A
// server on trial comes first. A server whose probe failed is estimated from its last load report, with a penalty.
// The estimate doesn't depend on cost.
func (t *Tracker) Choose(now time.Time, probed []ProbeResult, cost float64) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	estimates := make([]estimate, 0, len(probed))
	for _, p := range probed {
		if e := t.estimateProbed(now, p, cost); !e.leaving {
			estimates = append(estimates, e)
		}
	}
	if len(estimates) == 0 {
		return Server{}, false
	}
	best := slices.MinFunc(estimates, compareEstimates)
	if best.trial {
		t.hosts[best.server.HostID].onTrial = false
	}
	return best.server, true
}

func compareEstimates(a, b estimate) int {
	return cmp.Or(
		cmp.Compare(trialRank(a), trialRank(b)),
		cmp.Compare(a.start, b.start),
		cmp.Compare(a.server.HostID, b.server.HostID),
	)
}

func trialRank(e estimate) int {
	if e.trial {
		return 0
	}
	return 1
}

// estimateProbed estimates the start of a request at a probed server. It stores the load that the probe returned, or
// records the failure of the probe.
func (t *Tracker) estimateProbed(now time.Time, p ProbeResult, _ float64) estimate {
	host := t.host(now, p.Server.HostID)
	host.pool = p.Server.Pool
	if p.Err == nil {
		host.load = p.Load
		host.reportedAt = now
		return t.estimate(p.Server, host, p.RoundTrip/2)
	}
	host.onTrial = false
	host.recordRequest(0, true)
	t.updateEjections(now)
	if now.Sub(host.reportedAt) > reportTTL {
		return estimate{server: p.Server, start: reportTTL, leaving: p.Server.Leaving}
	}
	return t.estimate(p.Server, host, unprobedPenalty)
}

func (t *Tracker) estimate(server Server, host *hostState, extra time.Duration) estimate {
	start := host.load.Wait + extra + time.Duration(utilisation(host.load)*float64(fullUtilisationPenalty))
	if !host.load.PrefixCached {
		start += t.cacheSaving
	}
	return estimate{
		server:  server,
		start:   start,
		trial:   host.ejected && host.onTrial,
		leaving: host.load.Draining || server.Leaving,
	}
}

// utilisation is the number of running and queued requests per slot: 1 when all slots are taken and nothing is queued.
func utilisation(load request.Load) float64 {
	return float64(load.Running+load.Queued) / float64(max(1, load.Limit))
}

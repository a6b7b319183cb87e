package fleet

import (
	"math"
	"time"
)

// Parameters of the policy; the package comment gives the reasons.
const (
	// queuedWeight is the share of the queued requests that counts as load: a queue is work left over, not work that
	// keeps coming.
	queuedWeight      = 0.25
	targetUtilisation = 0.95
	maxHostListAge    = 5 * time.Second
	maxReportAge      = 10 * time.Second
	// maxMissingDivisor sets the share of load reports, a quarter, that may be missing.
	maxMissingDivisor = 4
	// suspectTime is how long a host list that shows less than half of the servers isn't trusted.
	suspectTime = 30 * time.Second
	// stopTimeout is the maximum time in which the platform stops a server.
	stopTimeout = 5 * time.Minute
	// The stabilisation window is windowStartups times the start-up time, and at least minWindow.
	minWindow      = time.Minute
	windowStartups = 1
	// The order is raised by at most a half of its value at a time, and lowered by at most a tenth.
	raiseDivisor = 2
	lowerDivisor = 10
	// The load is smoothed over half of the start-up time, within these bounds: a burst shorter than that is over
	// before a server ordered for it serves, and a pool whose servers start at once can follow the load at once.
	smoothingDivisor = 2
	minSmoothing     = 5 * time.Second
	maxSmoothing     = 30 * time.Second
	// slopeSmoothing is the time constant for the growth of the load.
	slopeSmoothing = 300 * time.Second
	// maxLoadGap is the time after which an earlier load isn't used to smooth a new one.
	maxLoadGap = time.Minute
)

// Decide returns the number of servers that the zone should have. It is a pure function of its arguments.
func Decide(now time.Time, state State) Decision {
	first := state.Memory.StartedAt.IsZero()
	memory := state.Memory.prepare(now, &state)
	if first && state.HostListAge > maxHostListAge {
		// A new lease holder that has not read the host list yet would assume that no servers run, and the order for the
		// first ones needed would stop most of those that do. No memory is returned, so that the number of running
		// servers is taken from the first fresh list.
		return Decision{Hold: HoldStaleView, Count: memory.Ordered, Need: memory.Ordered}
	}
	if hold := checkView(now, state, &memory); hold != HoldNone {
		return Decision{Hold: hold, Count: memory.Ordered, Drain: memory.Drain, Need: memory.Ordered, Memory: memory}
	}
	memory.updateLoad(now, offeredLoad(state), smoothingTime(state))
	need := memory.forecastNeed(state)
	memory.recordNeed(now, need, stabilisationWindow(state))
	return memory.decide(now, state, need)
}

// checkView returns why the host list and the load reports are too unreliable for a change of the order; HoldNone if they
// are reliable. It guards against mass orders in an outage, when an old or incomplete host list or missing
// reports make servers look lost or idle. An order is an absolute number, so leaving it unchanged keeps the running servers.
func checkView(now time.Time, state State, memory *Memory) Hold {
	if state.HostListAge > maxHostListAge {
		return HoldStaleView
	}
	live, reported := countServers(state.Servers)
	if (live-reported)*maxMissingDivisor > live {
		return HoldPartialView
	}
	if live*2 >= memory.Live {
		memory.Live = live
		memory.SuspectSince = time.Time{}
		return HoldNone
	}
	if memory.SuspectSince.IsZero() {
		memory.SuspectSince = now
	}
	if now.Sub(memory.SuspectSince) < suspectTime {
		return HoldPartialView
	}
	memory.Live = live
	memory.SuspectSince = time.Time{}
	return HoldNone
}

// countServers returns how many servers are live, that is, not leaving, and how many of them have a fresh load report.
func countServers(servers []Server) (live, reported int) {
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		live++
		if server.hasFreshReport() {
			reported++
		}
	}
	return live, reported
}

func (s Server) hasFreshReport() bool {
	return s.ReportAge >= 0 && s.ReportAge <= maxReportAge
}

// offeredLoad returns the load in requests. A server without a fresh load report counts as the average of the others.
func offeredLoad(state State) float64 {
	live, reported := countServers(state.Servers)
	total := 0.0
	for _, server := range state.Servers {
		if server.hasFreshReport() {
			total += float64(server.Running) + float64(server.Queued)*queuedWeight
		}
	}
	if reported > 0 {
		total *= float64(live) / float64(reported)
	}
	return total + state.RefusedLoad
}

// averageLimit returns the average number of requests that a server runs at a time; 1 if no server reported one.
func averageLimit(servers []Server) float64 {
	sum, n := 0, 0
	for _, server := range servers {
		if !server.Leaving && server.hasFreshReport() && server.Limit > 0 {
			sum += server.Limit
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return float64(sum) / float64(n)
}

// smoothingTime returns the time constant for smoothing the load.
func smoothingTime(state State) time.Duration {
	return min(max(state.StartupTime/smoothingDivisor, minSmoothing), maxSmoothing)
}

// stabilisationWindow returns how long the need must have been lower than the order before the order is lowered.
func stabilisationWindow(state State) time.Duration {
	return max(minWindow, windowStartups*state.StartupTime)
}

// forecastNeed returns the number of servers for the load that is forecast for the time when a server ordered now would
// serve.
func (m *Memory) forecastNeed(state State) int {
	forecast := m.Level + max(0, m.Slope)*state.StartupTime.Seconds()
	servers := int(math.Ceil(forecast / (averageLimit(state.Servers) * targetUtilisation)))
	return clamp(servers, state)
}

// clamp limits a number of servers to the minimum and maximum of the pool.
func clamp(servers int, state State) int {
	servers = max(servers, state.MinServers)
	if state.MaxServers > 0 {
		servers = min(servers, state.MaxServers)
	}
	return servers
}

package fleet

import (
	"math"
	"time"
)

// Figures of the policy; the package comment gives the grounds.
const (
	// queuedPart of the waiting requests counts: a queue is work left over, not work that keeps coming.
	queuedPart   = 0.25
	targetUse    = 0.95
	maxViewAge   = 5 * time.Second
	maxReportAge = 10 * time.Second
	missingPart  = 4
	suspectTime  = 30 * time.Second
	// stopTime is how long the platform may take to stop a server.
	stopTime     = 5 * time.Minute
	leastHold    = time.Minute
	holdStartups = 1
	raisePart    = 2
	lowerPart    = 10
	// The work is smoothed over half of the start-up time, within these bounds: a burst shorter than that is
	// over before a server ordered for it serves, and a pool whose servers start at once may follow at once.
	smoothPart    = 2
	leastSmooth   = 5 * time.Second
	longestSmooth = 30 * time.Second
	slopeTime     = 300 * time.Second
	rateGapMax    = time.Minute
)

// Decide returns how many servers the zone is to have. It is a pure function of its arguments.
func Decide(now time.Time, state State) Decision {
	first := state.Memory.Since.IsZero()
	memory := state.Memory.begin(now, &state)
	if first && state.ViewAge > maxViewAge {
		// It guards against a mass stop by a holder whose list was not read yet: what runs would be taken for
		// none, and the first servers needed for more. What runs is taken over from a view that can be trusted.
		return Decision{Hold: HoldStaleView, Count: memory.Ordered, Need: memory.Ordered}
	}
	if hold := distrust(now, state, &memory); hold != HoldNone {
		return Decision{Hold: hold, Count: memory.Ordered, Drain: memory.Drain, Need: memory.Ordered, Memory: memory}
	}
	memory.learn(now, work(state), smoothTime(state))
	need := memory.need(state)
	memory.remember(now, need, holdTime(state))
	return memory.decide(now, state, need)
}

// distrust returns why the view can't carry an order. It guards against mass orders in an outage: a
// host list that is old or lost rows, or missing reports, look like servers that are gone or idle. An
// order is an absolute count, so leaving it alone keeps what runs.
func distrust(now time.Time, state State, memory *Memory) Hold {
	if state.ViewAge > maxViewAge {
		return HoldStaleView
	}
	live, reported := count(state.Servers)
	if (live-reported)*missingPart > live {
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

// count returns how many servers are live and how many of them have a fresh report.
func count(servers []Server) (live, reported int) {
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		live++
		if server.fresh() {
			reported++
		}
	}
	return live, reported
}

func (s Server) fresh() bool {
	return s.ReportAge >= 0 && s.ReportAge <= maxReportAge
}

// work is the offered load in requests. Servers without a fresh report count as the others' average.
func work(state State) float64 {
	live, reported := count(state.Servers)
	total := 0.0
	for _, server := range state.Servers {
		if server.fresh() {
			total += float64(server.Running) + float64(server.Queued)*queuedPart
		}
	}
	if reported > 0 {
		total *= float64(live) / float64(reported)
	}
	return total + state.Refused
}

// limit is the average number of requests that a server runs at a time.
func limit(servers []Server) float64 {
	sum, n := 0, 0
	for _, server := range servers {
		if !server.Leaving && server.fresh() && server.Limit > 0 {
			sum += server.Limit
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return float64(sum) / float64(n)
}

func smoothTime(state State) time.Duration {
	return min(max(state.StartupTime/smoothPart, leastSmooth), longestSmooth)
}

func holdTime(state State) time.Duration {
	return max(leastHold, holdStartups*state.StartupTime)
}

// need is the number of servers for the work at the time when a server ordered now would serve.
func (m *Memory) need(state State) int {
	forecast := m.Level + max(0, m.Slope)*state.StartupTime.Seconds()
	servers := int(math.Ceil(forecast / (limit(state.Servers) * targetUse)))
	return bounded(servers, state)
}

func bounded(servers int, state State) int {
	servers = max(servers, state.MinServers)
	if state.MaxServers > 0 {
		servers = min(servers, state.MaxServers)
	}
	return servers
}

package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// prepare returns a copy of the memory for the next decision. Before the first decision, the number of running servers
// counts as the order in force. Servers that an order has stopped are removed from state.Servers even if the
// lagging host list still shows them; otherwise the order could be lowered twice for the same host.
func (m Memory) prepare(now time.Time, state *State) Memory {
	m.Peaks = slices.Clone(m.Peaks)
	m.Drain = slices.Clone(m.Drain)
	m.Stopped = stillListed(now, m.Stopped, state.Servers)
	state.Servers = slices.DeleteFunc(slices.Clone(state.Servers), func(s Server) bool { return isStopped(m.Stopped, s.HostID) })
	if m.StartedAt.IsZero() {
		m.StartedAt = now
		m.Ordered, _ = countServers(state.Servers)
		m.Live = m.Ordered
	}
	return m
}

// stillListed returns the stopped hosts that the host list still shows. A host that is listed for longer than stopTimeout
// was not stopped, and counts again.
func stillListed(now time.Time, stopped []StoppedHost, servers []Server) []StoppedHost {
	var out []StoppedHost
	for _, host := range stopped {
		listed := slices.ContainsFunc(servers, func(s Server) bool { return s.HostID == host.HostID })
		if listed && now.Sub(host.At) < stopTimeout {
			out = append(out, host)
		}
	}
	return out
}

func isStopped(stopped []StoppedHost, id string) bool {
	return slices.ContainsFunc(stopped, func(host StoppedHost) bool { return host.HostID == id })
}

// updateLoad smooths the load and its growth, so that one burst doesn't count as a trend.
func (m *Memory) updateLoad(now time.Time, load float64, smoothing time.Duration) {
	if m.LoadAt.IsZero() || now.Sub(m.LoadAt) > maxLoadGap {
		m.Level, m.Slope, m.LoadAt = load, 0, now
		return
	}
	elapsed := now.Sub(m.LoadAt).Seconds()
	if elapsed <= 0 {
		return
	}
	previous := m.Level
	m.Level += (load - m.Level) * smoothingFactor(elapsed, smoothing)
	m.Slope += ((m.Level-previous)/elapsed - m.Slope) * smoothingFactor(elapsed, slopeSmoothing)
	m.LoadAt = now
}

// smoothingFactor returns the weight of a new value in an exponential moving average, elapsed seconds after the last one.
func smoothingFactor(elapsed float64, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed/timeConstant.Seconds())
}

// recordNeed adds a need to the peaks and drops those that are lower or older than the window. The peaks are
// decreasing, so that the first one is the highest need of the window.
func (m *Memory) recordNeed(now time.Time, need int, window time.Duration) {
	for len(m.Peaks) > 0 && m.Peaks[len(m.Peaks)-1].Need <= need {
		m.Peaks = m.Peaks[:len(m.Peaks)-1]
	}
	m.Peaks = append(m.Peaks, Peak{At: now, Need: need})
	for now.Sub(m.Peaks[0].At) > window {
		m.Peaks = m.Peaks[1:]
	}
}

// decide compares the need with the order in force, and raises or lowers the order.
func (m *Memory) decide(now time.Time, state State, need int) Decision {
	out := Decision{Need: need}
	switch {
	case need > m.Ordered:
		m.raise(now, state, need)
	case m.Peaks[0].Need >= m.Ordered:
		m.Drain = nil
		out.Hold = HoldSettled
	case now.Sub(m.StartedAt) < stabilisationWindow(state) || now.Sub(m.changedAt()) < stabilisationWindow(state)/lowerStepsPerWindow:
		out.Hold = HoldWarmUp
	default:
		out.Drained = m.lower(now, state)
		if len(out.Drained) == 0 {
			out.Hold = HoldDraining
		}
	}
	out.Count = m.Ordered
	out.Drain = m.Drain
	out.Memory = *m
	return out
}

// lowerStepsPerWindow is how often the order may be lowered within one stabilisation window.
const lowerStepsPerWindow = 4

// changedAt returns when the order was last raised or lowered.
func (m *Memory) changedAt() time.Time {
	if m.LoweredAt.After(m.RaisedAt) {
		return m.LoweredAt
	}
	return m.RaisedAt
}

// raise raises the order towards the need, by at most half of its value. Hosts being drained accept requests again.
func (m *Memory) raise(now time.Time, state State, need int) {
	m.Drain = nil
	step := max(1, m.Ordered/raiseDivisor)
	m.Ordered = clamp(min(need, m.Ordered+step), state)
	m.RaisedAt = now
}

// lower drains hosts towards the highest need of the stabilisation window, at most a tenth of the order at a time. It
// lowers the order by the number of hosts that are drained, and returns them.
func (m *Memory) lower(now time.Time, state State) []string {
	surplus := min(m.Ordered-m.Peaks[0].Need, max(1, m.Ordered/lowerDivisor))
	m.Drain = hostsToDrain(state.Servers, m.Drain, surplus)
	drained := drainedHosts(state.Servers, m.Drain)
	if len(drained) == 0 {
		return nil
	}
	m.Ordered -= len(drained)
	m.LoweredAt = now
	m.Live -= len(drained)
	for _, id := range drained {
		m.Stopped = append(m.Stopped, StoppedHost{HostID: id, At: now})
	}
	m.Drain = slices.DeleteFunc(m.Drain, func(id string) bool { return slices.Contains(drained, id) })
	return drained
}

// hostsToDrain returns the surplus hosts: those that are draining already, then those with the lowest load.
func hostsToDrain(servers []Server, draining []string, surplus int) []string {
	var live []Server
	for _, server := range servers {
		if !server.Leaving && server.hasFreshReport() {
			live = append(live, server)
		}
	}
	isDraining := map[string]bool{}
	for _, id := range draining {
		isDraining[id] = true
	}
	slices.SortFunc(live, func(a, b Server) int {
		return cmp.Or(
			compareTrueFirst(isDraining[a.HostID], isDraining[b.HostID]),
			cmp.Compare(a.Running+a.Queued, b.Running+b.Queued),
			cmp.Compare(a.HostID, b.HostID),
		)
	})
	var ids []string
	for _, server := range live[:min(surplus, len(live))] {
		ids = append(ids, server.HostID)
	}
	slices.Sort(ids)
	return ids
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// drainedHosts returns the hosts among ids that run no requests any more. Only a load report made after the host began to
// drain counts, since a request could have arrived between an earlier report and the drain.
func drainedHosts(servers []Server, ids []string) []string {
	var out []string
	for _, server := range servers {
		if server.Draining && server.hasFreshReport() && server.Running+server.Queued == 0 && slices.Contains(ids, server.HostID) {
			out = append(out, server.HostID)
		}
	}
	slices.Sort(out)
	return out
}

package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// begin takes over what runs as the order in force, if there was no decision before.
// Servers that an order has stopped already don't count, though the lagging list still shows them:
// else the same host could be taken out of the order twice.
func (m Memory) begin(now time.Time, state *State) Memory {
	m.Peaks = slices.Clone(m.Peaks)
	m.Drain = slices.Clone(m.Drain)
	m.Stopped = stillListed(now, m.Stopped, state.Servers)
	state.Servers = slices.DeleteFunc(slices.Clone(state.Servers), func(s Server) bool { return stopped(m.Stopped, s.HostID) })
	if m.Since.IsZero() {
		m.Since = now
		m.Ordered, _ = count(state.Servers)
		m.Live = m.Ordered
	}
	return m
}

// stillListed returns the stops that the list doesn't show yet. A host that is still there long after
// was not stopped, and counts again.
func stillListed(now time.Time, stops []Stop, servers []Server) []Stop {
	var out []Stop
	for _, stop := range stops {
		listed := slices.ContainsFunc(servers, func(s Server) bool { return s.HostID == stop.HostID })
		if listed && now.Sub(stop.At) < stopTime {
			out = append(out, stop)
		}
	}
	return out
}

func stopped(stops []Stop, id string) bool {
	return slices.ContainsFunc(stops, func(stop Stop) bool { return stop.HostID == id })
}

// learn smooths the work and its growth, so that one burst is not taken for a trend.
func (m *Memory) learn(now time.Time, work float64, smooth time.Duration) {
	if m.At.IsZero() || now.Sub(m.At) > rateGapMax {
		m.Level, m.Slope, m.At = work, 0, now
		return
	}
	elapsed := now.Sub(m.At).Seconds()
	if elapsed <= 0 {
		return
	}
	before := m.Level
	m.Level += (work - m.Level) * part(elapsed, smooth)
	m.Slope += ((m.Level-before)/elapsed - m.Slope) * part(elapsed, slopeTime)
	m.At = now
}

// part is the share of the new value in an exponential average over a time constant.
func part(elapsed float64, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed/constant.Seconds())
}

// remember keeps the needs of the last hold time, decreasing, so that the first is the highest.
func (m *Memory) remember(now time.Time, need int, hold time.Duration) {
	for len(m.Peaks) > 0 && m.Peaks[len(m.Peaks)-1].Need <= need {
		m.Peaks = m.Peaks[:len(m.Peaks)-1]
	}
	m.Peaks = append(m.Peaks, Peak{At: now, Need: need})
	for now.Sub(m.Peaks[0].At) > hold {
		m.Peaks = m.Peaks[1:]
	}
}

// decide compares the need with the order in force.
func (m *Memory) decide(now time.Time, state State, need int) Decision {
	out := Decision{Need: need}
	switch {
	case need > m.Ordered:
		m.raise(now, state, need)
	case m.Peaks[0].Need >= m.Ordered:
		m.Drain = nil
		out.Hold = HoldSettled
	case now.Sub(m.Since) < holdTime(state) || now.Sub(m.changed()) < holdTime(state)/lowerPauses:
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

// lowerPauses is how many steps down fit into one hold time.
const lowerPauses = 4

func (m *Memory) changed() time.Time {
	if m.Lowered.After(m.Raised) {
		return m.Lowered
	}
	return m.Raised
}

// raise orders more at once, by at most half of what is ordered. Hosts being drained serve again.
func (m *Memory) raise(now time.Time, state State, need int) {
	m.Drain = nil
	step := max(1, m.Ordered/raisePart)
	m.Ordered = bounded(min(need, m.Ordered+step), state)
	m.Raised = now
}

// lower drains hosts down to the highest need of the hold time, and takes those that serve nothing
// any more out of the order. It returns them.
func (m *Memory) lower(now time.Time, state State) []string {
	surplus := min(m.Ordered-m.Peaks[0].Need, max(1, m.Ordered/lowerPart))
	m.Drain = pickDrain(state.Servers, m.Drain, surplus)
	drained := idle(state.Servers, m.Drain)
	if len(drained) == 0 {
		return nil
	}
	m.Ordered -= len(drained)
	m.Lowered = now
	m.Live -= len(drained)
	for _, id := range drained {
		m.Stopped = append(m.Stopped, Stop{HostID: id, At: now})
	}
	m.Drain = slices.DeleteFunc(m.Drain, func(id string) bool { return slices.Contains(drained, id) })
	return drained
}

// pickDrain returns the hosts to drain: those chosen before, then the least loaded.
func pickDrain(servers []Server, before []string, surplus int) []string {
	var live []Server
	for _, server := range servers {
		if !server.Leaving && server.fresh() {
			live = append(live, server)
		}
	}
	chosen := map[string]bool{}
	for _, id := range before {
		chosen[id] = true
	}
	slices.SortFunc(live, func(a, b Server) int {
		return cmp.Or(
			trueFirst(chosen[a.HostID], chosen[b.HostID]),
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

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// idle returns the hosts of ids that took their drain in and serve nothing any more. A host is idle
// only by a report made after it began to drain, else a request could have come in between.
func idle(servers []Server, ids []string) []string {
	var out []string
	for _, server := range servers {
		if server.Draining && server.fresh() && server.Running+server.Queued == 0 && slices.Contains(ids, server.HostID) {
			out = append(out, server.HostID)
		}
	}
	slices.Sort(out)
	return out
}

package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/placement"
)

// Acquire chooses a server for a request and counts the request there until Release. It returns false if no server
// may take it.
func (b *Balancer) Acquire(now time.Time, need Requirements) (Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(now, need)
	if len(candidates) == 0 {
		return Server{}, false
	}
	best := slices.MinFunc(candidates, func(x, y *serverState) int {
		return cmp.Or(
			cmp.Compare(b.backoffRank(now, x), b.backoffRank(now, y)),
			cmp.Compare(b.utilization(now, x), b.utilization(now, y)),
			cmp.Compare(x.server.ID, y.server.ID),
		)
	})
	best.running++
	return best.server, true
}

// candidates returns the servers that may run the request, without those that the tracker excludes as slow or
// failing.
func (b *Balancer) candidates(now time.Time, need Requirements) []*serverState {
	var available []placement.Server
	considered := 0
	for _, state := range b.pools[need.Pool] {
		if !canRun(state, need) {
			continue
		}
		if isAvailable(now, state, need) {
			available = append(available, placement.Server{HostID: state.server.ID, Pool: need.Pool})
		}
		if considered++; considered%subsetSize == 0 && len(available) >= minAvailable {
			break
		}
	}
	slices.SortFunc(available, func(x, y placement.Server) int { return cmp.Compare(x.HostID, y.HostID) })
	chosen := b.tracker.Candidates(now, available, 0, nil)
	states := make([]*serverState, 0, len(chosen))
	for _, server := range chosen {
		states = append(states, b.servers[server.HostID])
	}
	return states
}

// canRun reports whether the server can run the request at all.
func canRun(state *serverState, need Requirements) bool {
	if state.server.Draining || need.Exclude[state.server.ID] {
		return false
	}
	return need.Model == "" || state.weightVersion(need.Model) >= need.MinVersion
}

// isAvailable reports whether the request may be sent to the server now. Only work that can wait is held back.
func isAvailable(now time.Time, state *serverState, need Requirements) bool {
	if !need.Deferrable {
		return true
	}
	return !now.Before(state.backoffUntil) && state.running+state.peerRunning < max(1, state.server.Slots-need.ReservedSlots)
}

// backoffRank orders servers that refused recently or could not be reached after the others.
func (b *Balancer) backoffRank(now time.Time, state *serverState) int {
	if now.Before(state.backoffUntil) {
		return 1
	}
	return 0
}

// utilization returns the share of the server's slots that is known to be in use, plus crossZonePenalty if the server
// is in another availability zone.
func (b *Balancer) utilization(now time.Time, state *serverState) float64 {
	requests := state.running + state.peerRunning
	if now.Sub(state.reportedAt) < loadReportTTL {
		requests = max(requests, state.reportedLoad)
	}
	share := float64(requests) / float64(max(1, state.server.Slots))
	if state.server.AvailabilityZone != b.zone {
		share += crossZonePenalty
	}
	return share
}

// ShouldMove reports whether a stream at the server should be moved to another one because other servers of the pool are
// much faster. The interval is the mean time between its events so far.
//
// An engine that becomes slow keeps what it runs. The longest of its items would take four times as long as elsewhere
// and determine the duration of their step. A move only costs processing the prompt again, some milliseconds.
func (b *Balancer) ShouldMove(id string, interval time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, ok := b.servers[id]
	if !ok {
		return false
	}
	var intervals []time.Duration
	for _, state := range b.pools[current.server.Pool] {
		if state != current && state.eventInterval > 0 {
			intervals = append(intervals, state.eventInterval)
		}
		if len(intervals) == subsetSize {
			break
		}
	}
	if len(intervals) < minPeerIntervals {
		return false
	}
	slices.Sort(intervals)
	return interval > time.Duration(slowIntervalFactor*float64(intervals[len(intervals)/2]))
}

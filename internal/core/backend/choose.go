package backend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/placement"
	"github.com/oleandershelf/oleandershelf/internal/core/readiness"
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
	cost := b.utilization
	if b.isUneven(need.Pool) {
		cost = b.expectedCost
	}
	best := slices.MinFunc(candidates, func(x, y *serverState) int {
		return cmp.Or(
			cmp.Compare(silenceRank(now, x, need), silenceRank(now, y, need)),
			cmp.Compare(b.backoffRank(now, x), b.backoffRank(now, y)),
			cmp.Compare(cost(now, x), cost(now, y)),
			cmp.Compare(x.server.ID, y.server.ID),
		)
	})
	b.count(now, best)
	return best.server, true
}

// count counts a request at the server until Release.
func (b *Balancer) count(now time.Time, state *serverState) {
	state.running++
	state.sentSinceLoad++
	b.guard.Sent(now, state.readiness)
}

// candidates returns the servers that may run the request, without those that the tracker excludes as slow or
// failing.
func (b *Balancer) candidates(now time.Time, need Requirements) []*serverState {
	chosen := b.tracker.Candidates(now, b.available(now, need), 0, nil)
	states := make([]*serverState, 0, len(chosen))
	for _, server := range chosen {
		states = append(states, b.servers[server.HostID])
	}
	return states
}

// available returns the servers that may run the request, sorted by ID.
func (b *Balancer) available(now time.Time, need Requirements) []placement.Server {
	available := make([]placement.Server, 0, subsetSize)
	considered := 0
	for _, state := range b.pools[need.Pool] {
		if !b.canRun(state, need) {
			continue
		}
		if b.isAvailable(now, state, need) {
			available = append(available, placement.Server{HostID: state.server.ID, Pool: need.Pool})
		}
		if considered++; considered%subsetSize == 0 && len(available) >= minAvailable {
			break
		}
	}
	slices.SortFunc(available, func(x, y placement.Server) int { return cmp.Compare(x.HostID, y.HostID) })
	return available
}

// canRun reports whether the server can run the request at all.
func (b *Balancer) canRun(state *serverState, need Requirements) bool {
	if state.server.Draining || need.Exclude[state.server.ID] {
		return false
	}
	if need.Model != "" && state.weightVersion(need.Model) < need.MinVersion {
		return false
	}
	return b.allows(b.guard.CheckLocation(state.readiness, need.Regions))
}

// isAvailable reports whether the request may be sent to the server now. Only work that can wait is held back, except from cold servers.
func (b *Balancer) isAvailable(now time.Time, state *serverState, need Requirements) bool {
	if need.Deferrable && (now.Before(state.backoffUntil) || state.running+state.peerRunning >= max(1, state.server.Slots-need.ReservedSlots)) {
		return false
	}
	return b.allows(b.guard.CheckCold(now, state.readiness))
}

// allows counts the denial and reports whether there is none.
func (b *Balancer) allows(denial readiness.Denial) bool {
	if denial != readiness.Allowed {
		b.denials[denial]++
	}
	return denial == readiness.Allowed
}

// Denials returns how many servers were passed over because they may not get a request, by reason.
func (b *Balancer) Denials() map[readiness.Denial]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.denials)
}

// Evacuated reports whether the server's availability zone is evacuated, so that nothing may be sent to it.
func (b *Balancer) Evacuated(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[id]
	return ok && b.guard.CheckLocation(state.readiness, nil) == readiness.Evacuated
}

// Unavailability says why no server of a pool may get a request now.
type Unavailability struct {
	// Reason is what keeps the request from the servers that are closest to taking it: Cold before Evacuated before OutsideRegions. It is
	// Allowed if the pool has no server, or one that may get the request.
	Reason readiness.Denial
	// ColdFor is the shortest time for which one of the pool's servers stays cold, if that is the reason.
	ColdFor time.Duration
}

// WhyNone returns why no server of the pool may get a request that is restricted to the regions; nil allows all regions.
func (b *Balancer) WhyNone(now time.Time, pool string, regions []string) Unavailability {
	b.mu.Lock()
	defer b.mu.Unlock()
	denied := map[readiness.Denial]bool{}
	var coldFor []time.Duration
	for _, state := range b.pools[pool] {
		if state.server.Draining {
			continue
		}
		denial := b.guard.CheckLocation(state.readiness, regions)
		if denial == readiness.Allowed {
			denial = b.guard.CheckCold(now, state.readiness)
		}
		denied[denial] = true
		if denial == readiness.Cold {
			coldFor = append(coldFor, b.guard.ColdFor(now, state.readiness))
		}
	}
	switch {
	case denied[readiness.Allowed]:
		return Unavailability{}
	case denied[readiness.Cold]:
		return Unavailability{Reason: readiness.Cold, ColdFor: slices.Min(coldFor)}
	case denied[readiness.Evacuated]:
		return Unavailability{Reason: readiness.Evacuated}
	case denied[readiness.OutsideRegions]:
		return Unavailability{Reason: readiness.OutsideRegions}
	default:
		return Unavailability{}
	}
}

// silenceRank orders servers that have not answered lately after the others, for requests that prefer those.
func silenceRank(now time.Time, state *serverState, need Requirements) int {
	if need.PreferAnswering && !state.answers(now) {
		return 1
	}
	return 0
}

// answers reports whether the server has answered lately.
func (s *serverState) answers(now time.Time) bool { return now.Sub(s.answeredAt) < answerTTL }

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
	share := float64(knownRequests(now, state)) / float64(max(1, state.server.Slots))
	if state.server.AvailabilityZone != b.zone {
		share += crossZonePenalty
	}
	return share
}

// ShouldMove reports whether a stream at the server should be moved to another one because other servers of the pool are
// much faster. The interval is the mean time between its events so far. In a pool whose servers differ in speed the stream is compared with
// what is expected at the median server with as many requests.
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
	if b.isUneven(current.server.Pool) {
		typical := b.pace.Typical(current.key, current.running+current.peerRunning)
		return typical > 0 && interval > time.Duration(slowIntervalFactor*float64(typical))
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

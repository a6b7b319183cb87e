package backend

import (
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/pace"
	"github.com/oleandershelf/oleandershelf/internal/core/placement"
)

// Candidate is a server that may take a request now.
type Candidate struct {
	Server Server
	// Free is the number of free slots, at least 1.
	Free int
	// Estimate is the estimate for the server with the request added to those that run there.
	Estimate pace.Estimate
	// Answers is set if the server has answered a request lately.
	Answers bool
}

// WithSpeedPlacement makes the choice of a server use the servers' estimated speeds, in pools where they differ.
func WithSpeedPlacement() Option {
	return func(b *Balancer) { b.pace = pace.NewEstimator() }
}

// Candidates returns the servers that may take the request now and have at least one free slot, whether or not the request is deferrable.
// Slots that work that can wait has to leave free don't count for it.
func (b *Balancer) Candidates(now time.Time, need Requirements) []Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.tracker.Usable(now, b.available(now, need))
	candidates := make([]Candidate, 0, len(usable))
	for _, server := range usable {
		state := b.servers[server.HostID]
		free := b.freeSlots(now, state, need)
		if free < 1 {
			continue
		}
		candidates = append(candidates, Candidate{Server: state.server, Free: free, Estimate: b.estimate(now, state, 1), Answers: state.answers(now)})
	}
	return candidates
}

// AcquireServer chooses the server with the ID if it may still take the request and has a free slot, and counts the request there until
// Release.
func (b *Balancer) AcquireServer(now time.Time, need Requirements, id string) (Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[id]
	if !ok || state.server.Pool != need.Pool || !b.canRun(state, need) || !b.isAvailable(now, state, need) || b.freeSlots(now, state, need) < 1 {
		return Server{}, false
	}
	if !b.tracker.Admit(now, id) && !b.isUsable(now, need, id) {
		return Server{}, false
	}
	b.count(now, state)
	return state.server, true
}

// isUsable reports whether the tracker leaves the server among those that may run the request, as it does if it would exclude all of them.
func (b *Balancer) isUsable(now time.Time, need Requirements, id string) bool {
	usable := b.tracker.Usable(now, b.available(now, need))
	return slices.ContainsFunc(usable, func(s placement.Server) bool { return s.HostID == id })
}

// expectedCost returns the expected time of a further request at the server, as a multiple of that at an idle server of median speed.
func (b *Balancer) expectedCost(now time.Time, state *serverState) float64 {
	estimate := b.estimate(now, state, 1)
	return (1 + b.utilization(now, state)) * estimate.Lasting * estimate.Present
}

// retainSpeeds makes the estimator forget servers that aren't listed.
func (b *Balancer) retainSpeeds(servers []Server) {
	if b.pace == nil {
		return
	}
	listed := make([]pace.Server, 0, len(servers))
	for _, server := range servers {
		listed = append(listed, pace.Server{Key: server.Key(), Pool: server.Pool, Slots: server.Slots})
	}
	b.pace.Retain(listed)
}

// knownRequests returns the number of requests that are known to be at the server.
func knownRequests(now time.Time, state *serverState) int {
	return max(state.running+state.peerRunning, state.load.requests(now))
}

// freeSlots returns the number of slots that the request may use and that no known request takes. Requests sent since the last load report
// are added to those that it counted: several may be sent before the next one. Those that ended since are subtracted: otherwise a slot that
// this entry frees would stay unused until the report is out of date.
func (b *Balancer) freeSlots(now time.Time, state *serverState, need Requirements) int {
	slots := max(1, state.server.Slots)
	if need.Deferrable {
		slots = max(1, slots-need.ReservedSlots)
	}
	known := state.running + state.peerRunning
	if reported := state.load.requests(now); reported > 0 {
		known = max(known, reported+state.sentSinceLoad-state.releasedSinceLoad)
	}
	return slots - known
}

// Uneven reports whether the servers of the pool were shown to differ in speed. It is false unless speed placement is on.
func (b *Balancer) Uneven(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isUneven(pool)
}

func (b *Balancer) isUneven(pool string) bool { return b.pace != nil && b.pace.Uneven(pool) }

// Estimate returns the estimate for the server with the requests that are known to run there. It returns false if the server isn't listed or
// speed placement is off.
func (b *Balancer) Estimate(now time.Time, id string) (pace.Estimate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[id]
	if !ok || b.pace == nil {
		return pace.Estimate{}, false
	}
	return b.estimate(now, state, 0), true
}

// estimate returns the estimate for the server with a number of requests added to those that are known to run there.
func (b *Balancer) estimate(now time.Time, state *serverState, added int) pace.Estimate {
	if b.pace == nil {
		return pace.Unknown()
	}
	return b.pace.Estimate(now, state.key, knownRequests(now, state)+added)
}

// SpeedSummaries returns what to tell other entries about the speed of servers, at most limit.
func (b *Balancer) SpeedSummaries(now time.Time, limit int) []pace.Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pace == nil {
		return nil
	}
	return b.pace.Summaries(now, limit)
}

// SpeedSummariesInTurn returns summaries of at most limit servers, and those of others at each call until all had their turn.
func (b *Balancer) SpeedSummariesInTurn(now time.Time, limit int) []pace.Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pace == nil {
		return nil
	}
	return b.pace.SummariesInTurn(now, limit)
}

// SpeedState returns what is known of the speed of the servers.
func (b *Balancer) SpeedState(now time.Time) pace.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pace == nil {
		return pace.State{}
	}
	return b.pace.State(now)
}

// UnevenPools returns the names of the pools whose servers were shown to differ in speed, sorted.
func (b *Balancer) UnevenPools() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pace == nil {
		return nil
	}
	return b.pace.UnevenPools()
}

// MergeSpeeds records what another entry told about the speed of servers.
func (b *Balancer) MergeSpeeds(now time.Time, summaries []pace.Summary) {
	if len(summaries) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pace != nil {
		b.pace.Merge(now, summaries)
	}
}

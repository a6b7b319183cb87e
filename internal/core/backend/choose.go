package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/placement"
)

// Acquire chooses a server for a request and counts the request there until Release; false if none may take it.
func (b *Book) Acquire(now time.Time, need Need) (Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(now, need)
	if len(candidates) == 0 {
		return Server{}, false
	}
	best := slices.MinFunc(candidates, func(a, other *serverState) int {
		return cmp.Or(
			cmp.Compare(b.late(now, a), b.late(now, other)),
			cmp.Compare(b.fullness(now, a), b.fullness(now, other)),
			cmp.Compare(a.server.ID, other.server.ID),
		)
	})
	best.running++
	return best.server, true
}

// candidates returns the servers that may run the request, without those that the tracker spares.
func (b *Book) candidates(now time.Time, need Need) []*serverState {
	var fit []placement.Server
	seen := 0
	for _, state := range b.pools[need.Pool] {
		if !mayRun(state, need) {
			continue
		}
		if hasPlace(now, state, need) {
			fit = append(fit, placement.Server{HostID: state.server.ID, Pool: need.Pool})
		}
		if seen++; seen%subsetSize == 0 && len(fit) >= leastFit {
			break
		}
	}
	slices.SortFunc(fit, func(x, y placement.Server) int { return cmp.Compare(x.HostID, y.HostID) })
	chosen := b.tracker.Candidates(now, fit, 0, nil)
	states := make([]*serverState, 0, len(chosen))
	for _, server := range chosen {
		states = append(states, b.servers[server.HostID])
	}
	return states
}

// mayRun says whether the server can run the request at all.
func mayRun(state *serverState, need Need) bool {
	if state.server.Draining || need.Avoid[state.server.ID] {
		return false
	}
	return need.Model == "" || state.version(need.Model) >= need.MinVersion
}

// hasPlace says whether the request may be sent to the server now.
func hasPlace(now time.Time, state *serverState, need Need) bool {
	if !need.Within {
		return true
	}
	return !now.Before(state.lastUntil) && state.running+state.others < max(1, state.server.Slots-need.Spare)
}

// late puts servers behind that just refused or could not be reached.
func (b *Book) late(now time.Time, state *serverState) int {
	if now.Before(state.lastUntil) {
		return 1
	}
	return 0
}

// fullness is the part of the server's places that is taken, by what this entry knows.
func (b *Book) fullness(now time.Time, state *serverState) float64 {
	known := state.running + state.others
	if now.Sub(state.reportedAt) < reportTime {
		known = max(known, state.reported)
	}
	full := float64(known) / float64(max(1, state.server.Slots))
	if state.server.AvailabilityZone != b.zone {
		full += otherZone
	}
	return full
}

// Moves says whether a request whose pieces come at the pace should go on at another server: servers like its own are much
// faster. Pace is the mean time between pieces at the server so far.
//
// Guard: an engine that turned slow keeps what it runs, and the longest of its items would take four times as long as
// elsewhere and set the time of their step. To go on elsewhere costs the reading of the prompt, some milliseconds.
func (b *Book) Moves(id string, pace time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, ok := b.servers[id]
	if !ok {
		return false
	}
	var paces []time.Duration
	for _, state := range b.pools[own.server.Pool] {
		if state != own && state.pace > 0 {
			paces = append(paces, state.pace)
		}
		if len(paces) == subsetSize {
			break
		}
	}
	if len(paces) < leastPaces {
		return false
	}
	slices.Sort(paces)
	return pace > time.Duration(moveFactor*float64(paces[len(paces)/2]))
}

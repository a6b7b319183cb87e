package readiness

import (
	"slices"
	"time"
)

// Denial is why a server may not get a request now.
type Denial uint8

// The reasons for a denial; Allowed is none.
const (
	Allowed Denial = iota
	// Evacuated: the server's availability zone is evacuated.
	Evacuated
	// OutsideRegions: the server is in none of the regions to which the request is restricted.
	OutsideRegions
	// Cold: the server started a short time ago, and this entry may send it nothing now.
	Cold
)

var denialNames = map[Denial]string{Allowed: "allowed", Evacuated: "evacuated", OutsideRegions: "outsideRegions", Cold: "cold"}

// String returns the name of the denial in logs and metrics.
func (d Denial) String() string { return denialNames[d] }

// Limit bounds the requests to the cold servers of a pool. The zero value means that the pool's servers need no limit.
type Limit struct {
	// PerSecond is how many requests all entries together may send to a cold server in any second.
	PerSecond int
	// Duration is how long a server stays cold after its start.
	Duration time.Duration
}

// Conditions is what the store says about the deployment's servers as a whole.
type Conditions struct {
	// Evacuated holds the availability zones that are evacuated as of the store's revision Revision.
	Evacuated map[string]bool
	Revision  uint64
	// Limits holds the limits of the pools that have one, by pool.
	Limits map[string]Limit
	// Versions holds the newest weight version of each model.
	Versions map[string]int
}

// Record is what the store says about one server.
type Record struct {
	ID               string
	Pool             string
	AvailabilityZone string
	// Started is when the server's process started. It distinguishes the runs of a server that restarts under its ID.
	Started time.Time
	// Revision is the store's revision of the record.
	Revision uint64
	// ColdLeft is how long the server was going to stay cold when it wrote the record.
	ColdLeft time.Duration
	// Models holds the weight version that the server holds of each model; empty for servers without models.
	Models map[string]int
}

// Guard decides for one entry which servers may get a request. It is not safe for concurrent use.
//
// It is told of single servers and not of the complete list: of up to 3,000 servers only a few change at a time, but several times a second.
type Guard struct {
	entries entryList
	// regions maps availability zones to regions.
	regions    map[string]string
	conditions Conditions
	// ended holds the end of the last evacuation of each availability zone that had one.
	ended   map[string]evacuationEnd
	servers map[string]*Server
}

// evacuationEnd is the end of an evacuation.
type evacuationEnd struct {
	seenAt time.Time
	// revision is a revision of the store at which the evacuation no longer existed.
	revision uint64
}

// NewGuard returns the guard of the entry at the host. Regions maps availability zones to regions.
func NewGuard(host string, regions map[string]string) *Guard {
	return &Guard{
		entries: entryList{self: host, seen: map[string]time.Time{}},
		regions: regions,
		ended:   map[string]evacuationEnd{},
		servers: map[string]*Server{},
	}
}

// SetConditions replaces the conditions. The servers of a zone whose evacuation has ended count as cold, since they may have become cold
// shortly before the end.
func (g *Guard) SetConditions(now time.Time, c Conditions) {
	ended := false
	for zone := range g.conditions.Evacuated {
		if !c.Evacuated[zone] {
			g.ended[zone] = evacuationEnd{seenAt: now, revision: c.Revision}
			ended = true
		}
	}
	g.conditions = c
	if !ended {
		return
	}
	for _, server := range g.servers {
		g.applyEvacuationEnd(server)
	}
}

// PutServer adds a server or replaces its record, and returns its state, to be passed to the other methods. A server that is still running
// keeps its state.
func (g *Guard) PutServer(now time.Time, record Record) *Server {
	server, known := g.servers[record.ID]
	if !known || !server.record.Started.Equal(record.Started) {
		server = newServer(server)
		g.servers[record.ID] = server
	}
	server.apply(now, record)
	g.applyEvacuationEnd(server)
	return server
}

// RemoveServer forgets a server.
func (g *Guard) RemoveServer(id string) { delete(g.servers, id) }

// applyEvacuationEnd makes the server count as cold if the evacuation of its zone ended after its record was written.
func (g *Guard) applyEvacuationEnd(s *Server) {
	if end, ok := g.ended[s.record.AvailabilityZone]; ok && s.record.Revision <= end.revision {
		s.coldUntil = later(s.coldUntil, end.seenAt.Add(g.conditions.Limits[s.record.Pool].Duration))
	}
}

// SetEntries replaces the list of living entries, this one included. Runners holds, by model, the entries that run the model's batch jobs.
// Until the first call this entry sends nothing to cold servers.
func (g *Guard) SetEntries(now time.Time, alive []string, runners map[string][]string) {
	g.entries.update(now, alive, runners)
}

// CheckLocation returns Evacuated or OutsideRegions if a request that is restricted to the regions may not be sent to where the server is. A
// nil list of regions allows every region.
func (g *Guard) CheckLocation(s *Server, regions []string) Denial {
	switch {
	case g.conditions.Evacuated[s.record.AvailabilityZone]:
		return Evacuated
	case regions != nil && !slices.Contains(regions, g.regions[s.record.AvailabilityZone]):
		return OutsideRegions
	default:
		return Allowed
	}
}

// CheckCold returns Cold if the server is cold and this entry may send it nothing now.
func (g *Guard) CheckCold(now time.Time, s *Server) Denial {
	limit := g.conditions.Limits[s.record.Pool]
	if limit.PerSecond <= 0 || !s.isCold(now) || s.sentWithin(now) < g.allowance(s, limit.PerSecond) {
		return Allowed
	}
	return Cold
}

// Sent records that a request is sent to the server.
func (g *Guard) Sent(now time.Time, s *Server) {
	if limit := g.conditions.Limits[s.record.Pool].PerSecond; limit > 0 {
		s.recordSent(now, limit)
	}
}

// Failed records that a connection to the server broke or, if unreachable is set, could not be opened. A server that can't be reached, or that
// fails twice in a row, may have restarted under its ID, and counts as cold for as long as a server stays cold after a start.
func (g *Guard) Failed(now time.Time, s *Server, unreachable bool) {
	s.failures++
	if unreachable || s.failures >= failuresOfARestart {
		s.coldUntil = later(s.coldUntil, now.Add(g.conditions.Limits[s.record.Pool].Duration))
	}
}

// failuresOfARestart is the number of connections in a row that break when a server restarts. A single one may be due to the network.
const failuresOfARestart = 2

// Answered records that the server answered a request.
func (g *Guard) Answered(s *Server) { s.failures = 0 }

// ColdFor returns how long the server still counts as cold.
func (g *Guard) ColdFor(now time.Time, s *Server) time.Duration {
	if g.conditions.Limits[s.record.Pool].PerSecond <= 0 {
		return 0
	}
	return max(0, s.coldUntil.Sub(now))
}

// allowance returns how many requests this entry may send to a cold server in any second.
func (g *Guard) allowance(s *Server, perSecond int) int {
	return g.entries.allowance(s.record.ID, g.modelOf(s), perSecond)
}

// modelOf returns the model whose requests the server can serve best: the one that is the fewest versions behind. If several are equally
// close, as on a new server, which has the newest versions of all, the result is one of them by hash of the server's ID.
func (g *Guard) modelOf(s *Server) string {
	model, fewest := "", 0
	for name, version := range s.record.Models {
		behind := max(0, g.conditions.Versions[name]-version)
		if model == "" || behind < fewest || behind == fewest && rank(s.record.ID, name) < rank(s.record.ID, model) {
			model, fewest = name, behind
		}
	}
	return model
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

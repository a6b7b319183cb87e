package placement

import (
	"cmp"
	"slices"
)

// otherZonesDivisor sets the share of a subset, a third, that is taken from other availability zones if possible, so
// that an entry still has servers when those of its own zone are lost.
const otherZonesDivisor = 3

// Subset returns the servers of a pool that an entry uses, at most size, in order of preference. Rendezvous hashing
// keeps the subset stable when servers come and go, and spreads the entries evenly over the servers. Servers of the
// entry's own availability zone come first; a third of the subset is spread over the other zones.
func Subset(entryID, zone string, servers []Server, size int) []Server {
	byZone := rankByZone(entryID, servers, size)
	own := byZone[zone]
	delete(byZone, zone)
	others := interleave(byZone)
	fromOthers := min(len(others), size/otherZonesDivisor)
	fromOwn := min(len(own), size-fromOthers)
	fromOthers = min(len(others), size-fromOwn)
	return append(slices.Clip(own[:fromOwn]), others[:fromOthers]...)
}

// rankedServer is the index of a server with its rendezvous weight.
type rankedServer struct {
	index  int
	weight uint64
}

// rankByZone returns up to limit servers of each availability zone, sorted by descending rendezvous weight.
func rankByZone(entryID string, servers []Server, limit int) map[string][]Server {
	entryHash := hashHostID(entryID)
	ranked := make([]rankedServer, len(servers))
	for i := range servers {
		ranked[i] = rankedServer{index: i, weight: mix(entryHash ^ mix(hashHostID(servers[i].HostID)))}
	}
	slices.SortFunc(ranked, func(a, b rankedServer) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(servers[a.index].HostID, servers[b.index].HostID))
	})
	byZone := map[string][]Server{}
	for _, r := range ranked {
		zone := servers[r.index].AvailabilityZone
		if len(byZone[zone]) < limit {
			byZone[zone] = append(byZone[zone], servers[r.index])
		}
	}
	return byZone
}

// interleave returns the servers of all zones, taken from one zone after another in turn.
func interleave(byZone map[string][]Server) []Server {
	zones := make([]string, 0, len(byZone))
	total := 0
	for zone, servers := range byZone {
		zones = append(zones, zone)
		total += len(servers)
	}
	slices.Sort(zones)
	out := make([]Server, 0, total)
	for round := 0; len(out) < total; round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) {
				out = append(out, byZone[zone][round])
			}
		}
	}
	return out
}

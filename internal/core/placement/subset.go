package placement

import (
	"cmp"
	"slices"
)

// otherZonesPart is the share of a subset that lies outside the own availability zone if possible, so
// that the loss of the zone's servers doesn't leave the entry without any.
const otherZonesPart = 3

// Subset returns the servers of a pool that an entry uses: by rendezvous hashing, so that each entry's
// choice is stable when servers come and go and all entries together load all servers alike; the
// own availability zone first, and a third spread over the others. It is sorted by preference.
func Subset(entryID, zone string, servers []Server, size int) []Server {
	byZone := rankByZone(entryID, servers, size)
	own := byZone[zone]
	delete(byZone, zone)
	others := interleave(byZone)
	fromOthers := min(len(others), size/otherZonesPart)
	fromOwn := min(len(own), size-fromOthers)
	fromOthers = min(len(others), size-fromOwn)
	return append(slices.Clip(own[:fromOwn]), others[:fromOthers]...)
}

// weighed is the index of a server with its rendezvous weight.
type weighed struct {
	index  int
	weight uint64
}

// rankByZone returns up to most servers of each availability zone, the highest weight first.
func rankByZone(entryID string, servers []Server, most int) map[string][]Server {
	entry := hostHash(entryID)
	ranked := make([]weighed, len(servers))
	for i := range servers {
		ranked[i] = weighed{index: i, weight: mix(entry ^ mix(hostHash(servers[i].HostID)))}
	}
	slices.SortFunc(ranked, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(servers[a.index].HostID, servers[b.index].HostID))
	})
	byZone := map[string][]Server{}
	for _, r := range ranked {
		zone := servers[r.index].AvailabilityZone
		if len(byZone[zone]) < most {
			byZone[zone] = append(byZone[zone], servers[r.index])
		}
	}
	return byZone
}

// interleave takes one server of each zone in turn.
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

package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// otherZonesPart is the share of a subset that lies outside the own availability zone if possible, so
// that the loss of the zone's servers doesn't leave the entry without any.
const otherZonesPart = 3

// Subset returns the servers of a pool that an entry uses: by rendezvous hashing, so that each entry's
// choice is stable when servers come and go and all entries together load all servers alike; the
// own availability zone first, and a third spread over the others. It is sorted by preference.
func Subset(entryID, zone string, servers []Server, size int) []Server {
	byZone := rankByZone(entryID, servers)
	own := byZone[zone]
	delete(byZone, zone)
	others := interleave(byZone)
	fromOthers := min(len(others), size/otherZonesPart)
	fromOwn := min(len(own), size-fromOthers)
	fromOthers = min(len(others), size-fromOwn)
	return append(slices.Clip(own[:fromOwn]), others[:fromOthers]...)
}

// weighed is a server with its rendezvous weight.
type weighed struct {
	server Server
	weight uint64
}

func compareWeighed(a, b weighed) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.server.HostID, b.server.HostID))
}

// rankByZone returns the servers of each availability zone, the highest weight first.
func rankByZone(entryID string, servers []Server) map[string][]Server {
	ranked := make([]weighed, 0, len(servers))
	for _, server := range servers {
		ranked = append(ranked, weighed{server: server, weight: rendezvous(entryID, server.HostID)})
	}
	slices.SortFunc(ranked, compareWeighed)
	byZone := map[string][]Server{}
	for _, r := range ranked {
		zone := r.server.AvailabilityZone
		byZone[zone] = append(byZone[zone], r.server)
	}
	return byZone
}

// rendezvous is the weight of a host for a key.
func rendezvous(key, hostID string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(hostID)
	return digest.Sum64()
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

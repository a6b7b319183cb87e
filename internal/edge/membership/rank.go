package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Rank orders hosts for a purpose by rendezvous hashing: each host with the same list finds the same
// order, and a host that comes or goes moves only its own place.
func Rank(purpose string, hosts []platform.Host) []platform.Host {
	type weighted struct {
		host   platform.Host
		weight uint64
	}
	list := make([]weighted, len(hosts))
	for i, host := range hosts {
		list[i] = weighted{host: host, weight: xxhash.Sum64String(purpose + "\x00" + host.ID)}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host.ID, b.host.ID))
	})
	ranked := make([]platform.Host, len(list))
	for i, entry := range list {
		ranked[i] = entry.host
	}
	return ranked
}

// Among reports whether the host is one of the first count live hosts for the purpose.
func Among(purpose, hostID string, hosts []platform.Host, count int) bool {
	live := slices.DeleteFunc(slices.Clone(hosts), func(h platform.Host) bool { return h.State != platform.HostLive })
	ranked := Rank(purpose, live)
	first := ranked[:min(count, len(ranked))]
	return slices.ContainsFunc(first, func(h platform.Host) bool { return h.ID == hostID })
}

// First returns the first count ids for the purpose, in the order of Rank. It hashes each id once and sorts
// none but the first, for callers that look again and again: 18 trainer jobs at each entry rank 380 entries
// several times a second.
func First(purpose string, ids []string, count int) []string {
	type weighted struct {
		id     string
		weight uint64
	}
	heavier := func(a, b weighted) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id)) }
	first := make([]weighted, 0, count+1)
	for _, id := range ids {
		candidate := weighted{id: id, weight: xxhash.Sum64String(purpose + "\x00" + id)}
		at, _ := slices.BinarySearchFunc(first, candidate, heavier)
		if at < count {
			first = slices.Insert(first, at, candidate)
			first = first[:min(count, len(first))]
		}
	}
	found := make([]string, len(first))
	for i, entry := range first {
		found[i] = entry.id
	}
	return found
}

// ZoneRelays returns the first count live entries of each availability zone for the purpose.
func ZoneRelays(purpose string, entries []platform.Host, count int) map[string][]platform.Host {
	zones := map[string][]platform.Host{}
	for _, entry := range entries {
		if entry.State == platform.HostLive {
			zones[entry.AvailabilityZone] = append(zones[entry.AvailabilityZone], entry)
		}
	}
	for zone, hosts := range zones {
		ranked := Rank(purpose+zone, hosts)
		zones[zone] = ranked[:min(count, len(ranked))]
	}
	return zones
}

package process

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// contenders is how many hosts contend for a duty: enough that one is left when two fail together,
// and few, since each reads the lease object again and again.
const contenders = 3

// isContender says whether the host is among the first few of hosts by rendezvous hashing. A host that
// isn't on the lagging list yet doesn't contend; with an empty list everybody does.
func isContender(duty, self string, hosts []string) bool {
	return isAmong(contenders, duty, self, hosts)
}

// isAmong says whether the host is among the first count of hosts by rendezvous hashing for the name.
func isAmong(count int, name, self string, hosts []string) bool {
	if len(hosts) <= count {
		return len(hosts) == 0 || slices.Contains(hosts, self)
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		wa, wb := weight(name, a), weight(name, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		default:
			return 0
		}
	})
	return slices.Contains(ranked[:count], self)
}

func weight(name, host string) uint64 { return xxhash.Sum64String(name + "\x00" + host) }

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
	if len(hosts) <= contenders {
		return len(hosts) == 0 || slices.Contains(hosts, self)
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		wa, wb := weight(duty, a), weight(duty, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		default:
			return 0
		}
	})
	return slices.Contains(ranked[:contenders], self)
}

func weight(duty, host string) uint64 { return xxhash.Sum64String(duty + "\x00" + host) }

package roster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// settledTime is how long after its start an entry that knows others considers its list complete: they answer its first call within
	// 100 ms. isolatedTime is how long an entry that knows no other living one waits before it assumes that it is the only one.
	settledTime  = 300 * time.Millisecond
	isolatedTime = 700 * time.Millisecond
)

// Settled reports whether an entry has run long enough to rely on its list of living members for its position among them.
//
// It prevents every entry from taking the first position and reading the store when all start at once.
func Settled(running time.Duration, members []Member) bool {
	if len(members) == 0 {
		return running >= isolatedTime
	}
	return running >= settledTime
}

// Position returns how many members precede the host in the order by hash of the host ID, which is the same at all entries. Leaving members
// are left out. Entries ask for their position dozens of times a second, so it is counted without a copy of the members.
func Position(hostID string, members []Member) int {
	own := xxhash.Sum64String(hostID)
	position := 0
	for i := range members {
		if !members[i].Leaving && xxhash.Sum64String(members[i].HostID) < own {
			position++
		}
	}
	return position
}

// DutyPosition returns how many members precede this one in the order in which entries contend for the duties, which is the same at all
// entries. Those with at least minCoreShare of the largest entry's cores come first, each part in the order of Position. Leaving members are
// left out.
//
// The holder of the duties hears from all other entries and orders the loads of all engines. With 384 entries before 403 engines that is 150
// heartbeats and up to a hundred orders a second, which is more than an entry with a seventh of a core can do.
func DutyPosition(self Member, members []Member) int {
	least := minCoreShare * max(self.Cores, mostCores(members))
	own, ownHash := self.Cores >= least, xxhash.Sum64String(self.HostID)
	position := 0
	for i := range members {
		large := members[i].Cores >= least
		before := large && !own || large == own && xxhash.Sum64String(members[i].HostID) < ownHash
		if !members[i].Leaving && before {
			position++
		}
	}
	return position
}

// Predecessors returns the members that precede the host in the order of Position.
func Predecessors(hostID string, members []Member) []Member {
	own := xxhash.Sum64String(hostID)
	var predecessors []Member
	for _, member := range members {
		if !member.Leaving && xxhash.Sum64String(member.HostID) < own {
			predecessors = append(predecessors, member)
		}
	}
	return predecessors
}

// minCoreShare is the fraction of the largest member's cores that WithMostCores requires.
const minCoreShare = 0.5

// WithMostCores returns the members with at least half as many cores as the largest one.
func WithMostCores(members []Member) []Member {
	least := minCoreShare * mostCores(members)
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Cores < least })
}

// mostCores returns the cores of the largest member.
func mostCores(members []Member) float64 {
	most := 0.0
	for i := range members {
		most = max(most, members[i].Cores)
	}
	return most
}

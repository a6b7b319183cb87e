package batch

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// leastShare is the part of the largest entry's processor time that an entry must have to run jobs while others have more; entries with a
// fifth of others' stand beside them.
const leastShare = 0.5

// homeSlots is how many places of engines one home runs items on, so that its work stays well below a third of a core on a busy day.
const homeSlots = 128

// Demand is what is trained.
type Demand struct {
	// Models are all that are trained, in any order.
	Models []string
	// Slots is how many requests the engines of all models run at once.
	Slots int
}

// homes is how many homes each model has.
func (d Demand) homes() int {
	each := d.Slots / max(1, len(d.Models))
	return max(1, (each+homeSlots-1)/homeSlots)
}

// Runner is an entry that may run jobs.
type Runner struct {
	HostID string
	// Cores is the processor time that the entry has; 0 if it is not known.
	Cores float64
}

// Home returns the entry that is to run a job of a model; false if there is none. It is a matter of cost only: any entry may run any job.
//
// Load pattern: trainers hand in a step each few seconds, each at another entry, and a model's engines run nothing else.
//
// Without it: every step opens connections to all engines of its model anew, since the entry that ran the step before is another one; that is
// several times as many connections.
//
// Models with one home are dealt out one after the other, each to the first in its own order by hash among the entries that have fewest
// so far, so that two don't share an entry while another has none; few move when an entry comes or goes. A model whose engines need more
// has several, and each job one of them by its id; with so many they spread by themselves.
func Home(job, model string, demand Demand, runners []Runner) (string, bool) {
	able := ableRunners(runners)
	if len(able) == 0 {
		return "", false
	}
	if homes := demand.homes(); homes > 1 {
		bucket := xxhash.Sum64String(job) % uint64(homes) //nolint:gosec // above one
		return first(model+"/"+strconv.FormatUint(bucket, 10), able, nil), true
	}
	all := slices.Clone(demand.Models)
	if !slices.Contains(all, model) {
		all = append(all, model)
	}
	slices.Sort(all)
	dealt := map[string]int{}
	for _, next := range all {
		home := first(next, able, dealt)
		if next == model {
			return home, true
		}
		dealt[home]++
	}
	return "", false
}

// StoreReader returns the entry that loads a job from the store on behalf of all entries when none is known to have it in memory. It
// returns false if there are no runners.
//
// Guards against every entry loading the same jobs and pages from the store after a full restart.
func StoreReader(job string, runners []Runner) (string, bool) {
	able := ableRunners(runners)
	if len(able) == 0 {
		return "", false
	}
	return first(job, able, nil), true
}

// first returns the entry that comes first in the order of the name among those that were dealt fewest models.
func first(name string, able []Runner, dealt map[string]int) string {
	return slices.MinFunc(able, func(a, b Runner) int {
		return cmp.Or(
			cmp.Compare(dealt[a.HostID], dealt[b.HostID]),
			cmp.Compare(orderOf(name, a), orderOf(name, b)),
			cmp.Compare(a.HostID, b.HostID),
		)
	}).HostID
}

func ableRunners(runners []Runner) []Runner {
	most := 0.0
	for _, r := range runners {
		most = max(most, r.Cores)
	}
	var able []Runner
	for _, r := range runners {
		if r.Cores >= leastShare*most {
			able = append(able, r)
		}
	}
	return able
}

// orderOf places an entry in the order of a name; less comes first. Entries with more processor time come first more often.
func orderOf(name string, r Runner) float64 {
	uniform := (float64(xxhash.Sum64String(name+"\x00"+r.HostID)>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / max(r.Cores, math.SmallestNonzeroFloat32)
}

package batch

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// leastShare is the part of the largest entry's processor time that an entry must have to run jobs while others have more. The
// streams of a step take a tenth of a core, and entries of 0.14 and 0.8 cores stand side by side.
const leastShare = 0.5

// homeSlots is how many places of engines one home runs items on: a place takes about a thousandth of a core of the home, and entries have
// a third of a core.
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
// Without it: every step opens connections to all engines of its model anew, since the entry that ran the step before is another one, and
// entries learn late what others run there, so that engines refuse. In a minute of 27 entries, 45 engines and three trainers: 2,058
// connections for 4,500 requests and 741 refusals.
//
// A model has as many homes as its engines need, and each job one of them by its id. In each round the models are dealt out one after the
// other, each to the first in its own order by hash among the entries that have fewest so far, so that two don't share an entry while
// another has none; few move when an entry comes or goes.
func Home(job, model string, demand Demand, runners []Runner) (string, bool) {
	able := ableRunners(runners)
	if len(able) == 0 {
		return "", false
	}
	all := slices.Clone(demand.Models)
	if !slices.Contains(all, model) {
		all = append(all, model)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	round := int(xxhash.Sum64String(job) % uint64(demand.homes())) //nolint:gosec // below the number of homes
	dealt := map[string]int{}
	for r := 0; ; r++ {
		for _, next := range all {
			home := first(next, r, able, dealt)
			if next == model && r == round {
				return home, true
			}
			dealt[home]++
		}
	}
}

// first returns the entry that is dealt a model in a round.
func first(model string, round int, able []Runner, dealt map[string]int) string {
	name := model + "/" + strconv.Itoa(round)
	best := able[0].HostID
	order := math.Inf(1)
	for _, r := range able {
		place := orderOf(name, r)
		if c := cmp.Or(cmp.Compare(dealt[r.HostID], dealt[best]), cmp.Compare(place, order), cmp.Compare(r.HostID, best)); c < 0 {
			best, order = r.HostID, place
		}
	}
	return best
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

// orderOf places an entry in the order of a model; less comes first. Entries with more processor time come first more often.
func orderOf(model string, r Runner) float64 {
	uniform := (float64(xxhash.Sum64String(model+"\x00"+r.HostID)>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / max(r.Cores, math.SmallestNonzeroFloat32)
}

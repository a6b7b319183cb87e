package batch

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// minCoreShare is the minimum share of the largest entry's cores that an entry needs to run jobs. Deployments mix
// entries with others that have a fifth of their cores.
const minCoreShare = 0.5

// slotsPerRunner is the number of engine slots whose items one entry handles. It keeps that work well below a third
// of a core on a busy day.
const slotsPerRunner = 128

// maxRunnersPerModel bounds the entries that run the jobs of a model, whatever number of slots servers report.
const maxRunnersPerModel = 1024

// Demand describes the training load that is spread over the entries. An engine is a backend server that runs a
// model.
type Demand struct {
	// Models are all models being trained, in any order.
	Models []string
	// Slots is the number of requests that the engines of all models run at once.
	Slots int
}

// runnersPerModel returns the number of entries that run the jobs of each model.
func (d Demand) runnersPerModel() int {
	slots := d.Slots / max(1, len(d.Models))
	return min(maxRunnersPerModel, max(1, (slots+slotsPerRunner-1)/slotsPerRunner))
}

// Runner is an entry that may run jobs.
type Runner struct {
	HostID string
	// Cores is the entry's processor time in cores; 0 if unknown.
	Cores float64
}

// PreferredRunner returns the host ID of the entry that should run a job of a model, or false if there are no runners.
// The choice only affects cost: any entry may run any job.
//
// Trainers submit a step every few seconds, each through a different entry, and a model's engines run nothing else.
// Without a preferred entry every step would open new connections to all engines of its model, which makes several
// times as many connections.
//
// Models that need one runner are assigned in sorted order, each by weighted rendezvous hashing among the entries
// with the fewest models so far. No two models share an entry while another eligible one has none, and few models
// move when an entry joins or leaves. A model whose engines need several runners hashes each job by its ID to one of
// them; with that many runners the jobs spread evenly on their own.
func PreferredRunner(job, model string, demand Demand, runners []Runner) (string, bool) {
	eligible := eligibleRunners(runners)
	if len(eligible) == 0 {
		return "", false
	}
	if count := demand.runnersPerModel(); count > 1 {
		bucket := xxhash.Sum64String(job) % uint64(count)                       //nolint:gosec // count is greater than 1
		return selectRunner(bucketKey(model, int(bucket)), eligible, nil), true //nolint:gosec // the bucket is less than count
	}
	models := slices.Clone(demand.Models)
	if !slices.Contains(models, model) {
		models = append(models, model)
	}
	slices.Sort(models)
	assigned := map[string]int{}
	for _, next := range models {
		chosen := selectRunner(next, eligible, assigned)
		if next == model {
			return chosen, true
		}
		assigned[chosen]++
	}
	return "", false
}

// PreferredRunners returns all entries that run jobs of a model, those that PreferredRunner returns for any job, in sorted order.
func PreferredRunners(model string, demand Demand, runners []Runner) []string {
	count := demand.runnersPerModel()
	if count == 1 {
		chosen, ok := PreferredRunner("", model, demand, runners)
		if !ok {
			return nil
		}
		return []string{chosen}
	}
	eligible := eligibleRunners(runners)
	if len(eligible) == 0 {
		return nil
	}
	var hosts []string
	for bucket := range count {
		hosts = append(hosts, selectRunner(bucketKey(model, bucket), eligible, nil))
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// bucketKey returns the key by which the entry is selected that runs one of the buckets into which a model's jobs are divided.
func bucketKey(model string, bucket int) string { return model + "/" + strconv.Itoa(bucket) }

// StoreReader returns the entry that loads a job from the store on behalf of all entries when none is known to
// have it in memory. It returns false if there are no runners.
//
// It prevents every entry from loading the same jobs and pages from the store after a full restart.
func StoreReader(job string, runners []Runner) (string, bool) {
	eligible := eligibleRunners(runners)
	if len(eligible) == 0 {
		return "", false
	}
	return selectRunner(job, eligible, nil), true
}

// selectRunner returns the host ID with the lowest rendezvous rank for the key among the runners that were assigned
// the fewest models.
func selectRunner(key string, eligible []Runner, assigned map[string]int) string {
	return slices.MinFunc(eligible, func(a, b Runner) int {
		return cmp.Or(
			cmp.Compare(assigned[a.HostID], assigned[b.HostID]),
			cmp.Compare(rendezvousRank(key, a), rendezvousRank(key, b)),
			cmp.Compare(a.HostID, b.HostID),
		)
	}).HostID
}

// eligibleRunners returns the runners that have at least minCoreShare of the largest runner's cores.
func eligibleRunners(runners []Runner) []Runner {
	maxCores := 0.0
	for _, r := range runners {
		maxCores = max(maxCores, r.Cores)
	}
	var eligible []Runner
	for _, r := range runners {
		if r.Cores >= minCoreShare*maxCores {
			eligible = append(eligible, r)
		}
	}
	return eligible
}

// rendezvousRank returns the weighted rendezvous hash of a key and a runner; the lowest rank is chosen. Runners with
// more cores are chosen more often, in proportion.
func rendezvousRank(key string, r Runner) float64 {
	uniform := (float64(xxhash.Sum64String(key+"\x00"+r.HostID)>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / max(r.Cores, math.SmallestNonzeroFloat32)
}

package scenario

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/oleandershelf/oleandershelf/internal/core/queue"
	"github.com/oleandershelf/oleandershelf/internal/core/rollout"
)

const (
	// maxRunningSamples is how many samples a job has queued or running at a time, as with the real coordinator.
	maxRunningSamples = 64
	// meanVersionInterval is the mean time between two weight versions.
	meanVersionInterval = 60 * time.Second
	jobSimulationEnd    = 1200 * time.Second
	// jobSeedCount is higher than the number of seeds of the other tests, because the results vary more between runs:
	// they depend on whether a new version is published during a step.
	jobSeedCount = 12
)

// sharingPolicy is how jobs whose coordinators don't know of each other share the engines.
type sharingPolicy string

const (
	// firstComeFirstServed runs samples in order of arrival at the agent.
	firstComeFirstServed sharingPolicy = "first come first served"
	// sharedPlanner lets one rollout.Planner order the samples of all jobs, in place of one for each job.
	sharedPlanner sharingPolicy = "one planner for all jobs"
	// fairQueues uses queue.Queue at the agents, which is fair between organisations.
	fairQueues sharingPolicy = "agents' queues"
	// fairQueuesCancelStale is fairQueues, and cancels a generation as soon as a new version makes it too stale.
	fairQueuesCancelStale sharingPolicy = "agents' queues, void samples stopped"
)

// rolloutJob is a trainer job with its coordinator. A step is one batch: finished samples wait until all are finished.
type rolloutJob struct {
	name, organisation     string
	groups, stalenessBound int
	planner                *rollout.Planner
	// running counts the queued and running samples.
	running int
	// stepSize is the number of samples in a step.
	step, stepSize int
	stepStart      time.Time
	// finishedVersions holds the weight version of each finished sample of the step. regenerations and lengths cover
	// the samples of all steps.
	finishedVersions map[string]int
	regenerations    map[string]int
	stepTimes        []time.Duration
	// staleness holds, for each sample of the finished steps, by how many versions it was behind when the step ended.
	staleness []int
	// discarded counts the samples that were too stale.
	discarded int
	lengths   map[string]float64
}

// engineAgent is an agent with its server. It queues start functions, in queue or in fifo depending on the policy.
type engineAgent struct {
	server  *server
	queue   *queue.Queue[func()]
	fifo    []func()
	running int
	// generations holds the running generations in the order in which they started.
	generations []*generation
}

// generation is a running sample with the weight version that it started with.
type generation struct {
	job          *rolloutJob
	sample       string
	startVersion int
	request      *activeRequest
}

// jobSim runs several jobs that share the engines.
type jobSim struct {
	policy sharingPolicy
	clock  *clock
	seed   uint64
	random *rand.Rand
	jobs   []*rolloutJob
	agents []*engineAgent
	// refusals holds the refusals of the agents' queues; this load must not cause any.
	refusals []error
	version  int
}

// rolloutJobs returns two "near" jobs, whose samples are too stale after a single new version, and two "wide" ones with a
// staleness bound of 4. One of each kind belongs to the same organisation.
func rolloutJobs() []*rolloutJob {
	return []*rolloutJob{
		{name: "near", organisation: "a", groups: 12},
		{name: "near beside wide", organisation: "b", groups: 12},
		{name: "wide", organisation: "b", groups: 32, stalenessBound: 4},
		{name: "wide alone", organisation: "c", groups: 32, stalenessBound: 4},
	}
}

// newJobSim returns a simulation in which the jobs start at random times within the first ten seconds.
func newJobSim(seed uint64, p sharingPolicy) *jobSim {
	s := &jobSim{policy: p, seed: seed, clock: newClock(), random: rand.New(rand.NewPCG(seed, 9)), jobs: rolloutJobs(), version: 10}
	for i := range serverCount {
		a := &engineAgent{server: newServer(s.clock, fmt.Sprint("server", i)), queue: queue.New[func()]()}
		s.agents = append(s.agents, a)
	}
	shared := rollout.NewPlanner()
	for _, j := range s.jobs {
		j.finishedVersions, j.regenerations, j.lengths = map[string]int{}, map[string]int{}, map[string]float64{}
		j.planner = rollout.NewPlanner()
		if p == sharedPlanner {
			j.planner = shared
		}
		s.clock.after(time.Duration(s.random.Int64N(int64(10*time.Second))), func() { s.startStep(j) })
	}
	s.clock.after(s.untilNextVersion(), s.publishVersion)
	return s
}

// untilNextVersion returns a random time, so that the steps don't synchronise with the versions.
func (s *jobSim) untilNextVersion() time.Duration {
	return meanVersionInterval/2 + time.Duration(s.random.Int64N(int64(meanVersionInterval)))
}

// startStep starts the next step of a job.
func (s *jobSim) startStep(j *rolloutJob) {
	j.step++
	j.stepSize, j.stepStart = j.groups*groupSize, s.clock.now
	step := rollout.Step{Job: j.name, Number: j.step}
	for g := range j.groups {
		var group rollout.Group
		for i := range groupSize {
			group.Samples = append(group.Samples, s.newSample(j, fmt.Sprintf("%s/%d/%d/%d", j.name, j.step, g, i)))
		}
		step.Groups = append(step.Groups, group)
	}
	j.planner.AddStep(step)
	s.startSamples()
}

// newSample returns a sample whose random length depends only on the seed and the id, and so is the same under each policy.
func (s *jobSim) newSample(j *rolloutJob, id string) rollout.Sample {
	name := fnv.New64a()
	_, _ = name.Write([]byte(id))
	j.lengths[id] = min(4, 0.2+rand.New(rand.NewPCG(s.seed, name.Sum64())).ExpFloat64()) * sampleTokens
	return rollout.Sample{ID: id, Cost: 4 * sampleTokens}
}

// publishVersion publishes a weight version. Finished samples that are too stale now are discarded and generated again.
func (s *jobSim) publishVersion() {
	s.version++
	for _, j := range s.jobs {
		for _, id := range slices.Sorted(maps.Keys(j.finishedVersions)) {
			if j.finishedVersions[id] < s.version-j.stalenessBound {
				delete(j.finishedVersions, id)
				s.regenerate(j, id)
			}
		}
	}
	s.clock.after(s.untilNextVersion(), s.publishVersion)
	for _, a := range s.agents {
		if s.policy == fairQueuesCancelStale {
			s.cancelStale(a)
		}
	}
	s.startSamples()
}

// regenerate discards a sample and adds a new one in its place.
func (s *jobSim) regenerate(j *rolloutJob, id string) {
	j.discarded++
	j.regenerations[id]++
	name := fmt.Sprintf("%s/r%d", strings.Split(id, "/r")[0], j.regenerations[id])
	j.planner.AddStep(rollout.Step{Job: j.name, Number: j.step, Groups: []rollout.Group{{Samples: []rollout.Sample{s.newSample(j, name)}}}})
}

// startSamples starts samples up to maxRunningSamples for each job, or with a shared planner up to the slots of all servers.
func (s *jobSim) startSamples() {
	total := 0
	for _, j := range s.jobs {
		total += j.running
	}
	for _, j := range s.jobs {
		for s.policy == sharedPlanner && total < serverCount*slotsPerServer || s.policy != sharedPlanner && j.running < maxRunningSamples {
			work, ok := j.planner.Next(s.clock.now, 0)
			if !ok {
				break
			}
			j.planner.RecordStart(s.clock.now, work)
			owner := s.jobs[slices.IndexFunc(s.jobs, func(o *rolloutJob) bool { return o.name == work.Job })]
			owner.running++
			total++
			s.enqueue(owner, work)
		}
	}
}

// enqueue queues a sample at the agent with the fewest queued and running samples.
func (s *jobSim) enqueue(j *rolloutJob, work rollout.Generation) {
	a := slices.MinFunc(s.agents, func(x, y *engineAgent) int {
		return cmp.Compare(x.running+x.queue.Len()+len(x.fifo), y.running+y.queue.Len()+len(y.fifo))
	})
	start := func() {
		a.running++
		g := &generation{job: j, sample: work.SampleID, startVersion: s.version}
		a.generations = append(a.generations, g)
		g.request = a.server.start(j.lengths[work.SampleID], 0, 0, func(bool) { s.releaseSlot(a, g) })
	}
	if s.policy == firstComeFirstServed || s.policy == sharedPlanner {
		a.fifo = append(a.fifo, start)
		s.startQueued(a)
		return
	}
	item := queue.Item[func()]{Organisation: j.organisation, Cost: 4 * sampleTokens, Value: start}
	if err := a.queue.Push(s.clock.now, item); err != nil {
		s.refusals = append(s.refusals, err)
	}
	s.startQueued(a)
}

// startQueued starts queued samples while the server has free slots.
func (s *jobSim) startQueued(a *engineAgent) {
	for a.running < slotsPerServer {
		if len(a.fifo) > 0 {
			start := a.fifo[0]
			a.fifo = a.fifo[1:]
			start()
			continue
		}
		item, ok := a.queue.Pop(s.clock.now)
		if !ok {
			return
		}
		item.Value()
	}
}

// cancelStale cancels the generations that the latest version has made too stale.
func (s *jobSim) cancelStale(a *engineAgent) {
	for _, g := range slices.Clone(a.generations) {
		if g.startVersion < s.version-g.job.stalenessBound {
			a.server.cancel(g.request)
			s.releaseSlot(a, g)
		}
	}
}

// releaseSlot handles the end of a generation and starts the next one.
func (s *jobSim) releaseSlot(a *engineAgent, g *generation) {
	a.running--
	a.generations = slices.DeleteFunc(a.generations, func(other *generation) bool { return other == g })
	s.finishGeneration(g.job, g.sample, g.startVersion)
	s.startQueued(a)
}

// finishGeneration keeps a sample or, if it is too stale, generates it again, and ends the step with its last sample.
func (s *jobSim) finishGeneration(j *rolloutJob, id string, startVersion int) {
	j.running--
	j.planner.RecordCompletion(s.clock.now, id, int(j.lengths[id]))
	if startVersion < s.version-j.stalenessBound {
		s.regenerate(j, id)
	} else {
		j.finishedVersions[id] = startVersion
	}
	if len(j.finishedVersions) == j.stepSize {
		j.stepTimes = append(j.stepTimes, s.clock.now.Sub(j.stepStart))
		for _, startVersion := range j.finishedVersions {
			j.staleness = append(j.staleness, s.version-startVersion)
		}
		clear(j.finishedVersions)
		s.clock.after(trainingTime, func() { s.startStep(j) })
	}
	s.startSamples()
}

// TestTrainerJobs compares how jobs with separate coordinators share the engines under each policy. Some of the jobs are
// near their staleness bound.
func TestTrainerJobs(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	table.WriteString("| sharing | job | steps | mean step | p90 step | trainer idle | mean staleness | discarded a step |\n|---|---|---|---|---|---|---|---|\n")
	for _, p := range []sharingPolicy{firstComeFirstServed, sharedPlanner, fairQueues, fairQueuesCancelStale} {
		sims := make([]*jobSim, jobSeedCount)
		workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
		for i := range sims {
			workers.Go(func() {
				sims[i] = newJobSim(uint64(i+1), p)
				sims[i].clock.runUntil(jobSimulationEnd)
			})
		}
		workers.Wait()
		totals := rolloutJobs()
		for _, s := range sims {
			if len(s.refusals) > 0 {
				t.Fatal(s.refusals[0])
			}
			for i, j := range s.jobs {
				totals[i].stepTimes = append(totals[i].stepTimes, j.stepTimes...)
				totals[i].staleness = append(totals[i].staleness, j.staleness...)
				totals[i].discarded += j.discarded
			}
		}
		for _, j := range totals {
			steps, meanStep, totalStaleness := float64(len(j.stepTimes)), meanDuration(j.stepTimes), 0
			for _, versions := range j.staleness {
				totalStaleness += versions
			}
			fmt.Fprintf(&table, "| %s | %s | %.0f | %.2f s | %.2f s | %.3f | %.3f | %.2f |\n", p, j.name, steps,
				meanStep.Seconds(), quantile(j.stepTimes, 0.9).Seconds(),
				meanStep.Seconds()/(meanStep+trainingTime).Seconds(),
				float64(totalStaleness)/float64(max(1, len(j.staleness))), float64(j.discarded)/steps)
		}
	}
	compareGolden(t, "jobs.md", table.String())
}

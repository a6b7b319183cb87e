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
	// jobSlots is how many samples of a job are in work at a time, as at the coordinator.
	jobSlots     = 64
	versionEvery = 60 * time.Second
	jobsEnd      = 1200 * time.Second
	// jobSeeds are more than the others': whether a step meets a new version varies much from run to run.
	jobSeeds = 12
)

// sharing is how jobs that don't know of each other share the engines.
type sharing string

const (
	arrivalOrder sharing = "first come first served"
	onePlanner   sharing = "one planner for all jobs"
	fairLanes    sharing = "agents' queues"
	// voidStopped ends a generation as soon as a new version makes it void.
	voidStopped sharing = "agents' queues, void samples stopped"
)

// rolloutJob is a trainer with its coordinator. A step is one batch: whole samples wait for the last one.
type rolloutJob struct {
	name, organisation string
	groups, bound      int
	planner            *rollout.Planner
	running            int
	step, left         int
	began              time.Time
	// whole holds the weight version of each sample that waits for its batch; lengths and attempts are those of all.
	whole     map[string]int
	attempts  map[string]int
	steps     []time.Duration
	stale     []int
	discarded int
	lengths   map[string]float64
}

// place is an agent with its engine.
type place struct {
	server *server
	queue  *queue.Queue[func()]
	plain  []func()
	busy   int
	// runs are the generations that run, in the order of their start.
	runs []*generation
}

// generation is a running sample with the weight version that it started from.
type generation struct {
	job    *rolloutJob
	sample string
	oldest int
	run    *run
}

// jobSim runs several jobs that share the engines.
type jobSim struct {
	sharing sharing
	clock   *clock
	seed    uint64
	random  *rand.Rand
	jobs    []*rolloutJob
	places  []*place
	// lost are refusals, which this load must not set off.
	lost    []error
	version int
}

func rolloutJobs() []*rolloutJob {
	return []*rolloutJob{
		{name: "near", organisation: "a", groups: 12},
		{name: "near beside wide", organisation: "b", groups: 12},
		{name: "wide", organisation: "b", groups: 32, bound: 4},
		{name: "wide alone", organisation: "c", groups: 32, bound: 4},
	}
}

func newJobSim(seed uint64, how sharing) *jobSim {
	s := &jobSim{sharing: how, seed: seed, clock: newClock(), random: rand.New(rand.NewPCG(seed, 9)), jobs: rolloutJobs(), version: 10}
	for i := range serverCount {
		p := &place{server: newServer(s.clock, fmt.Sprint("server", i)), queue: queue.New[func()]()}
		s.places = append(s.places, p)
	}
	shared := rollout.NewPlanner()
	for _, j := range s.jobs {
		j.whole, j.attempts, j.lengths = map[string]int{}, map[string]int{}, map[string]float64{}
		j.planner = rollout.NewPlanner()
		if how == onePlanner {
			j.planner = shared
		}
		s.clock.after(time.Duration(s.random.Int64N(int64(10*time.Second))), func() { s.begin(j) })
	}
	s.clock.after(s.untilVersion(), s.publish)
	return s
}

// untilVersion varies, so that steps don't fall into step with the versions.
func (s *jobSim) untilVersion() time.Duration {
	return versionEvery/2 + time.Duration(s.random.Int64N(int64(versionEvery)))
}

func (s *jobSim) begin(j *rolloutJob) {
	j.step++
	j.left, j.began = j.groups*groupSize, s.clock.now
	step := rollout.Step{Job: j.name, Number: j.step}
	for g := range j.groups {
		var group rollout.Group
		for i := range groupSize {
			group.Samples = append(group.Samples, s.sample(j, fmt.Sprintf("%s/%d/%d/%d", j.name, j.step, g, i)))
		}
		step.Groups = append(step.Groups, group)
	}
	j.planner.AddStep(step)
	s.fill()
}

// sample has the same length under each way of sharing.
func (s *jobSim) sample(j *rolloutJob, id string) rollout.Sample {
	name := fnv.New64a()
	_, _ = name.Write([]byte(id))
	j.lengths[id] = min(4, 0.2+rand.New(rand.NewPCG(s.seed, name.Sum64())).ExpFloat64()) * sampleTokens
	return rollout.Sample{ID: id, Cost: 4 * sampleTokens}
}

// publish brings new weights: what is too old by them is thrown away and made anew.
func (s *jobSim) publish() {
	s.version++
	for _, j := range s.jobs {
		for _, id := range slices.Sorted(maps.Keys(j.whole)) {
			if j.whole[id] < s.version-j.bound {
				delete(j.whole, id)
				s.again(j, id)
			}
		}
	}
	s.clock.after(s.untilVersion(), s.publish)
	for _, p := range s.places {
		if s.sharing == voidStopped {
			s.stopVoid(p)
		}
	}
	s.fill()
}

func (s *jobSim) again(j *rolloutJob, id string) {
	j.discarded++
	j.attempts[id]++
	name := fmt.Sprintf("%s/r%d", strings.Split(id, "/r")[0], j.attempts[id])
	j.planner.AddStep(rollout.Step{Job: j.name, Number: j.step, Groups: []rollout.Group{{Samples: []rollout.Sample{s.sample(j, name)}}}})
}

// fill starts what the jobs have slots for; one planner gives out no more than the engines run.
func (s *jobSim) fill() {
	total := 0
	for _, j := range s.jobs {
		total += j.running
	}
	for _, j := range s.jobs {
		for s.sharing == onePlanner && total < serverCount*knee || s.sharing != onePlanner && j.running < jobSlots {
			work, ok := j.planner.Next(s.clock.now, 0)
			if !ok {
				break
			}
			j.planner.RecordStart(s.clock.now, work)
			owner := s.jobs[slices.IndexFunc(s.jobs, func(o *rolloutJob) bool { return o.name == work.Job })]
			owner.running++
			total++
			s.send(owner, work)
		}
	}
}

// send queues a sample at the agent with the least work.
func (s *jobSim) send(j *rolloutJob, work rollout.Generation) {
	p := slices.MinFunc(s.places, func(a, b *place) int {
		return cmp.Compare(a.busy+a.queue.Len()+len(a.plain), b.busy+b.queue.Len()+len(b.plain))
	})
	start := func() {
		p.busy++
		g := &generation{job: j, sample: work.SampleID, oldest: s.version}
		p.runs = append(p.runs, g)
		g.run = p.server.start(j.lengths[work.SampleID], 0, 0, func(bool) { s.leave(p, g) })
	}
	if s.sharing == arrivalOrder || s.sharing == onePlanner {
		p.plain = append(p.plain, start)
		s.pump(p)
		return
	}
	item := queue.Item[func()]{Organisation: j.organisation, Cost: 4 * sampleTokens, Value: start}
	if err := p.queue.Push(s.clock.now, item); err != nil {
		s.lost = append(s.lost, err)
	}
	s.pump(p)
}

func (s *jobSim) pump(p *place) {
	for p.busy < knee {
		if len(p.plain) > 0 {
			start := p.plain[0]
			p.plain = p.plain[1:]
			start()
			continue
		}
		item, ok := p.queue.Pop(s.clock.now)
		if !ok {
			return
		}
		item.Value()
	}
}

// stopVoid ends the generations that the newest version has made void.
func (s *jobSim) stopVoid(p *place) {
	for _, g := range slices.Clone(p.runs) {
		if g.oldest < s.version-g.job.bound {
			p.server.cancel(g.run)
			s.leave(p, g)
		}
	}
}

func (s *jobSim) leave(p *place, g *generation) {
	p.busy--
	p.runs = slices.DeleteFunc(p.runs, func(other *generation) bool { return other == g })
	s.ended(g.job, g.sample, g.oldest)
	s.pump(p)
}

func (s *jobSim) ended(j *rolloutJob, id string, oldest int) {
	j.running--
	j.planner.RecordCompletion(s.clock.now, id, int(j.lengths[id]))
	if oldest < s.version-j.bound {
		s.again(j, id)
	} else {
		j.whole[id] = oldest
	}
	if len(j.whole) == j.left {
		j.steps = append(j.steps, s.clock.now.Sub(j.began))
		for _, of := range j.whole {
			j.stale = append(j.stale, s.version-of)
		}
		clear(j.whole)
		s.clock.after(trainTime, func() { s.begin(j) })
	}
	s.fill()
}

// TestJobs compares how jobs that are coordinated apart share the engines, one of them near its staleness bound.
func TestJobs(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	table.WriteString("| sharing | job | steps | mean step | p90 step | trainer idle | mean staleness | discarded a step |\n|---|---|---|---|---|---|---|---|\n")
	for _, how := range []sharing{arrivalOrder, onePlanner, fairLanes, voidStopped} {
		sims := make([]*jobSim, jobSeeds)
		workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
		for i := range sims {
			workers.Go(func() {
				sims[i] = newJobSim(uint64(i+1), how)
				sims[i].clock.runUntil(jobsEnd)
			})
		}
		workers.Wait()
		sums := rolloutJobs()
		for _, s := range sims {
			if len(s.lost) > 0 {
				t.Fatal(s.lost[0])
			}
			for i, j := range s.jobs {
				sums[i].steps = append(sums[i].steps, j.steps...)
				sums[i].stale = append(sums[i].stale, j.stale...)
				sums[i].discarded += j.discarded
			}
		}
		for _, j := range sums {
			n, step, old := float64(len(j.steps)), average(j.steps), 0
			for _, versions := range j.stale {
				old += versions
			}
			fmt.Fprintf(&table, "| %s | %s | %.0f | %.2f s | %.2f s | %.3f | %.3f | %.2f |\n", how, j.name, n, step.Seconds(), quantile(j.steps, 0.9).Seconds(),
				step.Seconds()/(step+trainTime).Seconds(), float64(old)/float64(max(1, len(j.stale))), float64(j.discarded)/n)
		}
	}
	golden(t, "jobs.md", table.String())
}

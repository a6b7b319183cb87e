package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/placement"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/rollout"
)

const (
	// largeStepGroups is the number of groups in a step of the large job.
	largeStepGroups = 16
	// groupSize is the number of samples in a group.
	groupSize = 8
	// sampleTokens scales the random lengths of samples: from 0.2 to 4 times as many tokens.
	sampleTokens = 200
	// prefillTokens is the work for a prompt that the engine hasn't cached, in tokens.
	prefillTokens = 100
	// preemptedShare is the share of the generations that run at preemptedSpeed, as if the engine had preempted them.
	preemptedShare = 0.03
	preemptedSpeed = 0.1
	// trainingTime is the time from the end of a step's last sample to the start of the next step.
	trainingTime      = 5 * time.Second
	stepSimulationEnd = 400 * time.Second
	// progressInterval is the interval at which the progress of generations is reported.
	progressInterval = 500 * time.Millisecond
)

// stepPolicy is how the samples of steps are ordered and placed.
type stepPolicy struct {
	name string
	// usePlanner uses rollout.Planner and placement.Tracker; otherwise samples start in order of arrival.
	usePlanner bool
	// leastOutstanding places samples on the server with the fewest running ones instead of round robin.
	leastOutstanding bool
	// interleaveGroups starts the first sample of each group, then the second of each, and so on.
	interleaveGroups bool
	// copyShare is the limit of the work of copies as a share of all work.
	copyShare float64
	// placeByPrefix passes the prompt's prefix to the tracker, so that the samples of a group tend to run on one server.
	placeByPrefix bool
}

// attempt is one generation of a sample, which may be a copy or resume an earlier one.
type attempt struct {
	server  string
	request *activeRequest
	sample  string
	// resumedTokens is the length of the part that an earlier attempt generated.
	resumedTokens int
	ended         bool
}

// stepSim runs two trainer jobs that share the engines.
type stepSim struct {
	policy        stepPolicy
	clock         *clock
	random        *rand.Rand
	servers       []*server
	serversByName map[string]*server
	planner       *rollout.Planner
	tracker       *placement.Tracker
	// waiting holds the samples to start if the planner isn't used.
	waiting    []rollout.Generation
	running    int
	nextServer int
	// lengths and attempts are by sample, samplesLeft and stepStarts by job, finishedInGroup by job, step and group.
	lengths         map[string]float64
	samplesLeft     map[string]int
	stepStarts      map[string]time.Time
	attempts        map[string][]*attempt
	stepTimes       []time.Duration
	groupTimes      []time.Duration
	finishedInGroup map[string]int
	// usefulTokens counts the tokens of finished samples, processedTokens those of all attempts.
	usefulTokens    float64
	processedTokens float64
	// starts counts the attempts, prefills those whose prompt wasn't cached.
	prefills int
	starts   int
}

// newStepSim returns a simulation in which server 0 is slow from 100 s to 200 s and server 1 is lost from 250 s to 280 s.
func newStepSim(seed uint64, p stepPolicy) *stepSim {
	s := &stepSim{
		policy: p, clock: newClock(), random: rand.New(rand.NewPCG(seed, 7)), serversByName: map[string]*server{},
		planner: rollout.NewPlanner(rollout.WithCopyShare(p.copyShare)),
		tracker: placement.NewTracker(placement.WithSeed(seed)),
		lengths: map[string]float64{}, samplesLeft: map[string]int{}, stepStarts: map[string]time.Time{},
		attempts: map[string][]*attempt{}, finishedInGroup: map[string]int{},
	}
	for i := range serverCount {
		srv := newServer(s.clock, fmt.Sprintf("server%d", i))
		s.servers = append(s.servers, srv)
		s.serversByName[srv.name] = srv
	}
	s.clock.after(100*time.Second, func() { s.servers[0].setSpeed(0.2) })
	s.clock.after(200*time.Second, func() { s.servers[0].setSpeed(1) })
	s.clock.after(250*time.Second, func() { s.servers[1].fail() })
	s.clock.after(280*time.Second, func() { s.servers[1].up = true })
	s.startStep("large", 1)
	s.startStep("small", 1)
	s.checkProgress()
	return s
}

// startStep starts a step of a job. Those of the large job have four times as many groups as those of the small one.
func (s *stepSim) startStep(job string, number int) {
	step := rollout.Step{Job: job, Number: number, Weight: 1}
	count := largeStepGroups
	if job == "small" {
		count = largeStepGroups / 4
	}
	random := rand.New(rand.NewPCG(uint64(number), uint64(len(job))))
	for g := range count {
		var group rollout.Group
		for i := range groupSize {
			id := fmt.Sprintf("%s/%d/%d/%d", job, number, g, i)
			s.lengths[id] = min(4, 0.2+random.ExpFloat64()) * sampleTokens
			group.Samples = append(group.Samples, rollout.Sample{ID: id, Cost: 4 * sampleTokens})
			s.waiting = append(s.waiting, rollout.Generation{Job: job, Step: number, Group: g, SampleID: id})
		}
		step.Groups = append(step.Groups, group)
	}
	if s.policy.interleaveGroups {
		slices.SortStableFunc(s.waiting, func(a, b rollout.Generation) int {
			return cmp.Compare(a.SampleID[strings.LastIndex(a.SampleID, "/"):], b.SampleID[strings.LastIndex(b.SampleID, "/"):])
		})
	}
	s.samplesLeft[job] = count * groupSize
	s.stepStarts[job] = s.clock.now
	s.planner.AddStep(step)
	s.startSamples()
}

// startSamples starts samples while there are free slots.
func (s *stepSim) startSamples() {
	for s.running < serverCount*slotsPerServer {
		if !s.policy.usePlanner {
			if len(s.waiting) == 0 {
				return
			}
			work := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.launch(work, nil)
			continue
		}
		work, ok := s.planner.Next(s.clock.now, s.running)
		if !ok {
			return
		}
		s.planner.RecordStart(s.clock.now, work)
		s.launch(work, nil)
	}
}

// launch starts an attempt on a server that isn't in exclude.
func (s *stepSim) launch(work rollout.Generation, exclude map[string]bool) {
	srv := s.pickServer(work, exclude)
	a := &attempt{server: srv.name, sample: work.SampleID, resumedTokens: work.Tokens}
	relativeSpeed := 1.0
	if s.random.Float64() < preemptedShare {
		relativeSpeed = preemptedSpeed
	}
	prefix := promptPrefix(work)
	s.starts++
	started := s.clock.now
	remaining := max(1, s.lengths[work.SampleID]-float64(work.Tokens))
	s.running++
	s.attempts[work.SampleID] = append(s.attempts[work.SampleID], a)
	a.request = srv.startAtSpeed(relativeSpeed, remaining, prefix, prefillTokens, func(ok bool) { s.finishAttempt(work, a, started, ok) })
	if a.request.remaining > remaining {
		s.prefills++
	}
}

// promptPrefix identifies the prompt that the samples of a group share.
func promptPrefix(work rollout.Generation) uint64 {
	return uint64(work.Step)<<20 | uint64(work.Group)<<8 | uint64(len(work.Job))
}

// pickServer returns the server for a sample: that of the tracker, the one with the fewest requests or the next in turn.
func (s *stepSim) pickServer(work rollout.Generation, exclude map[string]bool) *server {
	if s.policy.usePlanner {
		return s.pickByProbing(work, exclude)
	}
	chosen := s.nextServer % len(s.servers)
	s.nextServer++
	for i := range s.servers {
		candidate := (chosen + i) % len(s.servers)
		better := s.policy.leastOutstanding && len(s.servers[candidate].running) < len(s.servers[chosen].running)
		if s.servers[candidate].up && (better || !s.servers[chosen].up) {
			chosen = candidate
		}
	}
	return s.servers[chosen]
}

// pickByProbing lets the tracker choose among the servers that it wants to probe.
func (s *stepSim) pickByProbing(work rollout.Generation, exclude map[string]bool) *server {
	var list []placement.Server
	for _, srv := range s.servers {
		list = append(list, placement.Server{HostID: srv.name})
	}
	prefix := uint64(0)
	if s.policy.placeByPrefix {
		prefix = promptPrefix(work)
	}
	var probed []placement.ProbeResult
	for _, candidate := range s.tracker.Candidates(s.clock.now, list, prefix, exclude) {
		srv := s.serversByName[candidate.HostID]
		result := placement.ProbeResult{
			Server: candidate, RoundTrip: 2 * networkDelay, Load: request.Load{Running: len(srv.running), Limit: slotsPerServer},
		}
		if over := len(srv.running) - slotsPerServer; over >= 0 {
			result.Load.Wait = time.Duration(over+1) * 500 * time.Millisecond
		}
		for _, cached := range srv.cachedPrefixes {
			result.Load.PrefixCached = result.Load.PrefixCached || prefix != 0 && cached == prefix
		}
		if !srv.up {
			result.Err = errServerLost
		}
		probed = append(probed, result)
	}
	server, _ := s.tracker.Choose(s.clock.now, probed, sampleTokens)
	s.tracker.ObservePrefix(s.clock.now, prefix, server.HostID)
	return s.serversByName[server.HostID]
}

// finishAttempt handles the end of an attempt; ok is false if its server was lost.
func (s *stepSim) finishAttempt(work rollout.Generation, a *attempt, started time.Time, ok bool) {
	a.ended = true
	s.running--
	done := a.request.cost - max(0, a.request.remaining)
	s.processedTokens += done
	tokens := a.resumedTokens + int(done)
	if !ok {
		s.requeue(work, tokens)
		return
	}
	took := s.clock.now.Sub(started)
	s.tracker.ObserveRequest(s.clock.now, a.server, time.Duration(float64(took)/a.request.cost), false)
	s.cancelOtherAttempts(work.SampleID)
	s.planner.RecordCompletion(s.clock.now, work.SampleID, tokens)
	s.usefulTokens += s.lengths[work.SampleID]
	s.samplesLeft[work.Job]--
	group := fmt.Sprint(work.Job, work.Step, work.Group)
	if s.finishedInGroup[group]++; s.finishedInGroup[group] == groupSize {
		s.groupTimes = append(s.groupTimes, s.clock.now.Sub(s.stepStarts[work.Job]))
	}
	if s.samplesLeft[work.Job] == 0 {
		s.stepTimes = append(s.stepTimes, s.clock.now.Sub(s.stepStarts[work.Job]))
		s.clock.after(trainingTime, func() { s.startStep(work.Job, work.Step+1) })
	}
	s.startSamples()
}

// requeue makes a lost sample wait again; the planner resumes it from the tokens that exist, the baselines start it from the beginning.
func (s *stepSim) requeue(work rollout.Generation, tokens int) {
	if !s.policy.usePlanner {
		s.waiting = append([]rollout.Generation{work}, s.waiting...)
	}
	s.planner.RecordFailure(s.clock.now, work.SampleID, tokens)
	s.clock.after(time.Millisecond, s.startSamples)
}

// cancelOtherAttempts cancels the copies of a finished sample that are still running.
func (s *stepSim) cancelOtherAttempts(sample string) {
	for _, other := range s.attempts[sample] {
		if other.ended {
			continue
		}
		other.ended = true
		s.running--
		s.serversByName[other.server].cancel(other.request)
		s.processedTokens += other.request.cost - max(0, other.request.remaining)
	}
	delete(s.attempts, sample)
}

// checkProgress reports the progress of all attempts to the planner, starts copies of stragglers and reschedules itself.
func (s *stepSim) checkProgress() {
	for id, attempts := range s.attempts {
		for _, a := range attempts {
			if !a.ended {
				s.planner.RecordProgress(s.clock.now, id, a.resumedTokens+s.serversByName[a.server].generatedTokens(a.request))
			}
		}
	}
	if s.policy.usePlanner {
		for _, work := range s.planner.Hedge(s.clock.now) {
			exclude := map[string]bool{}
			for _, a := range s.attempts[work.SampleID] {
				exclude[a.server] = true
			}
			s.planner.RecordStart(s.clock.now, work)
			s.launch(work, exclude)
		}
	}
	s.clock.after(progressInterval, s.checkProgress)
}

// stepPolicies returns the policies to compare. "Apart" means that placement doesn't know the prompts' prefixes.
func stepPolicies() []stepPolicy {
	return []stepPolicy{
		{name: "fcfs round robin"},
		{name: "fcfs least outstanding", leastOutstanding: true},
		{name: "least outstanding, all groups at once", leastOutstanding: true, interleaveGroups: true},
		{name: "planner, no copies, apart", usePlanner: true},
		{name: "planner, no copies", usePlanner: true, placeByPrefix: true},
		{name: "planner, 5 % copies, apart", usePlanner: true, copyShare: 0.05},
		{name: "planner, 5 % copies", usePlanner: true, copyShare: 0.05, placeByPrefix: true},
	}
}

// meanDuration returns the mean of the values; 0 if there are none.
func meanDuration(values []time.Duration) time.Duration {
	var sum time.Duration
	for _, v := range values {
		sum += v
	}
	return sum / time.Duration(max(1, len(values)))
}

// TestTrainerSteps compares the duration of trainers' steps under the policies, with stragglers, a slow server and a lost one.
func TestTrainerSteps(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	table.WriteString("| policy | mean step | p90 step | mean group | trainer idle | extra work | prompts computed | steps |\n|---|---|---|---|---|---|---|---|\n")
	for _, p := range stepPolicies() {
		var stepTimes, groupTimes []time.Duration
		var processed, useful, idle, prefills, starts float64
		for _, seed := range seeds {
			s := newStepSim(seed, p)
			s.clock.runUntil(stepSimulationEnd)
			for _, took := range s.stepTimes {
				idle += took.Seconds()
			}
			stepTimes = append(stepTimes, s.stepTimes...)
			groupTimes = append(groupTimes, s.groupTimes...)
			processed, useful = processed+s.processedTokens, useful+s.usefulTokens
			prefills, starts = prefills+float64(s.prefills), starts+float64(s.starts)
		}
		n := float64(len(stepTimes))
		fmt.Fprintf(&table, "| %s | %.2f s | %.2f s | %.2f s | %.3f | %.3f | %.3f | %d |\n", p.name,
			idle/n, quantile(stepTimes, 0.9).Seconds(), meanDuration(groupTimes).Seconds(),
			idle/(idle+n*trainingTime.Seconds()), processed/useful-1, prefills/starts, len(stepTimes))
	}
	compareGolden(t, "steps.md", table.String())
}

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
	groups        = 16
	groupSize     = 8
	sampleTokens  = 200
	prefillTokens = 100
	// stuckShare of the generations run at stuckPace, as when an engine preempts them.
	stuckShare = 0.03
	stuckPace  = 0.1
	trainTime  = 5 * time.Second
	stepsEnd   = 400 * time.Second
	lookEach   = 500 * time.Millisecond
)

// variant is how the samples of the steps are ordered and placed.
type variant struct {
	name string
	// planned uses the planner and the tracker, else samples go in order.
	planned bool
	least   bool
	// spread starts the first sample of each group, then the second of each.
	spread    bool
	copyShare float64
	// together gives the samples of a group one prefix to be placed by.
	together bool
}

// attempt is one running generation.
type attempt struct {
	server string
	run    *run
	sample string
	base   int
	ended  bool
}

// stepSim runs two trainer jobs that share the engines.
type stepSim struct {
	variant  variant
	clock    *clock
	random   *rand.Rand
	servers  []*server
	byName   map[string]*server
	planner  *rollout.Planner
	tracker  *placement.Tracker
	waiting  []rollout.Generation
	running  int
	next     int
	lengths  map[string]float64
	left     map[string]int
	began    map[string]time.Time
	attempts map[string][]*attempt
	times    []time.Duration
	groups   []time.Duration
	inGroup  map[string]int
	useful   float64
	work     float64
	prefills int
	starts   int
}

func newStepSim(seed uint64, v variant) *stepSim {
	s := &stepSim{
		variant: v, clock: newClock(), random: rand.New(rand.NewPCG(seed, 7)), byName: map[string]*server{},
		planner: rollout.NewPlanner(rollout.WithCopyShare(v.copyShare)),
		tracker: placement.NewTracker(placement.WithSeed(seed)),
		lengths: map[string]float64{}, left: map[string]int{}, began: map[string]time.Time{}, attempts: map[string][]*attempt{}, inGroup: map[string]int{},
	}
	for i := range serverCount {
		srv := newServer(s.clock, fmt.Sprintf("server%d", i))
		s.servers = append(s.servers, srv)
		s.byName[srv.name] = srv
	}
	s.clock.after(100*time.Second, func() { s.servers[0].setSpeed(0.2) })
	s.clock.after(200*time.Second, func() { s.servers[0].setSpeed(1) })
	s.clock.after(250*time.Second, func() { s.servers[1].fail() })
	s.clock.after(280*time.Second, func() { s.servers[1].up = true })
	s.add("large", 1)
	s.add("small", 1)
	s.look()
	return s
}

// add starts a step: the large job's has four times the groups of the small one's.
func (s *stepSim) add(job string, number int) {
	step := rollout.Step{Job: job, Number: number, Weight: 1}
	count := groups
	if job == "small" {
		count = groups / 4
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
	if s.variant.spread {
		slices.SortStableFunc(s.waiting, func(a, b rollout.Generation) int {
			return cmp.Compare(a.SampleID[strings.LastIndex(a.SampleID, "/"):], b.SampleID[strings.LastIndex(b.SampleID, "/"):])
		})
	}
	s.left[job] = count * groupSize
	s.began[job] = s.clock.now
	s.planner.AddStep(step)
	s.fill()
}

// fill starts samples while there are slots.
func (s *stepSim) fill() {
	for s.running < serverCount*knee {
		if !s.variant.planned {
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

func (s *stepSim) launch(work rollout.Generation, exclude map[string]bool) {
	srv := s.pick(work, exclude)
	a := &attempt{server: srv.name, sample: work.SampleID, base: work.Tokens}
	pace := 1.0
	if s.random.Float64() < stuckShare {
		pace = stuckPace
	}
	prefix := prefixOf(work)
	s.starts++
	started := s.clock.now
	rest := max(1, s.lengths[work.SampleID]-float64(work.Tokens))
	s.running++
	s.attempts[work.SampleID] = append(s.attempts[work.SampleID], a)
	a.run = srv.startAt(pace, rest, prefix, prefillTokens, func(ok bool) { s.ended(work, a, started, ok) })
	if a.run.left > rest {
		s.prefills++
	}
}

func prefixOf(work rollout.Generation) uint64 {
	return uint64(work.Step)<<20 | uint64(work.Group)<<8 | uint64(len(work.Job))
}

func (s *stepSim) pick(work rollout.Generation, exclude map[string]bool) *server {
	if s.variant.planned {
		return s.pickProbed(work, exclude)
	}
	at := s.next % len(s.servers)
	s.next++
	for i := range s.servers {
		candidate := (at + i) % len(s.servers)
		better := s.variant.least && len(s.servers[candidate].running) < len(s.servers[at].running)
		if s.servers[candidate].up && (better || !s.servers[at].up) {
			at = candidate
		}
	}
	return s.servers[at]
}

func (s *stepSim) pickProbed(work rollout.Generation, exclude map[string]bool) *server {
	var list []placement.Server
	for _, srv := range s.servers {
		list = append(list, placement.Server{HostID: srv.name})
	}
	prefix := uint64(0)
	if s.variant.together {
		prefix = prefixOf(work)
	}
	var probed []placement.ProbeResult
	for _, candidate := range s.tracker.Candidates(s.clock.now, list, prefix, exclude) {
		srv := s.byName[candidate.HostID]
		p := placement.ProbeResult{Server: candidate, RoundTrip: 2 * hop, Load: request.Load{Running: len(srv.running), Limit: knee}}
		if over := len(srv.running) - knee; over >= 0 {
			p.Load.Wait = time.Duration(over+1) * 500 * time.Millisecond
		}
		for _, cached := range srv.cached {
			p.Load.PrefixCached = p.Load.PrefixCached || prefix != 0 && cached == prefix
		}
		if !srv.up {
			p.Err = errLost
		}
		probed = append(probed, p)
	}
	server, _ := s.tracker.Choose(s.clock.now, probed, sampleTokens)
	s.tracker.ObservePrefix(s.clock.now, prefix, server.HostID)
	return s.byName[server.HostID]
}

// ended is called when a generation is whole or lost.
func (s *stepSim) ended(work rollout.Generation, a *attempt, started time.Time, ok bool) {
	a.ended = true
	s.running--
	done := a.run.cost - max(0, a.run.left)
	s.work += done
	tokens := a.base + int(done)
	if !ok {
		s.lost(work, tokens)
		return
	}
	took := s.clock.now.Sub(started)
	s.tracker.ObserveRequest(s.clock.now, a.server, time.Duration(float64(took)/a.run.cost), false)
	s.cancelOthers(work.SampleID)
	s.planner.RecordCompletion(s.clock.now, work.SampleID, tokens)
	s.useful += s.lengths[work.SampleID]
	s.left[work.Job]--
	group := fmt.Sprint(work.Job, work.Step, work.Group)
	if s.inGroup[group]++; s.inGroup[group] == groupSize {
		s.groups = append(s.groups, s.clock.now.Sub(s.began[work.Job]))
	}
	if s.left[work.Job] == 0 {
		s.times = append(s.times, s.clock.now.Sub(s.began[work.Job]))
		s.clock.after(trainTime, func() { s.add(work.Job, work.Step+1) })
	}
	s.fill()
}

func (s *stepSim) lost(work rollout.Generation, tokens int) {
	if !s.variant.planned {
		s.waiting = append([]rollout.Generation{work}, s.waiting...)
	}
	s.planner.RecordFailure(s.clock.now, work.SampleID, tokens)
	s.clock.after(time.Millisecond, s.fill)
}

func (s *stepSim) cancelOthers(sample string) {
	for _, other := range s.attempts[sample] {
		if other.ended {
			continue
		}
		other.ended = true
		s.running--
		s.byName[other.server].cancel(other.run)
		s.work += other.run.cost - max(0, other.run.left)
	}
	delete(s.attempts, sample)
}

// look reports progress and starts copies.
func (s *stepSim) look() {
	for id, attempts := range s.attempts {
		for _, a := range attempts {
			if !a.ended {
				s.planner.RecordProgress(s.clock.now, id, a.base+s.byName[a.server].tokens(a.run))
			}
		}
	}
	if s.variant.planned {
		for _, work := range s.planner.Hedge(s.clock.now) {
			exclude := map[string]bool{}
			for _, a := range s.attempts[work.SampleID] {
				exclude[a.server] = true
			}
			s.planner.RecordStart(s.clock.now, work)
			s.launch(work, exclude)
		}
	}
	s.clock.after(lookEach, s.look)
}

func variants() []variant {
	return []variant{
		{name: "fcfs round robin"},
		{name: "fcfs least outstanding", least: true},
		{name: "least outstanding, all groups at once", least: true, spread: true},
		{name: "planner, no copies, apart", planned: true},
		{name: "planner, no copies", planned: true, together: true},
		{name: "planner, 5 % copies, apart", planned: true, copyShare: 0.05},
		{name: "planner, 5 % copies", planned: true, copyShare: 0.05, together: true},
	}
}

func average(values []time.Duration) time.Duration {
	var sum time.Duration
	for _, v := range values {
		sum += v
	}
	return sum / time.Duration(max(1, len(values)))
}

// TestSteps compares the time of trainers' steps with stragglers, a slow server and a lost one.
func TestSteps(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	table.WriteString("| policy | mean step | p90 step | mean group | trainer idle | extra work | prompts computed | steps |\n|---|---|---|---|---|---|---|---|\n")
	for _, v := range variants() {
		var times, whole []time.Duration
		var work, useful, idle, prefills, starts float64
		for _, seed := range seeds {
			s := newStepSim(seed, v)
			s.clock.runUntil(stepsEnd)
			for _, took := range s.times {
				idle += took.Seconds()
			}
			times = append(times, s.times...)
			whole = append(whole, s.groups...)
			work, useful = work+s.work, useful+s.useful
			prefills, starts = prefills+float64(s.prefills), starts+float64(s.starts)
		}
		n := float64(len(times))
		fmt.Fprintf(&table, "| %s | %.2f s | %.2f s | %.2f s | %.3f | %.3f | %.3f | %d |\n", v.name, idle/n, quantile(times, 0.9).Seconds(), average(whole).Seconds(),
			idle/(idle+n*trainTime.Seconds()), work/useful-1, prefills/starts, len(times))
	}
	golden(t, "steps.md", table.String())
}

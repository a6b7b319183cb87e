package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Figures of the policy; the package comment gives the grounds.
const (
	defaultCopyShare = 0.05
	stragglerFactor  = 2
	// nearlyWholePart: a group is nearly whole when at most a quarter of it is left.
	nearlyWholePart = 4
	// maxCopies is how many copies of a sample are started: the first may be slow too.
	maxCopies = 2
	// leastSpeeds is how many finished samples are needed to judge others.
	leastSpeeds = 4
	// leastSpeedPart keeps the gain of a stalled sample finite.
	leastSpeedPart = 0.01
	// leastRest is the share of its cost that a sample is taken to need still, however long it is.
	leastRest = 0.1
)

// Option changes a Planner.
type Option func(*Planner)

// WithCopyShare sets the work of copies as a share of all work.
func WithCopyShare(share float64) Option {
	return func(p *Planner) { p.copyShare = share }
}

// WithWholeCopies says that copies begin anew instead of going on from the tokens that are known, so that each
// is charged for the whole sample.
func WithWholeCopies() Option {
	return func(p *Planner) { p.wholeCopies = true }
}

// Planner orders the samples of all jobs that share the engines of a model. It is owned by one goroutine.
type Planner struct {
	copyShare float64
	// wholeCopies is set by WithWholeCopies.
	wholeCopies bool
	slots       int
	jobs        map[string]*jobState
	samples     map[string]*sampleState
	// clock is the virtual time of the last start.
	clock float64
}

// NewPlanner returns a planner without jobs.
func NewPlanner(opts ...Option) *Planner {
	p := &Planner{
		copyShare: defaultCopyShare,
		jobs:      map[string]*jobState{},
		samples:   map[string]*sampleState{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetSlots sets how many generations may run at a time; 0 leaves it to the caller.
func (p *Planner) SetSlots(slots int) { p.slots = slots }

// Add takes in a step. Samples that are known already are left as they are.
func (p *Planner) Add(step Step) {
	job := p.job(step)
	state := &stepState{number: step.Number, job: job}
	for index, group := range step.Groups {
		state.groups = append(state.groups, p.addGroup(state, index, group))
	}
	if state.left > 0 {
		job.steps = append(job.steps, state)
	}
}

func (p *Planner) job(step Step) *jobState {
	job, ok := p.jobs[step.Job]
	if !ok {
		job = &jobState{name: step.Job}
		p.jobs[step.Job] = job
	}
	job.weight = cmp.Or(step.Weight, 1)
	if job.next() == nil {
		job.tag = max(job.tag, p.clock)
	}
	return job
}

func (p *Planner) addGroup(step *stepState, index int, group Group) *groupState {
	state := &groupState{index: index, step: step}
	for _, sample := range group.Samples {
		if _, known := p.samples[sample.ID]; known {
			continue
		}
		added := &sampleState{id: sample.ID, cost: cmp.Or(sample.Cost, 1), tokens: sample.Tokens, group: state}
		p.samples[sample.ID] = added
		state.waiting = append(state.waiting, added)
	}
	slices.SortFunc(state.waiting, startOrder)
	state.size = len(state.waiting)
	state.left = state.size
	step.waiting += state.size
	step.left += state.size
	step.size += state.size
	return state
}

// Next returns the sample to start next while running generations are at work; false if none
// waits or all slots are taken. The sample counts as waiting until Started is called.
func (p *Planner) Next(_ time.Time, running int) (Work, bool) {
	if p.slots > 0 && running >= p.slots {
		return Work{}, false
	}
	job := p.nextJob()
	if job == nil {
		return Work{}, false
	}
	group := job.next().next()
	if group == nil {
		return Work{}, false
	}
	return group.waiting[0].work(false), true
}

// nextJob returns the job with the earliest tag.
func (p *Planner) nextJob() *jobState {
	var best *jobState
	for _, name := range slices.Sorted(maps.Keys(p.jobs)) {
		job := p.jobs[name]
		if job.next() == nil {
			continue
		}
		if best == nil || job.tag < best.tag {
			best = job
		}
	}
	return best
}

// Started says that the sample returned by Next or Hedge is running. Calls for others are ignored.
func (p *Planner) Started(now time.Time, work Work) {
	sample, ok := p.samples[work.SampleID]
	if !ok || sample.done {
		return
	}
	sample.running++
	sample.started = now
	sample.moved = now
	sample.startedTokens = sample.tokens
	if work.Copy || !sample.take() {
		return
	}
	job := sample.group.step.job
	p.clock = max(p.clock, job.tag)
	job.tag += sample.rest() / job.weight
	job.work += sample.rest()
}

// take removes the sample from those that wait in its group.
func (s *sampleState) take() bool {
	at := slices.Index(s.group.waiting, s)
	if at < 0 {
		return false
	}
	s.group.waiting = slices.Delete(s.group.waiting, at, at+1)
	s.group.step.waiting--
	return true
}

// Progress takes in how many tokens of a running sample exist.
func (p *Planner) Progress(now time.Time, sampleID string, tokens int) {
	sample, ok := p.samples[sampleID]
	if !ok || tokens <= sample.tokens {
		return
	}
	sample.tokens = tokens
	sample.moved = now
}

// Finished says that a sample is whole, with its length in tokens, 0 if it is given up. It returns how many copies
// still run, which the caller cancels; -1 if the sample was whole before.
func (p *Planner) Finished(now time.Time, sampleID string, tokens int) int {
	sample, ok := p.samples[sampleID]
	if !ok || sample.done {
		return -1
	}
	sample.done = true
	job := sample.group.step.job
	job.learnLength(float64(tokens) / sample.cost)
	if sample.copies == 0 {
		sample.tokens = max(sample.tokens, tokens)
		job.learn(sample.speed(now))
	}
	sample.take()
	sample.group.left--
	sample.group.step.left--
	p.forget(sample.group.step)
	return max(0, sample.running-1)
}

// forget drops a step that is whole, so that memory follows what is unfinished.
func (p *Planner) forget(step *stepState) {
	if step.left > 0 {
		return
	}
	job := step.job
	job.steps = slices.DeleteFunc(job.steps, func(s *stepState) bool { return s == step })
	maps.DeleteFunc(p.samples, func(_ string, s *sampleState) bool { return s.group.step == step })
}

// Lost says that a generation ended without a whole sample, with the length of the prefix that is
// known. The sample waits again, to be resumed from there, unless a copy still runs.
func (p *Planner) Lost(_ time.Time, sampleID string, tokensSoFar int) {
	sample, ok := p.samples[sampleID]
	if !ok || sample.done {
		return
	}
	sample.tokens = max(sample.tokens, tokensSoFar)
	sample.running = max(0, sample.running-1)
	if sample.running == 0 && !slices.Contains(sample.group.waiting, sample) {
		sample.wait()
	}
}

// Drop forgets a job's unfinished steps up to a number, as when they are too stale; it returns the
// samples that are running.
func (p *Planner) Drop(job string, number int) []string {
	state, ok := p.jobs[job]
	if !ok {
		return nil
	}
	var running []string
	for id, sample := range p.samples {
		step := sample.group.step
		if step.job != state || step.number > number {
			continue
		}
		if sample.running > 0 && !sample.done {
			running = append(running, id)
		}
		delete(p.samples, id)
	}
	state.steps = slices.DeleteFunc(state.steps, func(s *stepState) bool { return s.number <= number })
	slices.Sort(running)
	return running
}

package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the policy. The package comment gives the reasons.
const (
	defaultCopyShare = 0.05
	stragglerFactor  = 2
	// nearlyDoneDivisor means that a group is nearly done when at most a quarter of its samples is unfinished.
	nearlyDoneDivisor = 4
	// maxCopies is the maximum number of copies of a sample. It is above 1 since the first copy may be slow too.
	maxCopies = 2
	// minFinishedSamples is the number of finished samples that a typical speed and length require.
	minFinishedSamples = 4
	// minSpeedRatio is the minimum speed assumed for a sample, as a share of the typical speed. It keeps the time
	// that a copy of a stalled sample saves finite.
	minSpeedRatio = 0.01
	// minRemainingShare is the minimum of the remaining tokens, as a share of the expected ones. It applies to
	// samples that are longer than expected.
	minRemainingShare = 0.1
)

// Option configures a Planner.
type Option func(*Planner)

// WithCopyShare sets the maximum work of copies as a share of a job's work. No copies are started at 0.
func WithCopyShare(share float64) Option {
	return func(p *Planner) { p.copyShare = share }
}

// WithCopiesFromScratch charges each copy for the complete sample, for callers whose copies start from scratch
// instead of resuming from the known tokens.
func WithCopiesFromScratch() Option {
	return func(p *Planner) { p.copiesFromScratch = true }
}

// Planner orders the samples of all jobs that share the engines of a model. It isn't safe for concurrent use.
type Planner struct {
	copyShare float64
	// copiesFromScratch charges each copy for the complete sample.
	copiesFromScratch bool
	slots             int
	jobs              map[string]*jobState
	samples           map[string]*sampleState
	// virtualTime is the virtual time at which the last sample was started, as in start-time fair queueing.
	virtualTime float64
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

// SetSlots sets the maximum number of generations that run at a time; 0 leaves the limit to the caller.
func (p *Planner) SetSlots(slots int) { p.slots = slots }

// AddStep adds a step. Samples that the planner already knows are left unchanged.
func (p *Planner) AddStep(step Step) {
	job := p.job(step)
	state := &stepState{number: step.Number, job: job}
	for index, group := range step.Groups {
		state.groups = append(state.groups, p.addGroup(state, index, group))
	}
	if state.unfinished > 0 {
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
	if job.nextStep() == nil {
		job.startTag = max(job.startTag, p.virtualTime)
	}
	return job
}

func (p *Planner) addGroup(step *stepState, index int, group Group) *groupState {
	state := &groupState{index: index, step: step}
	for _, sample := range group.Samples {
		if _, known := p.samples[sample.ID]; known {
			continue
		}
		created := &sampleState{id: sample.ID, cost: cmp.Or(sample.Cost, 1), tokens: sample.Tokens, group: state}
		p.samples[sample.ID] = created
		state.waiting = append(state.waiting, created)
	}
	slices.SortFunc(state.waiting, compareStartOrder)
	state.size = len(state.waiting)
	state.unfinished = state.size
	step.waiting += state.size
	step.unfinished += state.size
	step.size += state.size
	return state
}

// Next returns the next generation to start; false if no sample is waiting or all slots are taken. The parameter
// running is the number of running generations. The sample counts as waiting until RecordStart is
// called.
func (p *Planner) Next(_ time.Time, running int) (Generation, bool) {
	if p.slots > 0 && running >= p.slots {
		return Generation{}, false
	}
	job := p.nextJob()
	if job == nil {
		return Generation{}, false
	}
	group := job.nextStep().nextGroup()
	if group == nil {
		return Generation{}, false
	}
	return group.waiting[0].generation(false), true
}

// nextJob returns the job with the earliest start tag that has samples to start, or nil.
func (p *Planner) nextJob() *jobState {
	var best *jobState
	for _, name := range slices.Sorted(maps.Keys(p.jobs)) {
		job := p.jobs[name]
		if job.nextStep() == nil {
			continue
		}
		if best == nil || job.startTag < best.startTag {
			best = job
		}
	}
	return best
}

// RecordStart records that a generation returned by Next or Hedge is running. It ignores samples that are
// unknown or finished.
func (p *Planner) RecordStart(now time.Time, generation Generation) {
	sample, ok := p.samples[generation.SampleID]
	if !ok || sample.done {
		return
	}
	sample.running++
	sample.started = now
	sample.lastProgress = now
	sample.startedTokens = sample.tokens
	if generation.Copy || !sample.removeFromWaiting() {
		return
	}
	job := sample.group.step.job
	p.virtualTime = max(p.virtualTime, job.startTag)
	job.startTag += sample.remainingTokens() / job.weight
	job.primaryTokens += sample.remainingTokens()
}

// removeFromWaiting removes the sample from those of its group that wait to be started. It returns false if the
// sample isn't one of them.
func (s *sampleState) removeFromWaiting() bool {
	index := slices.Index(s.group.waiting, s)
	if index < 0 {
		return false
	}
	s.group.waiting = slices.Delete(s.group.waiting, index, index+1)
	s.group.step.waiting--
	return true
}

// RecordProgress records the number of known tokens of a running sample.
func (p *Planner) RecordProgress(now time.Time, sampleID string, tokens int) {
	sample, ok := p.samples[sampleID]
	if !ok || tokens <= sample.tokens {
		return
	}
	sample.tokens = tokens
	sample.lastProgress = now
}

// RecordCompletion records that a sample is complete, with its length in tokens, or that it was abandoned, with 0
// tokens. It returns how many other generations of the sample are running, for the caller to cancel; -1 if the
// sample is unknown or already finished.
func (p *Planner) RecordCompletion(now time.Time, sampleID string, tokens int) int {
	sample, ok := p.samples[sampleID]
	if !ok || sample.done {
		return -1
	}
	sample.done = true
	job := sample.group.step.job
	job.recordLength(float64(tokens) / sample.cost)
	if sample.copies == 0 {
		sample.tokens = max(sample.tokens, tokens)
		job.recordSpeed(sample.speed(now))
	}
	sample.removeFromWaiting()
	sample.group.unfinished--
	sample.group.step.unfinished--
	p.dropIfFinished(sample.group.step)
	return max(0, sample.running-1)
}

// dropIfFinished removes the step if it is finished, so that memory use depends only on unfinished steps.
func (p *Planner) dropIfFinished(step *stepState) {
	if step.unfinished > 0 {
		return
	}
	job := step.job
	job.steps = slices.DeleteFunc(job.steps, func(s *stepState) bool { return s == step })
	maps.DeleteFunc(p.samples, func(_ string, s *sampleState) bool { return s.group.step == step })
}

// RecordFailure records that a generation ended before its sample was complete, with the length of the known
// prefix. The sample waits again, to be resumed from there, unless another generation of it is running.
func (p *Planner) RecordFailure(_ time.Time, sampleID string, tokensSoFar int) {
	sample, ok := p.samples[sampleID]
	if !ok || sample.done {
		return
	}
	sample.tokens = max(sample.tokens, tokensSoFar)
	sample.running = max(0, sample.running-1)
	if sample.running == 0 && !slices.Contains(sample.group.waiting, sample) {
		sample.requeue()
	}
}

// DropSteps removes a job's steps up to and including a number, for example because they are too stale. It returns
// the ids of their running samples, sorted.
func (p *Planner) DropSteps(job string, number int) []string {
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

package trainer

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/rollout"
)

// retryDelay is how long a sample rests after a failed call: an engine or scorer that refuses at
// once would else be asked by every worker without a break.
const retryDelay = 250 * time.Millisecond

// copyPatience is how often copying a sample is tried before it goes on with one copy. A host that
// has no other to copy to would else hold up the trainer for as long as that lasts. What is lost
// with a single copy is only time: a batch whose content is gone is made anew before the trainer
// has it, see delivery.ContentLost.
const copyPatience = 4

// task is one piece of work for a worker.
type task struct {
	schedule   *schedule
	activation int
	work       delivery.SampleAttempt
	// name is the sample's name with its attempt.
	name string
	// stage is the state from which the sample goes on.
	stage   delivery.SampleState
	request GenerateRequest
	pool    string
	group   int
	index   int
	content delivery.Content
	copied  CopiedSample
	// alone says that the sample goes on without a second copy.
	alone  bool
	ctx    context.Context
	cancel context.CancelFunc
	tokens *atomic.Int64
	// began is the weight version of the first token of this call, 0 while there is none.
	began *atomic.Int64
}

// rest is a sample that waits after a failure.
type rest struct {
	position int
	name     string
	tokens   int
	until    time.Time
	// lost says that a generation failed, which the planner has to learn.
	lost bool
}

// schedule decides what the workers of one job do next. It is owned by the control goroutine;
// which sample goes first and which is hedged is decided by core/rollout.
type schedule struct {
	planner *rollout.Planner
	slots   int
	running int
	// positions are the samples that the planner knows, by name; attempts says how many attempts
	// at each it was told of, so that a look at all samples makes no names.
	positions map[string]int
	attempts  []int
	// calls are the tasks under way, by name of the sample.
	calls map[string][]task
	rests []rest
	// copyFailures counts the failed tries of samples not copied yet, by name.
	copyFailures map[string]int
	hedge        time.Time
	// newest is the newest weight version that a generation is known to have begun with.
	newest int
}

func newSchedule(slots int) *schedule {
	return &schedule{
		planner:   rollout.NewPlanner(),
		slots:     slots,
		positions: map[string]int{},
		calls:     map[string][]task{},

		copyFailures: map[string]int{},
	}
}

// fill starts what can be started.
func (s *schedule) fill(now time.Time, r *runner) {
	s.wake(now)
	s.learn(r)
	s.resume(r)
	for s.running < s.slots {
		next, ok := s.planner.Next(now, s.running)
		if !ok {
			break
		}
		s.planner.RecordStart(now, next)
		s.generate(now, r, next)
	}
	if now.Sub(s.hedge) >= tickInterval {
		s.hedge = now
		s.startHedges(now, r)
	}
}

// wake ends the rest of samples that failed.
func (s *schedule) wake(now time.Time) {
	s.rests = slices.DeleteFunc(s.rests, func(sample rest) bool {
		if now.Before(sample.until) {
			return false
		}
		if sample.lost {
			s.planner.RecordFailure(now, sample.name, sample.tokens)
		}
		return true
	})
}

// learn tells the planner of samples that it doesn't know: all of a new step, and later those
// that were thrown away as stale and have a new name.
func (s *schedule) learn(r *runner) {
	groups := map[int][]rollout.Sample{}
	step := r.machine.Step()
	if len(s.attempts) == 0 {
		s.attempts = make([]int, step.Samples())
	}
	for _, position := range r.machine.PositionsInState(delivery.StatePending) {
		sample, _ := r.machine.Sample(position)
		if s.attempts[position] > sample.Attempt {
			continue
		}
		s.attempts[position] = sample.Attempt + 1
		group, index := step.Locate(position)
		name := delivery.SampleID{Job: r.job, Step: step.Step, Group: group, Index: index}.AttemptName(sample.Attempt)
		s.positions[name] = position
		groups[group] = append(groups[group], rollout.Sample{
			ID: name, Cost: float64(r.maxTokens()), Tokens: len(sample.Prefix),
		})
	}
	if len(groups) == 0 {
		return
	}
	added := rollout.Step{Job: r.job, Number: step.Step}
	for group := range step.GroupSizes {
		if samples, ok := groups[group]; ok {
			added.Groups = append(added.Groups, rollout.Group{Samples: samples})
		}
	}
	s.planner.AddStep(added)
}

// generate starts the generation of a sample, or drops it if it isn't wanted any more.
func (s *schedule) generate(now time.Time, r *runner, next rollout.Generation) {
	position := s.positions[next.SampleID]
	sample, work := r.machine.Sample(position)
	t := s.newTask(r, work)
	wanted := sample.State == delivery.StatePending || (next.Copy && sample.State == delivery.StateGenerating)
	if !wanted || t.name != next.SampleID {
		t.cancel()
		s.planner.RecordCompletion(now, next.SampleID, 0)
		return
	}
	job, _ := r.deps.View().TrainerJob(r.job)
	t.stage = delivery.StatePending
	t.request = GenerateRequest{
		Job:          r.job,
		Organisation: job.Organisation,
		Model:        job.Model,
		SampleID:     t.name,
		Prompt:       r.plan.Prompt(t.group, t.index),
		MaxTokens:    r.maxTokens(),
		Resume:       sample.Prefix,
		Hedge:        next.Copy,
		Progress:     func(tokens int) { t.tokens.Store(int64(tokens)) },
		Began:        func(version int) { t.began.Store(int64(version)) },
	}
	r.handle(delivery.SampleStarted{Attempt: work})
	s.start(r, t)
}

func (s *schedule) newTask(r *runner, work delivery.SampleAttempt) task {
	job, _ := r.deps.View().TrainerJob(r.job)
	group, index := r.machine.Step().Locate(work.Position)
	t := task{
		schedule:   s,
		activation: r.activation,
		work:       work,
		pool:       job.ScoringPool,
		group:      group,
		index:      index,
		tokens:     &atomic.Int64{},
	}
	t.request.Organisation = job.Organisation
	t.began = &atomic.Int64{}
	t.name = delivery.SampleID{Job: r.job, Step: work.Step, Group: group, Index: index}.AttemptName(work.Number)
	t.ctx, t.cancel = context.WithCancel(r.taskCtx)
	return t
}

// start never waits: the channel has room for all slots.
func (s *schedule) start(r *runner, t task) {
	s.running++
	s.calls[t.name] = append(s.calls[t.name], t)
	r.tasks <- t
}

// resume takes up samples whose copy or score failed before.
func (s *schedule) resume(r *runner) {
	for _, stage := range []delivery.SampleState{delivery.StateCopied, delivery.StateGenerated} {
		for _, position := range r.machine.PositionsInState(stage) {
			if s.running >= s.slots {
				return
			}
			s.resumeOne(r, position, stage)
		}
	}
}

func (s *schedule) resumeOne(r *runner, position int, stage delivery.SampleState) {
	if slices.ContainsFunc(s.rests, func(sample rest) bool { return sample.position == position }) {
		return
	}
	sample, work := r.machine.Sample(position)
	t := s.newTask(r, work)
	held, ok := r.shelf.get(r.job, sample.Digest)
	if len(s.calls[t.name]) > 0 || !ok || json.Unmarshal(held.Raw, &t.content) != nil {
		t.cancel()
		return
	}
	t.stage = stage
	t.copied = held
	t.alone = s.copyFailures[t.name] >= copyPatience
	s.start(r, t)
}

func (s *schedule) startHedges(now time.Time, r *runner) {
	oldestAllowed := r.machine.Status().ModelVersion - r.bound()
	for name, calls := range s.calls {
		for _, t := range calls {
			s.planner.RecordProgress(now, name, int(t.tokens.Load()))
			s.newest = max(s.newest, int(t.began.Load()))
			s.cancelUnwanted(r, t, oldestAllowed)
		}
	}
	if s.running >= s.slots {
		return
	}
	for _, work := range s.planner.Hedge(now) {
		if s.running >= s.slots {
			return
		}
		s.planner.RecordStart(now, work)
		s.generate(now, r, work)
	}
}

// cancelUnwanted ends the work on a sample that was thrown away or delivered by another coordinator, and
// a generation that a new version has made void: run to its end, it would keep an engine's slot for a sample
// that is thrown away then, while the sample that replaces it has not begun. That is done once some generation has
// begun with weights that are allowed: before the engines switch, the next one would be void as well.
func (s *schedule) cancelUnwanted(r *runner, t task, oldestAllowed int) {
	sample, work := r.machine.Sample(t.work.Position)
	if work != t.work || sample.State >= delivery.StateBatched || s.void(t, oldestAllowed) {
		t.cancel()
	}
}

// void says that the generation began with weights older than the bound allows. Versions only rise while
// it runs, so its first token is its oldest.
func (s *schedule) void(t task, oldestAllowed int) bool {
	began := int(t.began.Load())
	return began > 0 && began < oldestAllowed && s.newest >= oldestAllowed
}

// finished ends the other calls for a sample that is whole.
func (s *schedule) finished(now time.Time, t task, tokens int) {
	s.planner.RecordCompletion(now, t.name, tokens)
	for _, other := range s.calls[t.name] {
		if other.tokens != t.tokens {
			other.cancel()
		}
	}
}

// ended takes a worker's slot back.
func (s *schedule) ended(now time.Time, m endedMessage) {
	m.task.cancel()
	s.newest = max(s.newest, int(m.task.began.Load()))
	s.running--
	calls := s.calls[m.task.name]
	for i, call := range calls {
		if call.tokens == m.task.tokens {
			calls = append(calls[:i:i], calls[i+1:]...)
			break
		}
	}
	s.calls[m.task.name] = calls
	if len(calls) == 0 {
		delete(s.calls, m.task.name)
	}
	if m.failed && m.task.stage == delivery.StateGenerated {
		s.copyFailures[m.task.name]++
	}
	if m.failed {
		s.rests = append(s.rests, rest{
			position: m.task.work.Position,
			name:     m.task.name,
			tokens:   m.tokens,
			until:    now.Add(retryDelay),
			lost:     m.task.stage == delivery.StatePending,
		})
	}
}

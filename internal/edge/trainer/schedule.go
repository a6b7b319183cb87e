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

// retryDelay is how long a sample waits after a failed call. Without it, all workers would send requests without a pause
// to an engine or scorer that refuses immediately.
const retryDelay = 250 * time.Millisecond

// maxCopyFailures is how many tries to copy a sample may fail before the sample continues without a copy. Otherwise the
// trainer would have to wait for as long as there is no other host to copy to. Losing the only copy costs time but no
// samples: a batch whose content is lost is generated again before the trainer receives it, see delivery.ContentLost.
const maxCopyFailures = 4

// task is the processing of one sample by a worker.
type task struct {
	schedule   *schedule
	activation int
	attempt    delivery.SampleAttempt
	// name is the attempt's name, which contains the sample's ID and the attempt's number.
	name string
	// stage is the state from which processing of the sample continues.
	stage   delivery.SampleState
	request GenerateRequest
	pool    string
	group   int
	index   int
	content delivery.Content
	encoded EncodedSample
	// withoutCopy allows the sample to continue if it can't be copied to a second host.
	withoutCopy bool
	ctx         context.Context
	cancel      context.CancelFunc
	tokens      *atomic.Int64
	// firstVersion is the weight version of the first token of this generation, or 0 before that token.
	firstVersion *atomic.Int64
}

// delayedSample is a sample that waits after a failure.
type delayedSample struct {
	position int
	name     string
	tokens   int
	until    time.Time
	// generationFailed is true if the generation failed; the failure is reported to the planner when the delay ends.
	generationFailed bool
}

// schedule assigns tasks to the workers of one job. The control goroutine owns it. The order of the samples and which of
// them are hedged are decided by core/rollout.
type schedule struct {
	planner *rollout.Planner
	slots   int
	running int
	// positions maps the names that the planner knows to positions of samples. attempts holds, by position, how many
	// attempts at the sample were added to the planner, so that a pass over all samples builds names only for new ones.
	positions map[string]int
	attempts  []int
	// runningTasks holds the running tasks by name. A hedged sample has several tasks with the same name.
	runningTasks map[string][]task
	delayed      []delayedSample
	// copyFailures counts the failed tries to copy a sample, by name.
	copyFailures map[string]int
	lastHedge    time.Time
	// newestVersion is the newest weight version with which a generation is known to have started.
	newestVersion int
}

func newSchedule(slots int) *schedule {
	return &schedule{
		planner:      rollout.NewPlanner(),
		slots:        slots,
		positions:    map[string]int{},
		runningTasks: map[string][]task{},

		copyFailures: map[string]int{},
	}
}

// startSamples starts as many tasks as there are free slots.
func (s *schedule) startSamples(now time.Time, r *runner) {
	s.releaseDelayed(now)
	s.addToPlanner(r)
	s.resume(r)
	for s.running < s.slots {
		next, ok := s.planner.Next(now, s.running)
		if !ok {
			break
		}
		s.planner.RecordStart(now, next)
		s.generate(now, r, next)
	}
	if now.Sub(s.lastHedge) >= tickInterval {
		s.lastHedge = now
		s.startHedges(now, r)
	}
}

// releaseDelayed ends the wait of samples whose delay is over.
func (s *schedule) releaseDelayed(now time.Time) {
	s.delayed = slices.DeleteFunc(s.delayed, func(sample delayedSample) bool {
		if now.Before(sample.until) {
			return false
		}
		if sample.generationFailed {
			s.planner.RecordFailure(now, sample.name, sample.tokens)
		}
		return true
	})
}

// addToPlanner adds samples that the planner doesn't know: all samples of a new step, and later those that were discarded
// as stale and have a new name.
func (s *schedule) addToPlanner(r *runner) {
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

// generate starts the generation of a sample, or completes it in the planner if it is no longer needed.
func (s *schedule) generate(now time.Time, r *runner, next rollout.Generation) {
	position := s.positions[next.SampleID]
	sample, attempt := r.machine.Sample(position)
	t := s.newTask(r, attempt)
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
		OnProgress:   func(tokens int) { t.tokens.Store(int64(tokens)) },
		OnFirstToken: func(version int) { t.firstVersion.Store(int64(version)) },
	}
	r.handle(delivery.SampleStarted{Attempt: attempt})
	s.start(r, t)
}

func (s *schedule) newTask(r *runner, attempt delivery.SampleAttempt) task {
	job, _ := r.deps.View().TrainerJob(r.job)
	group, index := r.machine.Step().Locate(attempt.Position)
	t := task{
		schedule:   s,
		activation: r.activation,
		attempt:    attempt,
		pool:       job.ScoringPool,
		group:      group,
		index:      index,
		tokens:     &atomic.Int64{},
	}
	t.request.Organisation = job.Organisation
	t.firstVersion = &atomic.Int64{}
	t.name = delivery.SampleID{Job: r.job, Step: attempt.Step, Group: group, Index: index}.AttemptName(attempt.Number)
	t.ctx, t.cancel = context.WithCancel(r.taskCtx)
	return t
}

// start passes a task to the workers. It never blocks, because the channel has room for all slots.
func (s *schedule) start(r *runner, t task) {
	s.running++
	s.runningTasks[t.name] = append(s.runningTasks[t.name], t)
	r.tasks <- t
}

// resume starts tasks for samples whose copy or score failed before.
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
	if slices.ContainsFunc(s.delayed, func(sample delayedSample) bool { return sample.position == position }) {
		return
	}
	sample, attempt := r.machine.Sample(position)
	t := s.newTask(r, attempt)
	stored, ok := r.contentStore.get(r.job, sample.Digest)
	if len(s.runningTasks[t.name]) > 0 || !ok || json.Unmarshal(stored.Raw, &t.content) != nil {
		t.cancel()
		return
	}
	t.stage = stage
	t.encoded = stored
	t.withoutCopy = s.copyFailures[t.name] >= maxCopyFailures
	s.start(r, t)
}

// startHedges updates the progress of the running tasks, cancels unwanted ones, and starts second generations for slow
// samples.
func (s *schedule) startHedges(now time.Time, r *runner) {
	oldestAllowed := r.machine.Status().ModelVersion - r.stalenessBound()
	for name, tasks := range s.runningTasks {
		for _, t := range tasks {
			s.planner.RecordProgress(now, name, int(t.tokens.Load()))
			s.newestVersion = max(s.newestVersion, int(t.firstVersion.Load()))
			s.cancelUnwanted(r, t, oldestAllowed)
		}
	}
	if s.running >= s.slots {
		return
	}
	for _, generation := range s.planner.Hedge(now) {
		if s.running >= s.slots {
			return
		}
		s.planner.RecordStart(now, generation)
		s.generate(now, r, generation)
	}
}

// cancelUnwanted cancels a task whose sample was discarded or delivered by another coordinator, and a generation that a
// new version made stale. Otherwise a stale generation would occupy an engine's slot until its end, only for the sample to
// be discarded, while the sample that replaces it could not start. Stale generations are cancelled only once some
// generation has started with allowed weights, because before the engines switch the replacement would be stale too.
func (s *schedule) cancelUnwanted(r *runner, t task, oldestAllowed int) {
	sample, attempt := r.machine.Sample(t.attempt.Position)
	if attempt != t.attempt || sample.State >= delivery.StateBatched || s.isStale(t, oldestAllowed) {
		t.cancel()
	}
}

// isStale reports whether the generation started with weights older than the staleness bound allows, while another one is
// known to have started with allowed weights. Versions only increase during a generation, so its first token is its oldest.
func (s *schedule) isStale(t task, oldestAllowed int) bool {
	version := int(t.firstVersion.Load())
	return version > 0 && version < oldestAllowed && s.newestVersion >= oldestAllowed
}

// recordGenerated records a completely generated sample and cancels the other tasks for it.
func (s *schedule) recordGenerated(now time.Time, t task, tokens int) {
	s.planner.RecordCompletion(now, t.name, tokens)
	for _, other := range s.runningTasks[t.name] {
		if other.tokens != t.tokens {
			other.cancel()
		}
	}
}

// releaseSlot frees the slot of a finished task and delays the sample if the task failed.
func (s *schedule) releaseSlot(now time.Time, m taskDoneMessage) {
	m.task.cancel()
	s.newestVersion = max(s.newestVersion, int(m.task.firstVersion.Load()))
	s.running--
	tasks := s.runningTasks[m.task.name]
	for i, t := range tasks {
		if t.tokens == m.task.tokens {
			tasks = append(tasks[:i:i], tasks[i+1:]...)
			break
		}
	}
	s.runningTasks[m.task.name] = tasks
	if len(tasks) == 0 {
		delete(s.runningTasks, m.task.name)
	}
	if m.failed && m.task.stage == delivery.StateGenerated {
		s.copyFailures[m.task.name]++
	}
	if m.failed {
		s.delayed = append(s.delayed, delayedSample{
			position:         m.task.attempt.Position,
			name:             m.task.name,
			tokens:           m.tokens,
			until:            now.Add(retryDelay),
			generationFailed: m.task.stage == delivery.StatePending,
		})
	}
}

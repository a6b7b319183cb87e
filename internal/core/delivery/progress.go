package delivery

import (
	"cmp"
	"slices"
)

// current returns the newest model version that may be in force. While the object's state is
// unknown that includes a version whose write was sent and not answered.
func (j *Job) current() int {
	if j.loaded {
		return j.record.ModelVersion
	}
	return max(j.record.ModelVersion, j.floor)
}

// sync brings the samples in line with the record after a move.
func (j *Job) sync() {
	step := j.record.Step
	if step == nil {
		j.samples = nil
		return
	}
	if j.samplesStep != step.key() {
		j.samplesStep = step.key()
		j.samples = make([]Sample, step.Samples())
	}
	for position := range j.samples {
		j.samples[position].align(step.Delivered.Has(position))
	}
	if step.Manifest == nil {
		return
	}
	for _, ref := range step.Manifest.Refs {
		j.samples[step.Position(ref.Group, ref.Index)].State = StateBatched
	}
}

// align sets the state after a move; a sample that the trainer turned out not to have goes back
// to where it can be delivered from.
func (s *Sample) align(delivered bool) {
	switch {
	case delivered:
		s.State = StateDelivered
	case s.State < StateBatched:
	case s.scored:
		s.State = StateScored
	default:
		s.reset()
	}
}

func (s *Sample) reset() {
	*s = Sample{Attempt: s.Attempt + 1}
}

// stale says that some token was produced by weights older than the bound allows.
func (s *Sample) stale(oldestAllowed int) bool {
	if s.State >= StateBatched {
		return false
	}
	hasTokens := len(s.Prefix) > 0 || s.State >= StateGenerated
	return hasTokens && s.Oldest < oldestAllowed
}

// discardStale throws away samples beyond the staleness bound, to be generated again.
func (j *Job) discardStale() {
	oldestAllowed := j.record.ModelVersion - j.bound
	for i := range j.samples {
		if j.samples[i].stale(oldestAllowed) {
			j.samples[i].reset()
			j.discarded++
		}
	}
}

// sample returns the sample of an attempt that is still wanted and in the state from.
func (j *Job) sample(work Work, from SampleState) (*Sample, bool) {
	if work.Step != j.samplesStep.step || work.Position < 0 || work.Position >= len(j.samples) {
		return nil, false
	}
	sample := &j.samples[work.Position]
	return sample, sample.Attempt == work.Attempt && sample.State == from
}

func (j *Job) handleSample(event Event) {
	switch e := event.(type) {
	case SampleStarted:
		if sample, ok := j.sample(e.Work, StatePending); ok {
			sample.State = StateGenerating
		}
	case SampleFailed:
		j.failSample(e)
	case SampleGenerated:
		j.finishSample(e)
	case SampleCopied:
		if sample, ok := j.sample(e.Work, StateGenerated); ok {
			sample.State = StateCopied
			sample.Copy = e.Host
		}
	case SampleScored:
		if sample, ok := j.sample(e.Work, StateCopied); ok {
			sample.State = StateScored
			sample.Score = e.Score
			sample.scored = true
		}
	}
}

func (j *Job) failSample(e SampleFailed) {
	sample, ok := j.sample(e.Work, StateGenerating)
	if !ok {
		return
	}
	sample.State = StatePending
	// A hedge that failed early must not shorten the prefix that another call got.
	if len(e.Tokens) > len(sample.Prefix) {
		sample.Prefix = e.Tokens
		sample.Oldest, _ = Oldest(e.Tokens)
	}
}

func (j *Job) finishSample(e SampleGenerated) {
	sample, ok := j.sample(e.Work, StateGenerating)
	if !ok {
		// The sample's other call failed, and this one, a hedge, went on.
		sample, ok = j.sample(e.Work, StatePending)
	}
	if !ok {
		return
	}
	oldest, known := Oldest(e.Tokens)
	if !known {
		// No token was produced by old weights; an empty sample is never stale.
		oldest = j.current()
	}
	sample.State = StateGenerated
	sample.Prefix = nil
	sample.Oldest = oldest
	sample.Digest = e.Digest
}

// nextManifest builds the manifest of the next batch, or returns nil while samples are missing.
// The samples with the oldest weights go first, since they would be the next to become stale.
func (j *Job) nextManifest() *Manifest {
	step := j.record.Step
	need := min(step.BatchSize, step.Samples()-step.Delivered.Count())
	positions := slices.DeleteFunc(j.Positions(StateScored), func(position int) bool {
		return j.samples[position].stale(j.current() - j.bound)
	})
	if need <= 0 || len(positions) < need {
		return nil
	}
	slices.SortStableFunc(positions, func(a, b int) int {
		return cmp.Compare(j.samples[a].Oldest, j.samples[b].Oldest)
	})
	positions = positions[:need]
	slices.Sort(positions)
	manifest := &Manifest{
		Batch:        step.Batch + 1,
		ModelVersion: j.record.ModelVersion,
		Last:         step.Batch+1 == step.Batches(),
		Holder:       j.self,
	}
	for _, position := range positions {
		manifest.Refs = append(manifest.Refs, j.ref(position))
	}
	return manifest
}

func (j *Job) ref(position int) Ref {
	sample := &j.samples[position]
	group, index := j.record.Step.Locate(position)
	return Ref{
		Group:  group,
		Index:  index,
		Digest: sample.Digest,
		Score:  sample.Score,
		Oldest: sample.Oldest,
		Copy:   sample.Copy,
	}
}

// Positions returns the samples of the current step in a state, in order.
func (j *Job) Positions(state SampleState) []int {
	var positions []int
	for position := range j.samples {
		if j.samples[position].State == state {
			positions = append(positions, position)
		}
	}
	return positions
}

// Sample returns a sample of the current step and the name of its present attempt.
func (j *Job) Sample(position int) (Sample, Work) {
	sample := j.samples[position]
	return sample, Work{Step: j.samplesStep.step, Position: position, Attempt: sample.Attempt}
}

// Step returns the current step, which the caller does not change; nil before the first.
func (j *Job) Step() *StepRecord {
	return j.record.Step
}

// Status is a snapshot for dumps and metrics.
type Status struct {
	Job          string         `json:"job"`
	ModelVersion int            `json:"modelVersion"`
	Step         int            `json:"step"`
	Batch        int            `json:"batch"`
	Batches      int            `json:"batches"`
	Samples      map[string]int `json:"samples"`
	// Discarded counts the samples thrown away as stale.
	Discarded  int    `json:"discarded"`
	Waiting    int    `json:"waiting"`
	Fencing    uint64 `json:"fencing"`
	Held       bool   `json:"held"`
	Loaded     bool   `json:"loaded"`
	Unwritten  bool   `json:"unwritten"`
	Down       bool   `json:"platformDown"`
	Superseded bool   `json:"superseded"`
}

// Status returns a snapshot that shares nothing with the job.
func (j *Job) Status() Status {
	status := Status{
		Job:          j.name,
		ModelVersion: j.record.ModelVersion,
		Samples:      map[string]int{},
		Discarded:    j.discarded,
		Waiting:      len(j.asks),
		Fencing:      j.fence(),
		Held:         j.held,
		Loaded:       j.loaded,
		Unwritten:    j.unwritten,
		Down:         j.down,
		Superseded:   j.superseded,
	}
	var counts [StateDelivered + 1]int
	for i := range j.samples {
		counts[j.samples[i].State]++
	}
	for state, count := range counts {
		if count > 0 {
			status.Samples[SampleState(state).String()] = count
		}
	}
	if step := j.record.Step; step != nil {
		status.Step = step.Step
		status.Batch = step.Batch
		status.Batches = step.Batches()
	}
	return status
}

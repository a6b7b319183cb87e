package delivery

import (
	"cmp"
	"slices"
)

// newestPossibleVersion returns the newest model version that may be in force. While the stored object is not
// confirmed that includes a version whose write is uncertain.
func (j *Job) newestPossibleVersion() int {
	if j.confirmed {
		return j.record.ModelVersion
	}
	return max(j.record.ModelVersion, j.uncertainVersion)
}

// syncSamples updates the samples to the record after a transition.
func (j *Job) syncSamples() {
	step := j.record.Step
	if step == nil {
		j.samples = nil
		return
	}
	if j.samplesKey != step.key() {
		j.samplesKey = step.key()
		j.samples = make([]Sample, step.Samples())
	}
	for position := range j.samples {
		j.samples[position].align(step.Delivered.Has(position))
	}
	if step.Manifest == nil {
		return
	}
	for _, ref := range step.Manifest.SampleRefs {
		j.samples[step.Position(ref.Group, ref.Index)].State = StateBatched
	}
}

// align updates the state of a sample after a transition. A sample that was batched or delivered before and no
// longer is returns to StateScored if it has a score here; else it is generated again.
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

// reset discards the sample's content, to be generated again by a new attempt.
func (s *Sample) reset() {
	*s = Sample{Attempt: s.Attempt + 1}
}

// stale reports whether some token was produced by weights older than oldestAllowed. A sample that is in a
// batch is never stale.
func (s *Sample) stale(oldestAllowed int) bool {
	if s.State >= StateBatched {
		return false
	}
	hasTokens := len(s.Prefix) > 0 || s.State >= StateGenerated
	return hasTokens && s.OldestVersion < oldestAllowed
}

// discardStale discards samples that exceed the staleness bound; they are generated again.
func (j *Job) discardStale() {
	oldestAllowed := j.record.ModelVersion - j.stalenessBound
	for i := range j.samples {
		if j.samples[i].stale(oldestAllowed) {
			j.samples[i].reset()
			j.discarded++
		}
	}
}

// findSample returns the sample of an attempt; ok is false if the attempt was abandoned or the sample is not
// in the expected state.
func (j *Job) findSample(attempt SampleAttempt, from SampleState) (*Sample, bool) {
	if attempt.Step != j.samplesKey.step || attempt.Position < 0 || attempt.Position >= len(j.samples) {
		return nil, false
	}
	sample := &j.samples[attempt.Position]
	return sample, sample.Attempt == attempt.Number && sample.State == from
}

func (j *Job) handleSample(event Event) {
	switch e := event.(type) {
	case SampleStarted:
		if sample, ok := j.findSample(e.Attempt, StatePending); ok {
			sample.State = StateGenerating
		}
	case SampleFailed:
		j.failSample(e)
	case SampleGenerated:
		j.finishSample(e)
	case SampleCopied:
		if sample, ok := j.findSample(e.Attempt, StateGenerated); ok {
			sample.State = StateCopied
			sample.CopyHost = e.Host
		}
	case SampleScored:
		if sample, ok := j.findSample(e.Attempt, StateCopied); ok {
			sample.State = StateScored
			sample.Score = e.Score
			sample.scored = true
		}
	}
}

func (j *Job) failSample(e SampleFailed) {
	sample, ok := j.findSample(e.Attempt, StateGenerating)
	if !ok {
		return
	}
	sample.State = StatePending
	// A hedged call that failed early must not shorten the prefix from the other call.
	if len(e.Tokens) > len(sample.Prefix) {
		sample.Prefix = e.Tokens
		sample.OldestVersion, _ = OldestVersion(e.Tokens)
	}
}

func (j *Job) finishSample(e SampleGenerated) {
	sample, ok := j.findSample(e.Attempt, StateGenerating)
	if !ok {
		// The other call for the sample failed, and this one, a hedge, continued.
		sample, ok = j.findSample(e.Attempt, StatePending)
	}
	if !ok {
		return
	}
	oldest, known := OldestVersion(e.Tokens)
	if !known {
		// An empty sample has no token from old weights, so it is never stale.
		oldest = j.newestPossibleVersion()
	}
	sample.State = StateGenerated
	sample.Prefix = nil
	sample.OldestVersion = oldest
	sample.Digest = e.Digest
}

// nextManifest builds the manifest of the next batch, or returns nil while too few samples are ready. Samples
// with the oldest weights go first, since they would be the next to become stale.
func (j *Job) nextManifest() *Manifest {
	step := j.record.Step
	need := min(step.BatchSize, step.Samples()-step.Delivered.Count())
	positions := slices.DeleteFunc(j.PositionsInState(StateScored), func(position int) bool {
		return j.samples[position].stale(j.newestPossibleVersion() - j.stalenessBound)
	})
	if need <= 0 || len(positions) < need {
		return nil
	}
	slices.SortStableFunc(positions, func(a, b int) int {
		return cmp.Compare(j.samples[a].OldestVersion, j.samples[b].OldestVersion)
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
		manifest.SampleRefs = append(manifest.SampleRefs, j.sampleRef(position))
	}
	return manifest
}

func (j *Job) sampleRef(position int) SampleRef {
	sample := &j.samples[position]
	group, index := j.record.Step.Locate(position)
	return SampleRef{
		Group:         group,
		Index:         index,
		Digest:        sample.Digest,
		Score:         sample.Score,
		OldestVersion: sample.OldestVersion,
		CopyHost:      sample.CopyHost,
	}
}

// PositionsInState returns the positions of the current step's samples in the given state, in ascending order.
func (j *Job) PositionsInState(state SampleState) []int {
	var positions []int
	for position := range j.samples {
		if j.samples[position].State == state {
			positions = append(positions, position)
		}
	}
	return positions
}

// Sample returns a sample of the current step and identifies its current attempt.
func (j *Job) Sample(position int) (Sample, SampleAttempt) {
	sample := j.samples[position]
	return sample, SampleAttempt{Step: j.samplesKey.step, Position: position, Number: sample.Attempt}
}

// Step returns the current step, or nil before the first. The caller must not modify it.
func (j *Job) Step() *StepRecord {
	return j.record.Step
}

// Status is a snapshot of the job for debug output and metrics.
type Status struct {
	Job          string         `json:"job"`
	ModelVersion int            `json:"modelVersion"`
	Step         int            `json:"step"`
	Batch        int            `json:"batch"`
	Batches      int            `json:"batches"`
	Samples      map[string]int `json:"samples"`
	// Discarded is the number of samples discarded as stale.
	Discarded int `json:"discarded"`
	// Waiting is the number of pending requests.
	Waiting int    `json:"waiting"`
	Fencing uint64 `json:"fencing"`
	// Held says that this host holds the lease.
	Held bool `json:"held"`
	// Loaded says that the state of the stored object is known.
	Loaded bool `json:"loaded"`
	// Unwritten says that offline transitions are not written yet.
	Unwritten bool `json:"unwritten"`
	Down      bool `json:"platformDown"`
	// Superseded says that another host holds the lease.
	Superseded bool `json:"superseded"`
}

// Status returns a snapshot that shares no memory with the job.
func (j *Job) Status() Status {
	status := Status{
		Job:          j.name,
		ModelVersion: j.record.ModelVersion,
		Samples:      map[string]int{},
		Discarded:    j.discarded,
		Waiting:      len(j.requests),
		Fencing:      j.fencingNumber(),
		Held:         j.leaseHeld,
		Loaded:       j.confirmed,
		Unwritten:    j.unwritten,
		Down:         j.platformDown,
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

package delivery

import "github.com/oleandershelf/oleandershelf/internal/core/verdict"

// evaluateStep decides on a posted step. The same body again is the same step, another body is refused, and a
// new step acknowledges the last batch of the step before.
func (j *Job) evaluateStep(e StepRequested) outcome {
	if refusal, ok := j.mergeCursor(e.Cursor); !ok {
		return refusal
	}
	step := j.record.Step
	if step != nil && e.Step < step.Step {
		return j.evaluatePastStep(e)
	}
	if step != nil && e.Step == step.Step {
		if e.Digest != step.Digest {
			return refuse(verdict.ReasonConflict, 0, "step %d was posted with another body", e.Step)
		}
		return outcome{result: StepAccepted{Samples: step.Samples(), Batches: step.Batches(), Cursor: j.cursorForAnswer(e.Cursor)}}
	}
	resumed := e.Cursor != nil && e.Cursor.Step == e.Step
	if refusal := j.checkPredecessor(e); refusal != nil && !resumed {
		return *refusal
	}
	return j.openStep(e, resumed)
}

// checkPredecessor returns the refusal of a step whose predecessor isn't fully delivered, or nil.
//
// It guards against this failure: in an outage a coordinator delivers the rest of a step and the steps after
// it without the platform. Its successor knows only the beginning of the first of these steps and would refuse
// every later one permanently, which stalls the trainer. The trainer's cursor tells which step it has reached,
// and whether that step is complete.
func (j *Job) checkPredecessor(e StepRequested) *outcome {
	step, cursor := j.record.Step, e.Cursor
	if cursor != nil && (step == nil || cursor.Step > step.Step) {
		if cursor.Complete || cursor.Step >= e.Step {
			return nil
		}
		refusal := refuse(verdict.ReasonInProgress, 0,
			"batch %d is not the last one of step %d", cursor.Batch, cursor.Step)
		return &refusal
	}
	if step == nil || step.Complete() {
		return nil
	}
	refusal := refuse(verdict.ReasonInProgress, 0,
		"step %d has %d batches and the newest is %d", step.Step, step.Batches(), step.Batch)
	return &refusal
}

// evaluatePastStep repeats the answer to a finished step, or refuses the step if it isn't known any more.
func (j *Job) evaluatePastStep(e StepRequested) outcome {
	for _, past := range j.record.Past {
		if past.Step == e.Step && past.Digest == e.Digest {
			return outcome{result: StepAccepted{Samples: past.Samples, Batches: past.Batches, Cursor: j.cursorForAnswer(e.Cursor)}}
		}
	}
	return refuse(verdict.ReasonConflict, 0, "step %d is past", e.Step)
}

// openStep returns the transition to a new step. If the trainer's cursor is of this step, an earlier
// coordinator accepted the step without writing it, and the step resumes where the cursor says.
func (j *Job) openStep(e StepRequested, resumed bool) outcome {
	opened := &StepRecord{
		Step:       e.Step,
		Digest:     e.Digest,
		Chunks:     e.Chunks,
		GroupSizes: e.GroupSizes,
		BatchSize:  e.BatchSize,
	}
	opened.Delivered = NewBitmap(opened.Samples())
	if resumed {
		if e.Cursor.Digest != e.Digest {
			return refuse(verdict.ReasonConflict, 0, "step %d was posted with another body", e.Step)
		}
		if !opened.fits(e.Cursor) {
			return refuseMismatch(e.Cursor)
		}
		opened.Batch = e.Cursor.Batch
		opened.Delivered = e.Cursor.Delivered.Clone()
	}
	next := j.record
	next.Past = j.record.withPast()
	next.Step = opened
	return outcome{next: &next}
}

// fits reports whether the cursor's batch and delivered set are possible in this step.
func (s *StepRecord) fits(cursor *Cursor) bool {
	expected := min(cursor.Batch*s.BatchSize, s.Samples())
	return len(cursor.Delivered) == len(s.Delivered) && cursor.Batch >= 0 &&
		cursor.Batch <= s.Batches() && cursor.Delivered.Count() == expected
}

func refuseMismatch(cursor *Cursor) outcome {
	return refuse(verdict.ReasonConflict, 0,
		"the cursor of step %d, batch %d does not fit the step", cursor.Step, cursor.Batch)
}

// mergeCursor takes over what the cursor shows that the trainer has received; ok is false if the cursor
// contradicts the step, and the outcome is then a refusal.
//
// It guards against this failure: a coordinator hands out batch n without the platform and dies. Its successor
// knows only the batches below n and would deliver the samples of n again. The trainer's cursor names these
// samples, so the successor counts them as delivered before its next transition.
func (j *Job) mergeCursor(cursor *Cursor) (outcome, bool) {
	step := j.record.Step
	if cursor == nil || step == nil || cursor.Step != step.Step {
		return outcome{}, true
	}
	if cursor.Digest != step.Digest || !step.fits(cursor) {
		return refuseMismatch(cursor), false
	}
	if j.cursorDiffers(cursor) {
		j.resetToCursor(cursor)
	}
	return outcome{}, true
}

// cursorDiffers reports whether the cursor contradicts the record on the current step: it is of a later batch
// than the newest, or it is of the newest batch or the one before and has another delivered set.
func (j *Job) cursorDiffers(cursor *Cursor) bool {
	step := j.record.Step
	if step == nil || cursor.Step != step.Step {
		return false
	}
	switch cursor.Batch {
	case step.Batch:
		return !cursor.Delivered.Equal(step.Delivered)
	case step.Batch - 1:
		before, known := step.deliveredBefore()
		return known && !before.Equal(cursor.Delivered)
	}
	return cursor.Batch > step.Batch
}

// resetToCursor sets the delivery to what the trainer has received, and drops batches that diverge from it.
func (j *Job) resetToCursor(cursor *Cursor) {
	step := j.record.Step.clone()
	step.Batch = cursor.Batch
	step.Delivered = cursor.Delivered.Clone()
	step.Manifest = nil
	j.record.Step = step
	j.syncSamples()
	j.discardStale()
}

// evaluateBatch decides on a requested batch: it repeats the newest one or returns the transition to the next.
func (j *Job) evaluateBatch(e BatchRequested) outcome {
	if refusal, ok := j.mergeCursor(e.Cursor); !ok {
		return refusal
	}
	step := j.record.Step
	switch {
	case step == nil || e.Step > step.Step:
		return refuse(verdict.ReasonNotFound, retryDelay, "step %d is unknown: post it first", e.Step)
	case e.Step < step.Step || e.Batch < step.Batch:
		return refuse(verdict.ReasonConflict, 0, "batch %d of step %d was acknowledged", e.Batch, e.Step)
	case e.Batch < 1 || e.Batch > step.Batches():
		return refuse(verdict.ReasonNotFound, 0, "step %d has %d batches", e.Step, step.Batches())
	case e.Batch == step.Batch:
		return j.repeatBatch(e)
	case e.Batch > step.Batch+1:
		return refuse(verdict.ReasonInProgress, 0, "batch %d comes next, not %d", step.Batch+1, e.Batch)
	}
	manifest := j.nextManifest()
	if manifest == nil {
		return waiting()
	}
	next := j.record
	next.Step = step.clone()
	next.Step.Batch = manifest.Batch
	next.Step.Manifest = manifest
	for _, ref := range manifest.SampleRefs {
		next.Step.Delivered.Set(step.Position(ref.Group, ref.Index))
	}
	return outcome{next: &next}
}

// repeatBatch answers with the newest batch again. The record's manifest was either written or sent
// already, so the answer is the same each time.
func (j *Job) repeatBatch(e BatchRequested) outcome {
	step := j.record.Step
	if step.Manifest == nil {
		return j.repeatUnwrittenBatch(e)
	}
	return outcome{result: BatchReady{Step: step.Step, Manifest: *step.Manifest, Cursor: j.cursor(), ManifestUnwritten: j.unwritten}}
}

// repeatUnwrittenBatch repeats a batch that an earlier coordinator sent without writing it. The manifest
// does not become part of the record: a model version may have been accepted since that makes its samples too
// old to be written.
func (j *Job) repeatUnwrittenBatch(e BatchRequested) outcome {
	if e.Cursor == nil || e.Cursor.ManifestLocation == nil {
		return refuse(verdict.ReasonConflict, 0,
			"batch %d of step %d was acknowledged by a cursor", e.Batch, e.Step)
	}
	if e.Manifest == nil {
		return outcome{result: ManifestNeeded{Step: e.Step, ManifestLocation: *e.Cursor.ManifestLocation}}
	}
	return outcome{result: BatchReady{Step: e.Step, Manifest: *e.Manifest, Cursor: j.cursorForAnswer(e.Cursor)}}
}

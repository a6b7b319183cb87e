package delivery

import "github.com/oleandershelf/oleandershelf/internal/core/verdict"

// tryStep accepts a step: the same body again is the same step, another body is refused, and a
// new step acknowledges the last batch of the one before.
func (j *Job) tryStep(e StepAsked) outcome {
	if refusal, ok := j.merge(e.Cursor); !ok {
		return refusal
	}
	step := j.record.Step
	if step != nil && e.Step < step.Step {
		return j.tryPastStep(e)
	}
	if step != nil && e.Step == step.Step {
		if e.Digest != step.Digest {
			return refused(verdict.ReasonConflict, 0, "step %d was posted with another body", e.Step)
		}
		return outcome{result: StepAccepted{Samples: step.Samples(), Batches: step.Batches(), Cursor: j.cursorFor(e.Cursor)}}
	}
	learnt := e.Cursor != nil && e.Cursor.Step == e.Step
	if open := j.openBefore(e); open != nil && !learnt {
		return *open
	}
	return j.openStep(e, learnt)
}

// openBefore returns the refusal of a step whose predecessor isn't wholly delivered, or nil.
//
// Failure: in an outage a coordinator delivers the rest of a step and the next ones without the
// platform; its successor knows of the first one's beginning only and would refuse every later step
// for good, so that the trainer stands idle. The trainer's cursor names the step that it has reached,
// and whether that is complete.
func (j *Job) openBefore(e StepAsked) *outcome {
	step, cursor := j.record.Step, e.Cursor
	if cursor != nil && (step == nil || cursor.Step > step.Step) {
		if cursor.Complete || cursor.Step >= e.Step {
			return nil
		}
		open := refused(verdict.ReasonInProgress, 0,
			"batch %d is not the last one of step %d", cursor.Batch, cursor.Step)
		return &open
	}
	if step == nil || step.Complete() {
		return nil
	}
	open := refused(verdict.ReasonInProgress, 0,
		"step %d has %d batches and the newest is %d", step.Step, step.Batches(), step.Batch)
	return &open
}

func (j *Job) tryPastStep(e StepAsked) outcome {
	for _, past := range j.record.Past {
		if past.Step == e.Step && past.Digest == e.Digest {
			return outcome{result: StepAccepted{Samples: past.Samples, Batches: past.Batches, Cursor: j.cursorFor(e.Cursor)}}
		}
	}
	return refused(verdict.ReasonConflict, 0, "step %d is past", e.Step)
}

// openStep returns the move to a new step. A step that the trainer's cursor names was accepted
// unwritten by an earlier coordinator: it is taken up where the cursor says.
func (j *Job) openStep(e StepAsked, learnt bool) outcome {
	opened := &StepRecord{
		Step:      e.Step,
		Digest:    e.Digest,
		Chunks:    e.Chunks,
		Sizes:     e.Sizes,
		BatchSize: e.BatchSize,
	}
	opened.Delivered = NewBitmap(opened.Samples())
	if learnt {
		if e.Cursor.Digest != e.Digest {
			return refused(verdict.ReasonConflict, 0, "step %d was posted with another body", e.Step)
		}
		if !opened.fits(e.Cursor) {
			return cursorMisfit(e.Cursor)
		}
		opened.Batch = e.Cursor.Batch
		opened.Delivered = e.Cursor.Delivered.Clone()
	}
	next := j.record
	next.Past = j.record.withPast()
	next.Step = opened
	return outcome{next: &next}
}

// fits says whether the cursor's set is possible after its batch.
func (s *StepRecord) fits(cursor *Cursor) bool {
	want := min(cursor.Batch*s.BatchSize, s.Samples())
	return len(cursor.Delivered) == len(s.Delivered) && cursor.Batch >= 0 &&
		cursor.Batch <= s.Batches() && cursor.Delivered.Count() == want
}

func cursorMisfit(cursor *Cursor) outcome {
	return refused(verdict.ReasonConflict, 0,
		"the cursor of step %d, batch %d does not fit the step", cursor.Step, cursor.Batch)
}

// merge takes over what the cursor says the trainer has.
//
// Failure: a coordinator hands out batch n without the platform and dies; its successor knows
// only batches below n and would deliver the samples of n again. The cursor names them, and the
// trainer sends it, so the successor counts them as delivered before it moves.
func (j *Job) merge(cursor *Cursor) (outcome, bool) {
	step := j.record.Step
	if cursor == nil || step == nil || cursor.Step != step.Step {
		return outcome{}, true
	}
	if cursor.Digest != step.Digest || !step.fits(cursor) {
		return cursorMisfit(cursor), false
	}
	if j.differs(cursor) {
		j.rebase(cursor)
	}
	return outcome{}, true
}

// differs says whether the trainer has other samples of the current step than this job knows of.
func (j *Job) differs(cursor *Cursor) bool {
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

// rebase sets the delivery to what the trainer has, and drops batches that went another way.
func (j *Job) rebase(cursor *Cursor) {
	step := j.record.Step.clone()
	step.Batch = cursor.Batch
	step.Delivered = cursor.Delivered.Clone()
	step.Manifest = nil
	j.record.Step = step
	j.sync()
	j.discardStale()
}

func (j *Job) tryBatch(e BatchAsked) outcome {
	if refusal, ok := j.merge(e.Cursor); !ok {
		return refusal
	}
	step := j.record.Step
	switch {
	case step == nil || e.Step > step.Step:
		return refused(verdict.ReasonNotFound, retrySoon, "step %d is unknown: post it first", e.Step)
	case e.Step < step.Step || e.Batch < step.Batch:
		return refused(verdict.ReasonConflict, 0, "batch %d of step %d was acknowledged", e.Batch, e.Step)
	case e.Batch < 1 || e.Batch > step.Batches():
		return refused(verdict.ReasonNotFound, 0, "step %d has %d batches", e.Step, step.Batches())
	case e.Batch == step.Batch:
		return j.repeatBatch(e)
	case e.Batch > step.Batch+1:
		return refused(verdict.ReasonInProgress, 0, "batch %d comes next, not %d", step.Batch+1, e.Batch)
	}
	manifest := j.nextManifest()
	if manifest == nil {
		return waiting()
	}
	next := j.record
	next.Step = step.clone()
	next.Step.Batch = manifest.Batch
	next.Step.Manifest = manifest
	for _, ref := range manifest.Refs {
		next.Step.Delivered.Set(step.Position(ref.Group, ref.Index))
	}
	return outcome{next: &next}
}

// repeatBatch answers with the newest batch again. The record's manifest was either written or
// handed out already, so the answer is the same each time.
func (j *Job) repeatBatch(e BatchAsked) outcome {
	step := j.record.Step
	if step.Manifest == nil {
		return j.repeatKept(e)
	}
	return outcome{result: BatchReady{Step: step.Step, Manifest: *step.Manifest, Cursor: j.cursor(), Unwritten: j.unwritten}}
}

// repeatKept repeats a batch that an earlier coordinator handed out without writing it. The manifest does not
// become part of the record: a version may have been accepted since that makes its samples too old to be written.
func (j *Job) repeatKept(e BatchAsked) outcome {
	if e.Cursor == nil || e.Cursor.Kept == nil {
		return refused(verdict.ReasonConflict, 0,
			"batch %d of step %d was acknowledged by a cursor", e.Batch, e.Step)
	}
	if e.Manifest == nil {
		return outcome{result: BatchKept{Step: e.Step, Kept: *e.Cursor.Kept}}
	}
	return outcome{result: BatchReady{Step: e.Step, Manifest: *e.Manifest, Cursor: j.cursorFor(e.Cursor)}}
}

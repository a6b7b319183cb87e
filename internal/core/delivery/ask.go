package delivery

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// retrySoon is when a trainer comes back after a refusal that passes by itself: a lease moves
// within seconds, and the platform is tried again each second.
const retrySoon = time.Second

// ask is a request of the trainer that waits for its answer.
type ask struct {
	id     AskID
	event  Event
	cursor *Cursor
	// sent says that a write for the request was sent and may have taken effect.
	sent bool
	// readUp says that the object was read after the request came, since its cursor differed.
	readUp bool
}

func newAsk(event Event) *ask {
	switch e := event.(type) {
	case StepAsked:
		return &ask{id: e.ID, event: e, cursor: e.Cursor}
	case BatchAsked:
		return &ask{id: e.ID, event: e, cursor: e.Cursor}
	case VersionAsked:
		return &ask{id: e.ID, event: e, cursor: e.Cursor}
	}
	return &ask{event: event}
}

// outcome is what became of one look at a request: an answer, a move that has to be made first,
// or neither while it waits.
type outcome struct {
	result Result
	next   *Record
}

func waiting() outcome { return outcome{} }

func refused(reason verdict.Reason, retryAfter time.Duration, format string, args ...any) outcome {
	return outcome{result: Refused{verdict.Refuse(verdict.NotRun, reason, retryAfter, format, args...)}}
}

// answerOne answers one request or makes one move alone; it returns false when nothing is left to do.
func (j *Job) answerOne() bool {
	for i, a := range j.asks {
		done := j.try(a)
		if done.result != nil {
			j.asks = append(j.asks[:i:i], j.asks[i+1:]...)
			j.answer(a, done.result)
			return true
		}
		if done.next != nil && j.move(a, *done.next) {
			return true
		}
		if j.writing != nil {
			return false
		}
	}
	return false
}

// move starts the write of a move, or makes it alone; it returns true if it was made.
func (j *Job) move(a *ask, next Record) bool {
	if j.mayWrite() {
		a.sent = true
		j.write(next)
		return false
	}
	if _, version := a.event.(VersionAsked); version || !j.mayMoveAlone(a.cursor) {
		return false
	}
	if j.unsettled != nil && sameMove(*j.unsettled, next) {
		// The lost write may have taken effect: hand out the very same batch.
		next = *j.unsettled
		j.extended = true
	}
	if !j.extended {
		j.unsettled = nil
	}
	j.record = next
	j.record.Step = next.Step.clone()
	j.unwritten = true
	j.sync()
	return true
}

func sameMove(a, b Record) bool {
	return a.ModelVersion == b.ModelVersion && a.Step.key() == b.Step.key() &&
		a.Step != nil && a.Step.Manifest != nil && a.Step.Batch == b.Step.Batch &&
		b.Step.Manifest != nil && a.Step.Manifest.Batch == b.Step.Manifest.Batch
}

func (j *Job) try(a *ask) outcome {
	if refusal, ok := j.checkCursor(a.cursor); !ok {
		return refusal
	}
	if !j.loaded && !j.mayMoveAlone(a.cursor) {
		return waiting()
	}
	if j.readsUp(a) {
		return waiting()
	}
	switch e := a.event.(type) {
	case StepAsked:
		return j.tryStep(e)
	case BatchAsked:
		return j.tryBatch(e)
	case VersionAsked:
		return j.tryVersion(e)
	}
	return waiting()
}

// readsUp reads the object again, once for each request, if the trainer has another batch than this job
// knows of.
//
// Failure: a write of an earlier coordinator comes late, after this one has read the object; the earlier
// one finds it there and hands out its batch. This one would take the trainer's cursor for that of a batch
// handed out in an outage, and refuse to repeat the batch for good.
func (j *Job) readsUp(a *ask) bool {
	if a.readUp || !j.loaded || a.cursor == nil || !j.differs(a.cursor) {
		return false
	}
	if !j.reading {
		a.readUp = true
		j.loaded = false
		j.read()
	}
	return true
}

func (j *Job) checkCursor(cursor *Cursor) (outcome, bool) {
	switch {
	case cursor == nil:
		return outcome{}, true
	case cursor.Job != j.name:
		return refused(verdict.ReasonBadRequest, 0, "the cursor is of trainer job %s", cursor.Job), false
	case cursor.Fencing > j.fence():
		// The trainer was served by a later holder of the lease: this one must not go on.
		return refused(verdict.ReasonNotLeader, retrySoon, "a later coordinator serves the job"), false
	}
	return outcome{}, true
}

func (j *Job) tryVersion(e VersionAsked) outcome {
	// Moves made alone are written before a new version: in one write with it their manifests,
	// right when they were handed out, would stand in the object beyond the staleness bound.
	if !j.loaded || j.unwritten {
		return waiting()
	}
	if refusal, ok := j.merge(e.Cursor); !ok {
		return refusal
	}
	switch known := j.record; {
	case e.Version < known.ModelVersion:
		return refused(verdict.ReasonConflict, 0, "version %d is older than %d", e.Version, known.ModelVersion)
	case e.Version == known.ModelVersion && e.Weights != known.Weights:
		return refused(verdict.ReasonConflict, 0, "version %d has other weights", e.Version)
	case e.Version == known.ModelVersion:
		return outcome{result: VersionAccepted{Version: e.Version, Weights: e.Weights, Cursor: j.cursorAfter(e.Cursor)}}
	}
	next := j.record
	next.Step = j.record.Step.clone()
	next.ModelVersion = e.Version
	next.Weights = e.Weights
	return outcome{next: &next}
}

// cursorAfter returns the cursor of the record's step, or nil if there is none or the trainer's is of a
// later step. A trainer takes over the cursor of each answer: one of a successor that never saw that
// step would take it back to batches that it has.
func (j *Job) cursorAfter(sent *Cursor) *Cursor {
	step := j.record.Step
	if step == nil || sent != nil && sent.Step > step.Step {
		return nil
	}
	cursor := j.cursorFor(sent)
	return &cursor
}

// cursorFor is the cursor for an answer to a trainer that sent one. What that says of a manifest goes on with it: the
// trainer takes over the cursor of each answer, and may ask for its batch again.
func (j *Job) cursorFor(sent *Cursor) Cursor {
	cursor := j.cursor()
	if sent != nil && sent.Step == cursor.Step && sent.Batch == cursor.Batch && sent.Delivered.Equal(cursor.Delivered) {
		cursor.Kept = sent.Kept
	}
	return cursor
}

// cursor returns the cursor that goes out with the newest batch.
func (j *Job) cursor() Cursor {
	step := j.record.Step
	return Cursor{
		Job:          j.name,
		Step:         step.Step,
		Digest:       step.Digest,
		Batch:        step.Batch,
		Delivered:    step.Delivered.Clone(),
		Complete:     step.Complete(),
		ModelVersion: j.current(),
		Fencing:      j.fence(),
	}
}

func (j *Job) expire(e AskExpired) {
	for i, a := range j.asks {
		if a.id != e.ID {
			continue
		}
		j.asks = append(j.asks[:i:i], j.asks[i+1:]...)
		j.answer(a, Refused{j.expiry(e.RetryAfter)})
		return
	}
}

func (j *Job) expiry(retryAfter time.Duration) *verdict.Refusal {
	if j.down {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonPlatformUnavailable,
			retryAfter, "trainer job %s waits for the platform", j.name)
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonNotReady,
		retryAfter, "trainer job %s is not that far yet", j.name)
}

// answer ends a request. After a write whose answer was lost a refusal can't say "not run".
func (j *Job) answer(a *ask, result Result) {
	if no, ok := result.(Refused); ok && a.sent {
		no.Refusal.Verdict = verdict.MayHaveRun
	}
	j.effects = append(j.effects, Answer{ID: a.id, Result: result})
}

func (j *Job) refuseAll() {
	for _, a := range j.asks {
		j.answer(a, Refused{verdict.Refuse(verdict.NotRun, verdict.ReasonNotLeader,
			retrySoon, "another coordinator serves trainer job %s", j.name)})
	}
	j.asks = nil
}

// unsend notes that the write under way is known not to have taken effect.
func (j *Job) unsend() {
	for _, a := range j.asks {
		a.sent = false
	}
}

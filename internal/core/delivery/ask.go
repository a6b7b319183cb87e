package delivery

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// retryDelay is the Retry-After of refusals for temporary conditions: a lease changes its holder
// within seconds, and an unreachable platform is retried every second.
const retryDelay = time.Second

// pendingRequest is a request of the trainer that has not been answered yet.
type pendingRequest struct {
	id     TrainerRequestID
	event  Event
	cursor *Cursor
	// writeSent says that a write for the request was sent and may have taken effect.
	writeSent bool
	// reread says that the object was read again for this request because its cursor differed from the record.
	reread bool
}

func newPendingRequest(event Event) *pendingRequest {
	switch e := event.(type) {
	case StepRequested:
		return &pendingRequest{id: e.ID, event: e, cursor: e.Cursor}
	case BatchRequested:
		return &pendingRequest{id: e.ID, event: e, cursor: e.Cursor}
	case VersionRequested:
		return &pendingRequest{id: e.ID, event: e, cursor: e.Cursor}
	}
	return &pendingRequest{event: event}
}

// outcome is the result of evaluating a request: an answer, a transition that has to be made first, or neither
// while the request waits.
type outcome struct {
	result Result
	next   *Record
}

func waiting() outcome { return outcome{} }

func refuse(reason verdict.Reason, retryAfter time.Duration, format string, args ...any) outcome {
	return outcome{result: Refused{verdict.Refuse(verdict.NotRun, reason, retryAfter, format, args...)}}
}

// answerOne answers one request or makes one offline transition; it returns false if neither was possible.
func (j *Job) answerOne() bool {
	for i, request := range j.requests {
		evaluated := j.evaluate(request)
		if evaluated.result != nil {
			j.requests = append(j.requests[:i:i], j.requests[i+1:]...)
			j.answer(request, evaluated.result)
			return true
		}
		if evaluated.next != nil && j.transition(request, *evaluated.next) {
			return true
		}
		if j.pendingWrite != nil {
			return false
		}
	}
	return false
}

// transition starts the write of a transition, or makes it offline; it returns true if it was made offline.
func (j *Job) transition(request *pendingRequest, next Record) bool {
	if j.mayWrite() {
		request.writeSent = true
		j.startWrite(next)
		return false
	}
	if _, version := request.event.(VersionRequested); version || !j.mayProceedOffline(request.cursor) {
		return false
	}
	if j.uncertainWrite != nil && sameTransition(*j.uncertainWrite, next) {
		// The uncertain write may have taken effect: send the identical batch.
		next = *j.uncertainWrite
		j.extendsUncertain = true
	}
	if !j.extendsUncertain {
		j.uncertainWrite = nil
	}
	j.record = next
	j.record.Step = next.Step.clone()
	j.unwritten = true
	j.syncSamples()
	return true
}

// sameTransition reports whether two records make the same batch number the newest of the same step under the
// same model version.
func sameTransition(a, b Record) bool {
	return a.ModelVersion == b.ModelVersion && a.Step.key() == b.Step.key() &&
		a.Step != nil && a.Step.Manifest != nil && a.Step.Batch == b.Step.Batch &&
		b.Step.Manifest != nil && a.Step.Manifest.Batch == b.Step.Manifest.Batch
}

// evaluate determines the outcome of a request in the current state.
func (j *Job) evaluate(request *pendingRequest) outcome {
	if refusal, ok := j.checkCursor(request.cursor); !ok {
		return refusal
	}
	if !j.confirmed && !j.mayProceedOffline(request.cursor) {
		return waiting()
	}
	if j.rereadRecord(request) {
		return waiting()
	}
	switch e := request.event.(type) {
	case StepRequested:
		return j.evaluateStep(e)
	case BatchRequested:
		return j.evaluateBatch(e)
	case VersionRequested:
		return j.evaluateVersion(e)
	}
	return waiting()
}

// rereadRecord reads the object again, once per request, if the cursor differs from the record; it returns
// true while the request has to wait for the read.
//
// It guards against this failure: a delayed write of an earlier coordinator takes effect after this coordinator
// has read the object. The earlier one sees its write in the object and sends the batch to the trainer. This
// one would conclude from the trainer's cursor that the batch was sent offline and never written, and would
// refuse to repeat it permanently.
func (j *Job) rereadRecord(request *pendingRequest) bool {
	if request.reread || !j.confirmed || request.cursor == nil || !j.cursorDiffers(request.cursor) {
		return false
	}
	if !j.reading {
		request.reread = true
		j.confirmed = false
		j.startRead()
	}
	return true
}

// checkCursor refuses a cursor of another job, or one that a later holder of the lease issued; ok is false
// then.
func (j *Job) checkCursor(cursor *Cursor) (outcome, bool) {
	switch {
	case cursor == nil:
		return outcome{}, true
	case cursor.Job != j.name:
		return refuse(verdict.ReasonBadRequest, 0, "the cursor is of trainer job %s", cursor.Job), false
	case cursor.Fencing > j.fencingNumber():
		// The trainer was served by a later holder of the lease, so this coordinator must not serve it.
		return refuse(verdict.ReasonNotLeader, retryDelay, "a later coordinator serves the job"), false
	}
	return outcome{}, true
}

// evaluateVersion decides on a published model version. Versions only increase; the same version again is
// accepted if its weights are the same.
func (j *Job) evaluateVersion(e VersionRequested) outcome {
	// Offline transitions are written before a new version is accepted. Written together with it, their
	// manifests, which were within the staleness bound when they were sent, would exceed it in the
	// object.
	if !j.confirmed || j.unwritten {
		return waiting()
	}
	if refusal, ok := j.mergeCursor(e.Cursor); !ok {
		return refusal
	}
	switch known := j.record; {
	case e.Version < known.ModelVersion:
		return refuse(verdict.ReasonConflict, 0, "version %d is older than %d", e.Version, known.ModelVersion)
	case e.Version == known.ModelVersion && e.Weights != known.Weights:
		return refuse(verdict.ReasonConflict, 0, "version %d has other weights", e.Version)
	case e.Version == known.ModelVersion:
		return outcome{result: VersionAccepted{Version: e.Version, Weights: e.Weights, Cursor: j.cursorForVersion(e.Cursor)}}
	}
	next := j.record
	next.Step = j.record.Step.clone()
	next.ModelVersion = e.Version
	next.Weights = e.Weights
	return outcome{next: &next}
}

// cursorForVersion returns the cursor for the answer to a published version. It is nil if there is no step, or
// if the trainer's cursor is of a later step than the record's: a trainer takes over the cursor of each
// answer, and that of a successor that never saw the later step would take it back to batches that it already
// has.
func (j *Job) cursorForVersion(sent *Cursor) *Cursor {
	step := j.record.Step
	if step == nil || sent != nil && sent.Step > step.Step {
		return nil
	}
	cursor := j.cursorForAnswer(sent)
	return &cursor
}

// cursorForAnswer returns the cursor for the answer to a trainer that sent the given one. It keeps the
// manifest location of the sent cursor while the batch is the same: the trainer takes over the cursor of each
// answer and may request its batch again.
func (j *Job) cursorForAnswer(sent *Cursor) Cursor {
	cursor := j.cursor()
	if sent != nil && sent.Step == cursor.Step && sent.Batch == cursor.Batch && sent.Delivered.Equal(cursor.Delivered) {
		cursor.ManifestLocation = sent.ManifestLocation
	}
	return cursor
}

// cursor returns the cursor that is issued with the newest batch.
func (j *Job) cursor() Cursor {
	step := j.record.Step
	return Cursor{
		Job:          j.name,
		Step:         step.Step,
		Digest:       step.Digest,
		Batch:        step.Batch,
		Delivered:    step.Delivered.Clone(),
		Complete:     step.Complete(),
		ModelVersion: j.newestPossibleVersion(),
		Fencing:      j.fencingNumber(),
	}
}

func (j *Job) expire(e RequestExpired) {
	for i, request := range j.requests {
		if request.id != e.ID {
			continue
		}
		j.requests = append(j.requests[:i:i], j.requests[i+1:]...)
		j.answer(request, Refused{j.expiryRefusal(e.RetryAfter)})
		return
	}
}

// expiryRefusal returns the refusal of a request that waited for too long.
func (j *Job) expiryRefusal(retryAfter time.Duration) *verdict.Refusal {
	if j.platformDown {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonPlatformUnavailable,
			retryAfter, "trainer job %s waits for the platform", j.name)
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonNotReady,
		retryAfter, "trainer job %s is not that far yet", j.name)
}

// answer completes a request. After a write that may have taken effect, a refusal can't say "not run".
func (j *Job) answer(request *pendingRequest, result Result) {
	if refused, ok := result.(Refused); ok && request.writeSent {
		refused.Refusal.Verdict = verdict.MayHaveRun
	}
	j.effects = append(j.effects, Answer{ID: request.id, Result: result})
}

func (j *Job) refuseAll() {
	for _, request := range j.requests {
		j.answer(request, Refused{verdict.Refuse(verdict.NotRun, verdict.ReasonNotLeader,
			retryDelay, "another coordinator serves trainer job %s", j.name)})
	}
	j.requests = nil
}

// clearWriteSent records that the write in flight is known not to have taken effect.
func (j *Job) clearWriteSent() {
	for _, request := range j.requests {
		request.writeSent = false
	}
}

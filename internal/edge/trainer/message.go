package trainer

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

// Action is the kind of a trainer's request.
type Action string

// The actions of the trainer API.
const (
	ActionStep         Action = "step"
	ActionBatch        Action = "batch"
	ActionModelVersion Action = "modelVersion"
)

// ForwardedRequest is a trainer's request that its entry has authenticated and may forward to the holder of the
// job's lease. It carries no key material.
type ForwardedRequest struct {
	Job    string `msgpack:"j"`
	Action Action `msgpack:"a"`
	Step   int    `msgpack:"s"`
	Batch  int    `msgpack:"b"`
	Body   []byte `msgpack:"bo"`
	// Cursor is the Delivery-Cursor header as received.
	Cursor string `msgpack:"c"`
	// Remaining is the time until the trainer's deadline when the message was sent.
	Remaining time.Duration `msgpack:"r"`
}

// Reply is the complete response to a trainer's request.
type Reply struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
	// Cursor is the Delivery-Cursor header of the response.
	Cursor string `msgpack:"c"`
}

// message is sent to the inbox of a job's control goroutine, which applies it.
type message interface{ apply(r *runner) }

// requestMessage carries a trainer's request. Its result is sent to answers, which is buffered so that the control
// goroutine never blocks.
type requestMessage struct {
	id      delivery.TrainerRequestID
	event   delivery.Event
	answers chan delivery.Result
	// digest and body are set only for a posted step.
	digest string
	body   []byte
}

func (m requestMessage) apply(r *runner) {
	if !r.active {
		m.answers <- delivery.Refused{Refusal: refusalNotHolder(r.job)}
		return
	}
	r.answers[m.id] = m.answers
	if m.body != nil {
		r.bodies[m.digest] = m.body
		r.postedDigests[m.id] = m.digest
	}
	r.handle(m.event)
}

// expireMessage ends a request whose deadline has passed.
type expireMessage struct{ id delivery.TrainerRequestID }

func (m expireMessage) apply(r *runner) {
	r.handle(delivery.RequestExpired{ID: m.id, RetryAfter: retryInterval})
}

// eventMessage carries an event from the storage goroutine or from a worker.
type eventMessage struct {
	activation int
	event      delivery.Event
}

func (m eventMessage) apply(r *runner) {
	if m.activation == r.activation {
		r.handle(m.event)
	}
}

// bodyMessage carries the body of a step as read from the platform, or the error.
type bodyMessage struct {
	activation int
	step       int
	digest     string
	body       []byte
	err        error
}

func (m bodyMessage) apply(r *runner) {
	if m.activation != r.activation {
		return
	}
	r.loading = false
	if m.err == nil {
		r.setPlan(m.step, m.digest, m.body)
	}
}

// generatedMessage reports how the generation of a sample ended.
type generatedMessage struct {
	task   task
	tokens []Token
	digest string
	err    error
}

func (m generatedMessage) apply(r *runner) {
	if m.task.activation != r.activation {
		return
	}
	if m.err != nil {
		r.metrics.generationFailed(r.job)
		r.handle(delivery.SampleFailed{Attempt: m.task.attempt, Tokens: m.tokens})
		return
	}
	r.handle(delivery.SampleGenerated{Attempt: m.task.attempt, Tokens: m.tokens, Digest: m.digest})
	r.schedule.recordGenerated(time.Now(), m.task, len(m.tokens))
}

// taskDoneMessage reports that a worker has finished a task, which frees its slot.
type taskDoneMessage struct {
	task   task
	failed bool
	tokens int
}

func (m taskDoneMessage) apply(r *runner) {
	if m.task.schedule == r.schedule {
		r.schedule.releaseSlot(time.Now(), m)
	}
}

// contentMissingMessage reports that no host could supply the complete content of a batch.
type contentMissingMessage struct {
	step  int
	batch int
}

func (m contentMissingMessage) apply(r *runner) {
	now := time.Now()
	if r.missingBatch != m {
		r.missingBatch = m
		r.missingSince = now
	}
	if now.Sub(r.missingSince) < r.options.contentGrace {
		return
	}
	r.missingBatch = contentMissingMessage{}
	r.handle(delivery.ContentLost{Step: m.step, Batch: m.batch})
}

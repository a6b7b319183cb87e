package trainer

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

// Action is what a trainer asks for.
type Action string

// The actions of the trainer API.
const (
	ActionStep         Action = "step"
	ActionBatch        Action = "batch"
	ActionModelVersion Action = "modelVersion"
)

// Forwarded is a trainer's request that its entry has authenticated, on the way to the holder of
// the job's lease. It carries no key material.
type Forwarded struct {
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

// Reply is the whole answer to a trainer's request.
type Reply struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
	// Cursor is the Delivery-Cursor header to answer with.
	Cursor string `msgpack:"c"`
}

// message is what a job's control goroutine takes from its inbox.
type message interface{ apply(r *runner) }

// askMessage brings a trainer's request; its result goes to answers, which has room for it.
type askMessage struct {
	id      delivery.TrainerRequestID
	event   delivery.Event
	answers chan delivery.Result
	// digest and body are those of a posted step.
	digest string
	body   []byte
}

func (m askMessage) apply(r *runner) {
	if !r.active {
		m.answers <- delivery.Refused{Refusal: refusalNotHolder(r.job)}
		return
	}
	r.answers[m.id] = m.answers
	if m.body != nil {
		r.bodies[m.digest] = m.body
		r.posted[m.id] = m.digest
	}
	r.handle(m.event)
}

// expireMessage ends a request whose time is over.
type expireMessage struct{ id delivery.TrainerRequestID }

func (m expireMessage) apply(r *runner) {
	r.handle(delivery.RequestExpired{ID: m.id, RetryAfter: retryInterval})
}

// eventMessage brings an event of the storage goroutine or of a worker.
type eventMessage struct {
	activation int
	event      delivery.Event
}

func (m eventMessage) apply(r *runner) {
	if m.activation == r.activation {
		r.handle(m.event)
	}
}

// bodyMessage brings the stored body of a step.
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

// generatedMessage says how the generation of a sample ended.
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
		r.handle(delivery.SampleFailed{Attempt: m.task.work, Tokens: m.tokens})
		return
	}
	r.handle(delivery.SampleGenerated{Attempt: m.task.work, Tokens: m.tokens, Digest: m.digest})
	r.schedule.finished(time.Now(), m.task, len(m.tokens))
}

// endedMessage gives a worker's slot back.
type endedMessage struct {
	task   task
	failed bool
	tokens int
}

func (m endedMessage) apply(r *runner) {
	if m.task.schedule == r.schedule {
		r.schedule.ended(time.Now(), m)
	}
}

// missingMessage says that the content of a batch can't be had from any host now.
type missingMessage struct {
	step  int
	batch int
}

func (m missingMessage) apply(r *runner) {
	now := time.Now()
	if r.lostBatch != m {
		r.lostBatch = m
		r.lostSince = now
	}
	if now.Sub(r.lostSince) < r.options.contentGrace {
		return
	}
	r.lostBatch = missingMessage{}
	r.handle(delivery.ContentLost{Step: m.step, Batch: m.batch})
}

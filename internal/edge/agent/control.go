package agent

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/execution"
	"github.com/oleandershelf/oleandershelf/internal/core/queue"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// defaultRetryDelay is the retry delay of a refused request if there is no better estimate.
const defaultRetryDelay = time.Second

// control is the state that only the control loop accesses: queue, concurrency limit, records and running requests.
type control struct {
	view            func() *ticket.View
	pool            string
	concurrency     int
	isolation       isolation
	queue           *queue.Queue[*job]
	limiter         *queue.Limiter
	record          *execution.Record
	idempotencyKeys *execution.Keys[outcome]
	running         map[*job]queue.Item[*job]
	draining        bool
	// pause is active while the holder of the availability zone's lease drains the server. Unlike draining, which
	// is set when the process shuts down, it can end.
	pause   pause
	drained chan struct{}
}

func newControl(config Config, deps Dependencies) *control {
	c := &control{
		view:            deps.View,
		pool:            config.Pool,
		isolation:       isolation{fresh: deps.Fresh},
		concurrency:     defaultConcurrency,
		limiter:         queue.NewLimiter(defaultConcurrency),
		record:          execution.NewRecord(),
		idempotencyKeys: execution.NewKeys[outcome](0, 0),
		running:         make(map[*job]queue.Item[*job]),
		drained:         make(chan struct{}),
	}
	c.queue = queue.New[*job](
		queue.WithSlots(func() int { return c.limiter.Limit() }),
		queue.WithServiceTime(func(cost float64) time.Duration { return c.limiter.TypicalLatency(cost) }),
	)
	return c
}

// submit queues a request. A refusal is sent to the job's startResult.
func (c *control) submit(now time.Time, j *job) {
	if c.draining || c.pause.active(now) {
		j.startResult <- verdict.Refuse(verdict.NotRun, verdict.ReasonLeaving, defaultRetryDelay,
			"the backend server is leaving")
		return
	}
	if err := c.record.Enqueue(now, j.req.ID); err != nil {
		j.startResult <- err
		return
	}
	if decided := c.claimIdempotencyKey(now, j); decided {
		return
	}
	if err := c.queue.Push(now, c.newQueueItem(now, j)); err != nil {
		c.refuse(now, j, err)
		return
	}
	c.expireQueue(now)
}

// claimIdempotencyKey reserves the caller's idempotency key. It returns true if the job has received its
// startResult: a refusal, or nil with the stored answer of an earlier run.
func (c *control) claimIdempotencyKey(now time.Time, j *job) bool {
	if !j.hasIdempotencyKey() {
		return false
	}
	replay, ran, err := c.idempotencyKeys.Claim(now, j.idempotencyKey, j.digest)
	if err == nil && !ran {
		return false
	}
	c.record.Remove(now, j.req.ID)
	if ran {
		j.replay = &replay
	}
	j.startResult <- err
	return true
}

func (c *control) newQueueItem(now time.Time, j *job) queue.Item[*job] {
	organisation, _ := c.view().Organisation(j.req.Organisation)
	return queue.Item[*job]{
		Organisation: j.req.Organisation,
		Weight:       organisation.Weight,
		Cost:         j.req.Cost,
		Priority:     j.req.Priority,
		Enqueued:     now,
		Deadline:     j.deadline,
		Value:        j,
	}
}

// refuse ends a request that was taken off the queue without running. The request ID is fenced before the caller
// receives "not run", so that a delayed frame can't run the request.
func (c *control) refuse(now time.Time, j *job, refusal error) {
	c.record.Remove(now, j.req.ID)
	if j.hasIdempotencyKey() {
		c.idempotencyKeys.Finish(now, j.idempotencyKey, verdict.NotRun, outcome{})
	}
	j.startResult <- refusal
	c.signalIfDrained()
}

// dispatch starts queued requests up to the concurrency limit.
func (c *control) dispatch(now time.Time) {
	for len(c.running) < c.limiter.Limit() {
		item, ok := c.queue.Pop(now)
		if !ok {
			return
		}
		c.start(now, item)
	}
}

// start starts a request unless the agent is isolated, or the request's key was withdrawn, its deadline passed or
// its ID was fenced while it was queued.
func (c *control) start(now time.Time, item queue.Item[*job]) {
	j := item.Value
	err := c.checkStart(now, j)
	if err == nil {
		err = c.record.Start(now, j.req.ID)
	}
	if err != nil {
		c.queue.Finished(item)
		c.refuse(now, j, err)
		return
	}
	j.startedAt = now
	c.running[j] = item
	c.limiter.ObserveRunning(len(c.running))
	j.startResult <- nil
}

func (c *control) checkStart(now time.Time, j *job) error {
	if !c.isolation.fresh(now) {
		return isolatedNotRun()
	}
	if !c.view().KeyValid(j.req.Organisation, j.req.KeyHash) {
		return keyWithdrawnRefusal(verdict.NotRun)
	}
	if !j.deadline.IsZero() && !now.Before(j.deadline) {
		return c.deadlinePassedRefusal(now, j)
	}
	return nil
}

// cancelQueued removes a queued request whose caller has disconnected. It returns false if the request is no
// longer queued.
func (c *control) cancelQueued(now time.Time, j *job, refusal error) bool {
	removed := c.queue.Remove(func(item queue.Item[*job]) bool { return item.Value == j })
	for _, item := range removed {
		c.refuse(now, item.Value, refusal)
	}
	return len(removed) > 0
}

// finish ends a running request and starts the next ones.
func (c *control) finish(now time.Time, j *job, v verdict.Verdict, result outcome) {
	item, ok := c.running[j]
	if !ok {
		return // cancelUnsent has ended it
	}
	c.queue.Finished(item)
	delete(c.running, j)
	_ = c.record.Finish(now, j.req.ID, v) // cannot fail: only this method ends a running request
	if j.hasIdempotencyKey() {
		c.idempotencyKeys.Finish(now, j.idempotencyKey, v, result)
	}
	if v != verdict.NotRun {
		c.limiter.Observe(now, now.Sub(j.startedAt), j.req.Cost, v != verdict.Ran)
	}
	c.dispatch(now)
	c.signalIfDrained()
}

// settle returns the outcome of a request. A request that is queued, or started but not sent yet, is cancelled first.
func (c *control) settle(now time.Time, id request.ID) request.Settled {
	c.cancelUnsent(now, id)
	settled := c.record.Settle(now, id)
	removed := c.queue.Remove(func(item queue.Item[*job]) bool { return item.Value.req.ID == id })
	for _, item := range removed {
		c.refuse(now, item.Value, cancelledRefusal(verdict.NotRun))
	}
	return settled
}

// cancelUnsent ends a request that was started but not yet sent to the backend server.
func (c *control) cancelUnsent(now time.Time, id request.ID) {
	for j := range c.running {
		if j.req.ID == id && j.decide(cancelledUnsent) {
			c.finish(now, j, verdict.NotRun, outcome{})
			return
		}
	}
}

// applyView applies a new configuration. Queued requests whose key was withdrawn are refused, running ones are
// cancelled if they are cancellable.
func (c *control) applyView(now time.Time) {
	view := c.view()
	valid := func(j *job) bool { return view.KeyValid(j.req.Organisation, j.req.KeyHash) }
	for _, item := range c.queue.Remove(func(item queue.Item[*job]) bool { return !valid(item.Value) }) {
		c.refuse(now, item.Value, keyWithdrawnRefusal(verdict.NotRun))
	}
	for j := range c.running {
		if j.cancellable && !valid(j) {
			j.cancel(errKeyWithdrawn)
		}
	}
	c.updateConcurrency(view)
	c.dispatch(now)
}

func (c *control) updateConcurrency(view *ticket.View) {
	pool, ok := view.Pool(c.pool)
	if !ok || pool.Concurrency <= 0 || pool.Concurrency == c.concurrency {
		return
	}
	c.concurrency = pool.Concurrency
	c.limiter = queue.NewLimiter(pool.Concurrency)
}

// expireQueue refuses the queued requests that can't be answered before their deadline any more and those evicted
// from a full queue, then starts queued requests.
func (c *control) expireQueue(now time.Time) {
	for _, item := range c.queue.Expire(now) {
		c.refuse(now, item.Value, c.expiryRefusal(now, item.Value))
	}
	c.dispatch(now)
}

// expiryRefusal returns the refusal of a request that expired or was evicted to make room for another organisation.
func (c *control) expiryRefusal(now time.Time, j *job) error {
	answerTime := now.Add(c.limiter.TypicalLatency(j.req.Cost))
	switch {
	case j.deadline.IsZero() || !answerTime.After(j.deadline):
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoRoom,
			c.retryAfter(now, j), "the queue is full, and this organisation has the most work in it")
	case now.Before(j.deadline):
		return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlineUnreachable,
			c.retryAfter(now, j), "the answer can't come before the deadline")
	default:
		return c.deadlinePassedRefusal(now, j)
	}
}

func (c *control) expireRecords(now time.Time) {
	c.record.Expire(now)
	c.idempotencyKeys.Expire(now)
}

func (c *control) deadlinePassedRefusal(now time.Time, j *job) error {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlinePassed,
		c.retryAfter(now, j), "the deadline passed in the queue")
}

func (c *control) retryAfter(now time.Time, j *job) time.Duration {
	return max(defaultRetryDelay, c.estimateWait(now, j.req.Organisation))
}

func (c *control) estimateWait(now time.Time, organisation string) time.Duration {
	if len(c.running) < c.limiter.Limit() && c.queue.Len() == 0 {
		return 0
	}
	known, _ := c.view().Organisation(organisation)
	return c.queue.EstimateWait(now, organisation, known.Weight)
}

// startDrain refuses all further requests. The returned channel is closed once no request is queued or running.
func (c *control) startDrain() <-chan struct{} {
	c.draining = true
	c.signalIfDrained()
	return c.drained
}

func (c *control) signalIfDrained() {
	if !c.draining || len(c.running) > 0 || c.queue.Len() > 0 {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}

func (c *control) load(now time.Time) request.Load {
	return request.Load{
		Queued:   c.queue.Len(),
		Running:  len(c.running),
		Limit:    c.limiter.Limit(),
		Wait:     c.estimateWait(now, ""),
		Draining: c.draining || c.pause.active(now),
	}
}

package agent

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/execution"
	"github.com/oleandershelf/oleandershelf/internal/core/queue"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// retrySoon is when a refused request may come back where no better estimate is known.
const retrySoon = time.Second

// control is the state that the control goroutine owns: queue, limit, records and running requests.
type control struct {
	view        func() *ticket.View
	pool        string
	concurrency int
	isolation   isolation
	queue       *queue.Queue[*job]
	limiter     *queue.Limiter
	record      *execution.Record
	keys        *execution.Keys[outcome]
	running     map[*job]queue.Item[*job]
	leaving     bool
	// pause is set while the server is being drained on the order of the zone; unlike leaving it ends.
	pause   pause
	drained chan struct{}
}

func newControl(config Config, deps Dependencies) *control {
	c := &control{
		view:        deps.View,
		pool:        config.Pool,
		isolation:   isolation{fresh: deps.Fresh},
		concurrency: defaultConcurrency,
		limiter:     queue.NewLimiter(defaultConcurrency),
		record:      execution.NewRecord(),
		keys:        execution.NewKeys[outcome](0, 0),
		running:     make(map[*job]queue.Item[*job]),
		drained:     make(chan struct{}),
	}
	c.queue = queue.New[*job](
		queue.WithSlots(func() int { return c.limiter.Limit() }),
		queue.WithServiceTime(func(cost float64) time.Duration { return c.limiter.TypicalLatency(cost) }),
	)
	return c
}

// submit takes a request in; a refusal is handed to the job like a start.
func (c *control) submit(now time.Time, j *job) {
	if c.leaving || c.pause.holds(now) {
		j.started <- verdict.Refuse(verdict.NotRun, verdict.ReasonLeaving, retrySoon,
			"the backend server is leaving")
		return
	}
	if err := c.record.Enqueue(now, j.q.ID); err != nil {
		j.started <- err
		return
	}
	if done := c.claim(now, j); done {
		return
	}
	if err := c.queue.Push(now, c.item(now, j)); err != nil {
		c.drop(now, j, err)
		return
	}
	c.expireQueue(now)
}

// claim reserves the caller's idempotency key; true if the job has its decision.
func (c *control) claim(now time.Time, j *job) bool {
	if !j.keyed() {
		return false
	}
	replay, ran, err := c.keys.Claim(now, j.key, j.digest)
	if err == nil && !ran {
		return false
	}
	c.record.Remove(now, j.q.ID)
	if ran {
		j.replay = &replay
	}
	j.started <- err
	return true
}

func (c *control) item(now time.Time, j *job) queue.Item[*job] {
	organisation, _ := c.view().Organisation(j.q.Organisation)
	return queue.Item[*job]{
		Organisation: j.q.Organisation,
		Weight:       organisation.Weight,
		Cost:         j.q.Cost,
		Priority:     j.q.Priority,
		Enqueued:     now,
		Deadline:     j.deadline,
		Value:        j,
	}
}

// drop ends a request that has left the queue without running: its identifier is fenced before its
// caller hears "not run", so that the refusal stays true.
func (c *control) drop(now time.Time, j *job, refusal error) {
	c.record.Remove(now, j.q.ID)
	if j.keyed() {
		c.keys.Finish(now, j.key, verdict.NotRun, outcome{})
	}
	j.started <- refusal
	c.checkDrained()
}

// dispatch starts queued requests up to the limit.
func (c *control) dispatch(now time.Time) {
	for len(c.running) < c.limiter.Limit() {
		item, ok := c.queue.Pop(now)
		if !ok {
			return
		}
		c.start(now, item)
	}
}

// start runs a request unless its key was withdrawn, its deadline passed or its identifier was fenced
// while it was queued.
func (c *control) start(now time.Time, item queue.Item[*job]) {
	j := item.Value
	err := c.startable(now, j)
	if err == nil {
		err = c.record.Start(now, j.q.ID)
	}
	if err != nil {
		c.queue.Finished(item)
		c.drop(now, j, err)
		return
	}
	j.since = now
	c.running[j] = item
	c.limiter.ObserveRunning(len(c.running))
	j.started <- nil
}

func (c *control) startable(now time.Time, j *job) error {
	if !c.isolation.fresh(now) {
		return isolated()
	}
	if !c.view().KeyValid(j.q.Organisation, j.q.KeyHash) {
		return keyWithdrawn(verdict.NotRun)
	}
	if !j.deadline.IsZero() && !now.Before(j.deadline) {
		return c.deadlinePassed(now, j)
	}
	return nil
}

// withdraw takes out a request whose caller has gone; false if it has been decided on already.
func (c *control) withdraw(now time.Time, j *job, refusal error) bool {
	removed := c.queue.Remove(func(item queue.Item[*job]) bool { return item.Value == j })
	for _, item := range removed {
		c.drop(now, item.Value, refusal)
	}
	return len(removed) > 0
}

// finish ends a running request and starts the next.
func (c *control) finish(now time.Time, j *job, v verdict.Verdict, result outcome) {
	item, ok := c.running[j]
	if !ok {
		return // it was withdrawn
	}
	c.queue.Finished(item)
	delete(c.running, j)
	_ = c.record.Finish(now, j.q.ID, v) // it is running: only this method ends it
	if j.keyed() {
		c.keys.Finish(now, j.key, v, result)
	}
	if v != verdict.NotRun {
		c.limiter.Observe(now, now.Sub(j.since), j.q.Cost, v != verdict.Ran)
	}
	c.dispatch(now)
	c.checkDrained()
}

// settle says what became of a request; one that is queued is taken out first.
func (c *control) settle(now time.Time, id request.ID) request.Settled {
	c.withdrawUnsent(now, id)
	settled := c.record.Settle(now, id)
	removed := c.queue.Remove(func(item queue.Item[*job]) bool { return item.Value.q.ID == id })
	for _, item := range removed {
		c.drop(now, item.Value, cancelled(verdict.NotRun))
	}
	return settled
}

// withdrawUnsent ends a request that was started but not sent to the backend server yet.
func (c *control) withdrawUnsent(now time.Time, id request.ID) {
	for j := range c.running {
		if j.q.ID == id && j.decide(withdrawn) {
			c.finish(now, j, verdict.NotRun, outcome{})
			return
		}
	}
}

// viewChanged acts on a new configuration: requests of withdrawn keys are refused while queued, and
// cut short while running where that can be done.
func (c *control) viewChanged(now time.Time) {
	view := c.view()
	valid := func(j *job) bool { return view.KeyValid(j.q.Organisation, j.q.KeyHash) }
	for _, item := range c.queue.Remove(func(item queue.Item[*job]) bool { return !valid(item.Value) }) {
		c.drop(now, item.Value, keyWithdrawn(verdict.NotRun))
	}
	for j := range c.running {
		if j.cancellable && !valid(j) {
			j.cancel(errKeyWithdrawn)
		}
	}
	c.setConcurrency(view)
	c.dispatch(now)
}

func (c *control) setConcurrency(view *ticket.View) {
	pool, ok := view.Pool(c.pool)
	if !ok || pool.Concurrency <= 0 || pool.Concurrency == c.concurrency {
		return
	}
	c.concurrency = pool.Concurrency
	c.limiter = queue.NewLimiter(pool.Concurrency)
}

// expireQueue refuses what can't be answered in time any more, at once.
func (c *control) expireQueue(now time.Time) {
	for _, item := range c.queue.Expire(now) {
		c.drop(now, item.Value, c.expired(now, item.Value))
	}
	c.dispatch(now)
}

// expired says why a request left the queue: its deadline, or another organisation's place.
func (c *control) expired(now time.Time, j *job) error {
	answer := now.Add(c.limiter.TypicalLatency(j.q.Cost))
	switch {
	case j.deadline.IsZero() || !answer.After(j.deadline):
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoRoom,
			c.retryAfter(now, j), "the queue is full, and this organisation has the most work in it")
	case now.Before(j.deadline):
		return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlineUnreachable,
			c.retryAfter(now, j), "the answer can't come before the deadline")
	default:
		return c.deadlinePassed(now, j)
	}
}

func (c *control) expireRecords(now time.Time) {
	c.record.Expire(now)
	c.keys.Expire(now)
}

func (c *control) deadlinePassed(now time.Time, j *job) error {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlinePassed,
		c.retryAfter(now, j), "the deadline passed in the queue")
}

func (c *control) retryAfter(now time.Time, j *job) time.Duration {
	return max(retrySoon, c.wait(now, j.q.Organisation))
}

func (c *control) wait(now time.Time, organisation string) time.Duration {
	if len(c.running) < c.limiter.Limit() && c.queue.Len() == 0 {
		return 0
	}
	known, _ := c.view().Organisation(organisation)
	return c.queue.EstimateWait(now, organisation, known.Weight)
}

// leave refuses all further requests; the channel is closed when nothing is queued or running.
func (c *control) leave() <-chan struct{} {
	c.leaving = true
	c.checkDrained()
	return c.drained
}

func (c *control) checkDrained() {
	if !c.leaving || len(c.running) > 0 || c.queue.Len() > 0 {
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
		Wait:     c.wait(now, ""),
		Draining: c.leaving || c.pause.holds(now),
	}
}

package trainer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

const (
	// tickInterval is how often the lease is looked at and delayed work is taken up. It is well
	// under the time between two renewals, so that a renewal is told from a new term.
	tickInterval = 250 * time.Millisecond
	// restInterval is the same where this host has no part in the job, as 15 of 18 jobs at each of 380 entries: it learns
	// of a lease by its change, and only a new staleness bound waits for the tick.
	restInterval = 2 * time.Second
	// probeInterval is how often an unreachable platform is tried again.
	probeInterval = time.Second
	// contentGrace is how long a batch's content may be unreachable before the batch is made
	// anew: longer than a restart of the network between hosts, shorter than a trainer's patience.
	contentGrace = 10 * time.Second
	inboxSize    = 256
	// storageQueue holds more operations than are ever under way: one read, one write and one load
	// a term of the lease, so that the control goroutine never waits for the platform.
	storageQueue = 64
)

// runner coordinates one job. Its control goroutine owns all fields below inbox.
type runner struct {
	job     string
	deps    Deps
	options options
	lease   Lease
	shelf   *shelf
	metrics *metrics
	status  atomic.Pointer[runnerStatus]
	inbox   chan message
	storage chan storeOperation
	tasks   chan task
	done    chan struct{}

	machine    *delivery.Job
	answers    map[delivery.TrainerRequestID]chan delivery.Result
	activation int
	active     bool
	held       bool
	// outage says that the platform has been down since this host's last known term ended.
	outage bool
	fence  Fence
	probed time.Time
	// bodies are those of posted steps by digest; posted names them by request.
	bodies     map[string][]byte
	posted     map[delivery.TrainerRequestID]string
	plan       *delivery.Plan
	planStep   int
	planDigest string
	loading    bool
	schedule   *schedule
	lostSince  time.Time
	lostBatch  missingMessage
	// parent ends all work of the job; taskCtx ends that of one step.
	parent    context.Context
	taskCtx   context.Context
	stopTasks context.CancelFunc
}

// runnerStatus is what other goroutines see of a runner.
type runnerStatus struct {
	delivery.Status
	Active    bool   `json:"active"`
	Fencing   uint64 `json:"leaseFencing"`
	Running   int    `json:"running"`
	BodyKnown bool   `json:"bodyKnown"`
}

// newRunner starts the goroutines of a job; they end with the context.
func newRunner(ctx context.Context, job string, c *Coordinator, work *conc.WaitGroup) *runner {
	r := &runner{
		job:     job,
		deps:    c.deps,
		options: c.options,
		lease:   c.deps.Lease(ctx, job),
		shelf:   c.shelf,
		metrics: c.metrics,
		inbox:   make(chan message, inboxSize),
		storage: make(chan storeOperation, storageQueue),
		tasks:   make(chan task, c.options.concurrency),
		done:    make(chan struct{}),
		answers: map[delivery.TrainerRequestID]chan delivery.Result{},
		parent:  ctx,
	}
	r.taskCtx, r.stopTasks = context.WithCancel(ctx)
	r.reset()
	r.publish()
	work.Go(func() { r.run(ctx) })
	work.Go(func() { r.runStorage(ctx) })
	for range c.options.concurrency {
		work.Go(func() { r.runWorker(ctx) })
	}
	return r
}

func (r *runner) bound() int {
	job, _ := r.deps.View().TrainerJob(r.job)
	return job.StalenessBound
}

// reset forgets all state of the job; results of earlier work carry an older activation.
func (r *runner) reset() {
	r.stopTasks()
	r.taskCtx, r.stopTasks = context.WithCancel(r.parent)
	r.activation++
	r.active = false
	r.held = false
	r.outage = false
	r.fence = Fence{}
	r.machine = delivery.NewJob(r.job, r.deps.Self, r.bound())
	r.bodies = map[string][]byte{}
	r.posted = map[delivery.TrainerRequestID]string{}
	r.plan = nil
	r.planDigest = ""
	r.loading = false
	r.schedule = newSchedule(r.options.concurrency)
}

func (r *runner) run(ctx context.Context) {
	defer close(r.done)
	defer func() { r.stopTasks() }()
	interval := restInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		changed := r.lease.Changed()
		r.checkOutage(time.Now())
		r.checkLease(time.Now())
		if next := r.interval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
		r.work(time.Now())
		r.publish()
		select {
		case <-ctx.Done():
			r.leave()
			return
		case m := <-r.inbox:
			// The process may have been stopped while it waited here: what it knew of an outage then is
			// no ground any more for serving the message without the platform.
			r.checkOutage(time.Now())
			m.apply(r)
			r.drain()
		case <-changed:
		case now := <-ticker.C:
			r.tick(now)
		}
	}
}

// interval is the time until the next tick.
func (r *runner) interval() time.Duration {
	if r.active {
		return tickInterval
	}
	return restInterval
}

// drain takes what else is in the inbox, so that under load the looks at all samples that follow
// are shared by many messages.
func (r *runner) drain() {
	for range inboxSize {
		select {
		case m := <-r.inbox:
			m.apply(r)
		default:
			return
		}
	}
}

func (r *runner) tick(now time.Time) {
	r.handle(delivery.StalenessBoundChanged{Bound: r.bound()})
	if r.active && now.Sub(r.probed) >= probeInterval {
		r.probed = now
		r.handle(delivery.Ticked{})
	}
}

// checkOutage tells the machine whether the job may go on without the platform.
//
// Failure: a host that was stopped, or can't reach the platform while others can, is replaced without
// knowing, and goes on serving the job when it finds the platform down. Another host takes the lease only
// through the platform, and later than the end of this one's last known term; if nobody is known to have
// reached the platform since then, nobody has taken it.
func (r *runner) checkOutage(now time.Time) {
	established := r.deps.Outage == nil
	if !established {
		reached, down := r.deps.Outage(now)
		established = down && before(reached, r.fence.Deadline)
	}
	if established == r.outage {
		return
	}
	r.outage = established
	r.handle(delivery.OutageChanged{Established: established})
}

// before compares by both clocks: the monotonic one misses a suspended machine, the wall clock a step.
func before(a, b time.Time) bool {
	return a.Before(b) && a.Round(0).Before(b.Round(0))
}

// checkLease tells the machine of changes. A number that is seen before the deadline of the one
// before is a renewal: no other host can have held the lease in between.
func (r *runner) checkLease(now time.Time) {
	fence, held := r.lease.Held(now)
	if !held {
		r.checkLoss()
		return
	}
	if !r.held || fence.Number != r.fence.Number {
		renewed := r.fence.Number != 0 && now.Before(r.fence.Deadline)
		r.active = true
		r.handle(delivery.LeaseChanged{FencingNumber: uint64(fence.Number), Held: true, Renewed: renewed})
	}
	r.held = true
	r.fence = fence
}

func (r *runner) checkLoss() {
	if r.held {
		r.held = false
		r.handle(delivery.LeaseChanged{})
	}
	holder, known := r.lease.Holder()
	if r.active && known && holder != r.deps.Self {
		r.handle(delivery.Superseded{})
		r.reset()
	}
}

// handle passes an event to the machine and carries out the effects.
func (r *runner) handle(event delivery.Event) {
	for _, effect := range r.machine.Handle(event) {
		switch e := effect.(type) {
		case delivery.Read:
			r.storage <- readOperation{activation: r.activation}
		case delivery.Write:
			r.storage <- r.writeOperation(e)
		case delivery.Answer:
			r.answer(e)
		}
	}
}

func (r *runner) writeOperation(write delivery.Write) writeOperation {
	operation := writeOperation{activation: r.activation, write: write}
	if write.StoreBody {
		operation.body = r.bodies[write.Record.Step.Digest]
	}
	return operation
}

func (r *runner) answer(e delivery.Answer) {
	r.forgetBody(e.ID)
	answers, ok := r.answers[e.ID]
	if !ok {
		return
	}
	delete(r.answers, e.ID)
	answers <- e.Result
}

// forgetBody drops the body of a post that did not become the current step, so that refused posts
// take no memory.
func (r *runner) forgetBody(id delivery.TrainerRequestID) {
	digest, posted := r.posted[id]
	if !posted {
		return
	}
	delete(r.posted, id)
	if step := r.machine.Step(); step == nil || step.Digest != digest {
		delete(r.bodies, digest)
	}
}

// leave answers what still waits when the process ends.
func (r *runner) leave() {
	for id, answers := range r.answers {
		delete(r.answers, id)
		answers <- delivery.Refused{Refusal: refusalLeaving(r.job)}
	}
}

// work loads the step's body if it is unknown, and starts samples.
func (r *runner) work(now time.Time) {
	step := r.machine.Step()
	if !r.active || step == nil {
		return
	}
	if r.plan == nil || r.planStep != step.Step || r.planDigest != step.Digest {
		r.findPlan(step)
		return
	}
	r.schedule.fill(now, r)
}

func (r *runner) findPlan(step *delivery.StepRecord) {
	if body, ok := r.bodies[step.Digest]; ok {
		r.setPlan(step.Step, step.Digest, body)
		return
	}
	if r.loading || step.Chunks == 0 {
		return
	}
	r.loading = true
	r.storage <- loadBodyOperation{
		activation: r.activation, step: step.Step, digest: step.Digest, chunks: step.Chunks,
	}
}

func (r *runner) setPlan(step int, digest string, body []byte) {
	plan, err := delivery.ParsePlan(body)
	if err != nil {
		return
	}
	r.plan = &plan
	r.planStep = step
	r.planDigest = digest
	r.bodies = map[string][]byte{digest: body}
	r.schedule = newSchedule(r.options.concurrency)
	r.stopTasks()
	r.taskCtx, r.stopTasks = context.WithCancel(r.parent)
	r.storage <- cleanOperation{before: step}
}

func (r *runner) publish() {
	status := &runnerStatus{
		Status:    r.machine.Status(),
		Active:    r.active,
		Fencing:   uint64(r.fence.Number),
		Running:   r.schedule.running,
		BodyKnown: r.plan != nil,
	}
	r.status.Store(status)
	r.metrics.observe(status)
}

// post hands a message to the control goroutine; it returns false once that has ended.
func (r *runner) post(ctx context.Context, m message) bool {
	select {
	case r.inbox <- m:
		return true
	case <-r.done:
		return false
	case <-ctx.Done():
		return false
	}
}

func (r *runner) runStorage(ctx context.Context) {
	s := &storage{job: r.job, store: r.deps.Store, lease: r.lease}
	for {
		select {
		case <-ctx.Done():
			return
		case operation := <-r.storage:
			if m := operation.run(ctx, s); m != nil {
				r.post(ctx, m)
			}
		}
	}
}

// serving says whether this host may answer for the job: it holds the lease, or held it last and
// has seen no other holder, as in an outage of the platform.
func (r *runner) serving(now time.Time) (here bool, holder netip.AddrPort, known bool) {
	if _, held := r.lease.Held(now); held {
		return true, netip.AddrPort{}, true
	}
	holder, known = r.lease.Holder()
	if known && holder != r.deps.Self {
		return false, holder, true
	}
	return r.status.Load().Active, netip.AddrPort{}, false
}

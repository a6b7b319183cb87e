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
	// tickInterval is how often the lease is checked and delayed work is resumed. It is well below the time between two
	// renewals, so that a renewal can be distinguished from a new term.
	tickInterval = 250 * time.Millisecond
	// idleInterval replaces tickInterval while this host doesn't coordinate the job, as is the case for 15 of 18 jobs at
	// each of 380 entries. The host is notified of lease changes, and only a new staleness bound waits for the tick.
	idleInterval = 2 * time.Second
	// probeInterval is how often an unreachable platform is retried.
	probeInterval = time.Second
	// defaultContentGrace is how long a batch's content may be unreachable before the batch is generated again. It is
	// longer than a restart of the network between hosts, and shorter than a trainer is willing to wait.
	defaultContentGrace = 10 * time.Second
	inboxSize           = 256
	// storageQueueSize is above the number of operations that are ever pending, which is one read, one write and one
	// load in each term of the lease. The control goroutine therefore never waits for the platform.
	storageQueueSize = 64
)

// runner coordinates one job. The control goroutine owns all fields after done.
type runner struct {
	job          string
	deps         Deps
	options      options
	lease        Lease
	contentStore *contentStore
	metrics      *metrics
	status       atomic.Pointer[runnerStatus]
	inbox        chan message
	storage      chan storeOperation
	tasks        chan task
	done         chan struct{}

	machine *delivery.Job
	answers map[delivery.TrainerRequestID]chan delivery.Result
	// activation counts the resets, so that results of earlier work can be recognised and ignored.
	activation int
	// active is true from the first lease of this host until another host holds the lease.
	active bool
	// held is true while this host holds the lease.
	held bool
	// outage is true if the platform has been down since this host's last known term ended.
	outage    bool
	fence     Fence
	lastProbe time.Time
	// bodies holds the bodies of posted steps by digest; postedDigests maps requests to these digests.
	bodies        map[string][]byte
	postedDigests map[delivery.TrainerRequestID]string
	plan          *delivery.Plan
	planStep      int
	planDigest    string
	// loading is true while the storage goroutine loads a body.
	loading  bool
	schedule *schedule
	// missingSince is when the content of missingBatch was first found to be missing.
	missingSince time.Time
	missingBatch contentMissingMessage
	// parent is the context of the job; taskCtx is that of the tasks of one step.
	parent    context.Context
	taskCtx   context.Context
	stopTasks context.CancelFunc
}

// runnerStatus is the snapshot of a runner that other goroutines read.
type runnerStatus struct {
	delivery.Status
	Active    bool   `json:"active"`
	Fencing   uint64 `json:"leaseFencing"`
	Running   int    `json:"running"`
	BodyKnown bool   `json:"bodyKnown"`
}

// newRunner starts the goroutines of a job, which end with the context.
func newRunner(ctx context.Context, job string, c *Coordinator, goroutines *conc.WaitGroup) *runner {
	r := &runner{
		job:          job,
		deps:         c.deps,
		options:      c.options,
		lease:        c.deps.Lease(ctx, job),
		contentStore: c.contentStore,
		metrics:      c.metrics,
		inbox:        make(chan message, inboxSize),
		storage:      make(chan storeOperation, storageQueueSize),
		tasks:        make(chan task, c.options.concurrency),
		done:         make(chan struct{}),
		answers:      map[delivery.TrainerRequestID]chan delivery.Result{},
		parent:       ctx,
	}
	r.taskCtx, r.stopTasks = context.WithCancel(ctx)
	r.reset()
	r.publishStatus()
	goroutines.Go(func() { r.run(ctx) })
	goroutines.Go(func() { r.runStorage(ctx) })
	for range c.options.concurrency {
		goroutines.Go(func() { r.runWorker(ctx) })
	}
	return r
}

func (r *runner) stalenessBound() int {
	job, _ := r.deps.View().TrainerJob(r.job)
	return job.StalenessBound
}

// reset discards all state of the job. Results of earlier work are ignored, because their activation is older.
func (r *runner) reset() {
	r.stopTasks()
	r.taskCtx, r.stopTasks = context.WithCancel(r.parent)
	r.activation++
	r.active = false
	r.held = false
	r.outage = false
	r.fence = Fence{}
	r.machine = delivery.NewJob(r.job, r.deps.Self, r.stalenessBound())
	r.bodies = map[string][]byte{}
	r.postedDigests = map[delivery.TrainerRequestID]string{}
	r.plan = nil
	r.planDigest = ""
	r.loading = false
	r.schedule = newSchedule(r.options.concurrency)
}

func (r *runner) run(ctx context.Context) {
	defer close(r.done)
	defer func() { r.stopTasks() }()
	interval := idleInterval
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
		r.continueStep(time.Now())
		r.publishStatus()
		select {
		case <-ctx.Done():
			r.refusePending()
			return
		case m := <-r.inbox:
			// The process may have been paused while it waited here. What it knew about an outage before the pause
			// no longer justifies serving the message without the platform.
			r.checkOutage(time.Now())
			m.apply(r)
			r.drainInbox()
		case <-changed:
		case now := <-ticker.C:
			r.tick(now)
		}
	}
}

// interval returns the time between two ticks.
func (r *runner) interval() time.Duration {
	if r.active {
		return tickInterval
	}
	return idleInterval
}

// drainInbox applies the other messages in the inbox. Under load, many messages then share the pass over all samples
// that follows.
func (r *runner) drainInbox() {
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
	r.handle(delivery.StalenessBoundChanged{Bound: r.stalenessBound()})
	if r.active && now.Sub(r.lastProbe) >= probeInterval {
		r.lastProbe = now
		r.handle(delivery.Ticked{})
	}
}

// checkOutage tells the state machine whether the job may continue without the platform.
//
// It guards against this failure: a host that was paused, or that can't reach the platform while others can, is
// replaced without noticing, and continues to serve the job when it finds the platform down. Another host can take the
// lease only through the platform, and only after this host's last known term has ended. If nobody is known to have
// reached the platform since then, no other host holds the lease.
func (r *runner) checkOutage(now time.Time) {
	established := r.deps.Outage == nil
	if !established {
		reached, down := r.deps.Outage(now)
		established = down && beforeOnBothClocks(reached, r.fence.Deadline)
	}
	if established == r.outage {
		return
	}
	r.outage = established
	r.handle(delivery.OutageChanged{Established: established})
}

// beforeOnBothClocks reports whether a is before b on both the monotonic and the wall clock. The monotonic clock may stop
// while the machine is suspended, and the wall clock may be stepped.
func beforeOnBothClocks(a, b time.Time) bool {
	return a.Before(b) && a.Round(0).Before(b.Round(0))
}

// checkLease tells the state machine about changes of the lease. A new fencing number that is seen before the deadline of
// the previous one is a renewal, because no other host can have held the lease in between.
func (r *runner) checkLease(now time.Time) {
	fence, held := r.lease.Held(now)
	if !held {
		r.checkLeaseLoss()
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

func (r *runner) checkLeaseLoss() {
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

// handle passes an event to the state machine and executes the effects.
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

// forgetBody discards the body of a post that did not become the current step, so that refused posts use no memory.
func (r *runner) forgetBody(id delivery.TrainerRequestID) {
	digest, posted := r.postedDigests[id]
	if !posted {
		return
	}
	delete(r.postedDigests, id)
	if step := r.machine.Step(); step == nil || step.Digest != digest {
		delete(r.bodies, digest)
	}
}

// refusePending refuses all requests that still wait when the process ends.
func (r *runner) refusePending() {
	for id, answers := range r.answers {
		delete(r.answers, id)
		answers <- delivery.Refused{Refusal: refusalLeaving(r.job)}
	}
}

// continueStep loads the body of the current step if it is unknown, and otherwise starts samples.
func (r *runner) continueStep(now time.Time) {
	step := r.machine.Step()
	if !r.active || step == nil {
		return
	}
	if r.plan == nil || r.planStep != step.Step || r.planDigest != step.Digest {
		r.loadPlan(step)
		return
	}
	r.schedule.startSamples(now, r)
}

func (r *runner) loadPlan(step *delivery.StepRecord) {
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
	r.storage <- cleanOperation{beforeStep: step}
}

func (r *runner) publishStatus() {
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

// post sends a message to the control goroutine. It returns false if that goroutine or the context has ended.
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

// locateCoordinator reports whether this host may serve the job, and otherwise the holder of the lease if known. This
// host may serve if it holds the lease, or if it held it last and has seen no other holder, as in an outage of the
// platform.
func (r *runner) locateCoordinator(now time.Time) (local bool, holder netip.AddrPort, known bool) {
	if _, held := r.lease.Held(now); held {
		return true, netip.AddrPort{}, true
	}
	holder, known = r.lease.Holder()
	if known && holder != r.deps.Self {
		return false, holder, true
	}
	return r.status.Load().Active, netip.AddrPort{}, false
}

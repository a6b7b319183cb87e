package trainer

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
)

const (
	// defaultConcurrency is how many samples of a job are in work at a time. Ten engines that batch
	// continuously take some tens of streams each, shared by several trainers.
	defaultConcurrency = 64
	jobsInterval       = 500 * time.Millisecond
)

// Coordinator serves the trainer API and coordinates the jobs whose lease this host holds.
type Coordinator struct {
	deps    Deps
	options options
	shelf   *shelf
	metrics *metrics
	asked   atomic.Uint64
	work    conc.WaitGroup
	// leaving is closed when the context ends.
	leaving <-chan struct{}
	// runners is replaced as a whole by the control goroutine.
	runners atomic.Pointer[map[string]*runner]
}

type options struct {
	concurrency  int
	shelfBytes   int
	contentGrace time.Duration
	registerer   prometheus.Registerer
}

// Option changes a Coordinator.
type Option func(*options)

// WithConcurrency sets how many samples of one job are in work at a time.
func WithConcurrency(samples int) Option {
	return func(o *options) { o.concurrency = samples }
}

// WithShelfBytes bounds the memory for finished samples, own and copied, in bytes.
func WithShelfBytes(limit int) Option {
	return func(o *options) { o.shelfBytes = limit }
}

// WithContentGrace sets how long a batch's content may be unreachable before the batch is made anew.
func WithContentGrace(grace time.Duration) Option {
	return func(o *options) { o.contentGrace = grace }
}

// WithRegisterer registers the metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(o *options) { o.registerer = registerer }
}

// New returns a coordinator that runs until the context ends.
func New(ctx context.Context, deps Deps, opts ...Option) *Coordinator {
	c := &Coordinator{
		deps:    deps,
		leaving: ctx.Done(),
		options: options{
			concurrency:  defaultConcurrency,
			shelfBytes:   defaultShelfBytes,
			contentGrace: contentGrace,
		},
	}
	for _, opt := range opts {
		opt(&c.options)
	}
	c.shelf = newShelf(c.options.shelfBytes)
	c.metrics = newMetrics(c.options.registerer)
	c.runners.Store(&map[string]*runner{})
	c.work.Go(func() { c.run(ctx) })
	return c
}

// Wait returns once all goroutines have ended, after the context has.
func (c *Coordinator) Wait() { c.work.Wait() }

// run keeps one runner for each configured job.
func (c *Coordinator) run(ctx context.Context) {
	stops := map[string]context.CancelFunc{}
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	ticker := time.NewTicker(jobsInterval)
	defer ticker.Stop()
	for {
		c.follow(ctx, stops)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Coordinator) follow(ctx context.Context, stops map[string]context.CancelFunc) {
	view := c.deps.View()
	runners := maps.Clone(*c.runners.Load())
	for _, job := range view.TrainerJobs() {
		if _, running := runners[job.Name]; running {
			continue
		}
		jobContext, stop := context.WithCancel(ctx)
		stops[job.Name] = stop
		runners[job.Name] = newRunner(jobContext, job.Name, c, &c.work)
	}
	for name := range runners {
		if _, configured := view.TrainerJob(name); configured {
			continue
		}
		stops[name]()
		delete(stops, name)
		delete(runners, name)
	}
	c.runners.Store(&runners)
	c.shelf.retain(func(job string) bool {
		_, configured := view.TrainerJob(job)
		return configured
	})
}

func (c *Coordinator) runner(job string) (*runner, bool) {
	r, ok := (*c.runners.Load())[job]
	return r, ok
}

// coordinatorState is the dump.
type coordinatorState struct {
	Jobs  []*runnerStatus `json:"jobs"`
	Shelf shelfState      `json:"copies"`
}

// State returns the dump; it holds no key material and no prompts.
func (c *Coordinator) State() any {
	runners := *c.runners.Load()
	state := coordinatorState{Jobs: []*runnerStatus{}, Shelf: c.shelf.state()}
	for _, name := range slices.Sorted(maps.Keys(runners)) {
		state.Jobs = append(state.Jobs, runners[name].status.Load())
	}
	return state
}

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
	// defaultConcurrency is how many samples of one job are processed at a time. Ten engines with continuous
	// batching serve some tens of streams each, and several trainers share them.
	defaultConcurrency = 64
	// jobsInterval is how often the configured jobs are compared with the running ones.
	jobsInterval = 500 * time.Millisecond
)

// Coordinator serves the trainer API and coordinates the jobs whose lease this host holds.
type Coordinator struct {
	deps          Deps
	options       options
	contentStore  *contentStore
	metrics       *metrics
	lastRequestID atomic.Uint64
	goroutines    conc.WaitGroup
	// stopping is closed when the context ends.
	stopping <-chan struct{}
	// runners maps job names to runners. The goroutine of run replaces the whole map; readers never lock.
	runners atomic.Pointer[map[string]*runner]
}

type options struct {
	concurrency  int
	contentBytes int
	contentGrace time.Duration
	registerer   prometheus.Registerer
}

// Option configures a Coordinator.
type Option func(*options)

// WithConcurrency sets how many samples of one job are processed at a time.
func WithConcurrency(samples int) Option {
	return func(o *options) { o.concurrency = samples }
}

// WithContentBytes limits the memory for finished samples, including copies for other hosts, in bytes.
func WithContentBytes(limit int) Option {
	return func(o *options) { o.contentBytes = limit }
}

// WithContentGrace sets how long the content of a batch may be unreachable before the batch is generated again.
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
		deps:     deps,
		stopping: ctx.Done(),
		options: options{
			concurrency:  defaultConcurrency,
			contentBytes: defaultContentBytes,
			contentGrace: defaultContentGrace,
		},
	}
	for _, opt := range opts {
		opt(&c.options)
	}
	c.contentStore = newContentStore(c.options.contentBytes)
	c.metrics = newMetrics(c.options.registerer)
	c.runners.Store(&map[string]*runner{})
	c.goroutines.Go(func() { c.run(ctx) })
	return c
}

// Wait blocks until all goroutines have ended, which they do after the context ends.
func (c *Coordinator) Wait() { c.goroutines.Wait() }

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
		c.updateRunners(ctx, stops)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateRunners starts runners for newly configured jobs, and stops those of removed jobs.
func (c *Coordinator) updateRunners(ctx context.Context, stops map[string]context.CancelFunc) {
	view := c.deps.View()
	runners := maps.Clone(*c.runners.Load())
	for _, job := range view.TrainerJobs() {
		if _, running := runners[job.Name]; running {
			continue
		}
		jobContext, stop := context.WithCancel(ctx)
		stops[job.Name] = stop
		runners[job.Name] = newRunner(jobContext, job.Name, c, &c.goroutines)
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
	c.contentStore.retain(func(job string) bool {
		_, configured := view.TrainerJob(job)
		return configured
	})
}

func (c *Coordinator) runner(job string) (*runner, bool) {
	r, ok := (*c.runners.Load())[job]
	return r, ok
}

// coordinatorState is the debug state of a coordinator.
type coordinatorState struct {
	Jobs         []*runnerStatus   `json:"jobs"`
	ContentStore contentStoreState `json:"copies"`
}

// State returns the debug state. It contains no key material and no prompts.
func (c *Coordinator) State() any {
	runners := *c.runners.Load()
	state := coordinatorState{Jobs: []*runnerStatus{}, ContentStore: c.contentStore.state()}
	for _, name := range slices.Sorted(maps.Keys(runners)) {
		state.Jobs = append(state.Jobs, runners[name].status.Load())
	}
	return state
}

// Package agent is the process beside a backend server, and the only one that talks to it. It holds
// the bounded fair queue, the record of what ran, the concurrency limit, the usage counts, the weight
// orders and the drain of that server.
//
// One goroutine owns the control state; the goroutines of requests hand it steps and read immutable
// snapshots. No key material reaches the backend server: the agent knows only hashes of keys, lets an
// allow-list of headers pass, and takes out anything that is a known key.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// The methods that an agent serves.
const (
	MethodExecute peer.Method = "execute"
	MethodSettle  peer.Method = "settle"
	MethodProbe   peer.Method = "probe"
	MethodLeave   peer.Method = "leave"
)

const (
	defaultConcurrency = 8
	defaultUsageWindow = time.Hour
	// tick is how often deadlines in the queue are looked at: a request that can't be answered in
	// time any more is refused within this time.
	tick = 50 * time.Millisecond
	// expireInterval is how often the records forget.
	expireInterval = 10 * time.Second
	// loadInterval keeps the engine's report as fresh as its own lag allows.
	loadInterval = 500 * time.Millisecond
)

// Errors of New.
var (
	ErrConfig = errors.New("agent configuration")
	// ErrEnded: the agent has ended.
	ErrEnded = errors.New("agent has ended")
)

// Config says which backend server the agent serves.
type Config struct {
	HostID           string
	AvailabilityZone string
	Pool             string
	ServerURL        string
	// Incarnation is the random number of this process; it names the agent's usage counters.
	Incarnation uint64
	// UsageWindow is the length of a usage window; 0 is an hour.
	UsageWindow time.Duration
	// PrefetchSpread spreads the prefetches of a pool's agents, so that the weight store isn't asked by
	// all at once; 0 is none.
	PrefetchSpread time.Duration
}

// Dependencies are what the agent needs from the rest of its process.
type Dependencies struct {
	// View returns the newest configuration; Changed is closed at its next change.
	View    func() *ticket.View
	Changed func() <-chan struct{}
	// Fresh says whether the view was confirmed lately; nil is always. An agent that is cut off may
	// have missed a withdrawn key, and starts nothing.
	Fresh func(now time.Time) bool
	// Server is the backend server; nil is the one at Config.ServerURL.
	Server Server
	// Engine is the control side of a model engine; nil for other servers.
	Engine Engine
	Ledger *usage.Ledger
	// Registerer takes the metrics; nil is none.
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Agent serves the requests of entries at one backend server.
type Agent struct {
	config  Config
	deps    Dependencies
	ctx     context.Context
	steps   chan func(now time.Time)
	control *control
	load    atomic.Pointer[request.Load]
	// process is the incarnation that the peer server of this process announces.
	process atomic.Uint64
	weights *weights
	// prefixes is nil unless the engine publishes its prefix cache.
	prefixes *prefixes
	metrics  *metrics
	wg       *conc.WaitGroup
}

// New starts an agent, which ends with ctx.
func New(ctx context.Context, config Config, deps Dependencies) (*Agent, error) {
	if err := complete(&config, &deps); err != nil {
		return nil, err
	}
	a := &Agent{
		config: config,
		deps:   deps,
		ctx:    ctx,
		steps:  make(chan func(time.Time)),
		wg:     conc.NewWaitGroup(),
	}
	a.weights = newWeights(config, deps)
	a.metrics = newMetrics(deps.Registerer, a.Load)
	a.control = newControl(config, deps)
	a.publish(time.Now())
	a.wg.Go(a.run)
	if deps.Engine != nil {
		a.wg.Go(func() { a.weights.run(ctx) })
		a.wg.Go(func() { a.weights.poll(ctx) })
	}
	if source, ok := deps.Engine.(PrefixSource); ok {
		a.prefixes = newPrefixes(source)
		a.wg.Go(func() { a.prefixes.run(ctx, a.weights.serves) })
	}
	return a, nil
}

func complete(config *Config, deps *Dependencies) error {
	if config.Pool == "" || config.HostID == "" {
		return errors.Wrap(ErrConfig, "host id and pool are needed")
	}
	if deps.View == nil || deps.Changed == nil || deps.Ledger == nil {
		return errors.Wrap(ErrConfig, "view, changes and ledger are needed")
	}
	if deps.Server == nil {
		return errors.Wrap(ErrConfig, "a backend server is needed")
	}
	if deps.Fresh == nil {
		deps.Fresh = func(time.Time) bool { return true }
	}
	if config.UsageWindow == 0 {
		config.UsageWindow = defaultUsageWindow
	}
	return nil
}

// Register makes the agent's methods known to the process's peer server.
func (a *Agent) Register(r *peer.Registry) {
	a.process.Store(r.Incarnation())
	peer.HandleStream(r, MethodExecute, a.Execute)
	peer.Handle(r, MethodSettle, a.settle)
	peer.Handle(r, MethodProbe, a.probe)
	peer.Handle(r, MethodLeave, a.leave)
}

// run is the control goroutine: it alone touches the control state.
func (a *Agent) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		changed := a.deps.Changed()
		a.control.viewChanged(time.Now())
		if !a.serve(changed, ticker.C, expire.C) {
			return
		}
	}
}

// serve runs steps until the configuration changes; false when the agent ends.
func (a *Agent) serve(changed <-chan struct{}, tick, expire <-chan time.Time) bool {
	for {
		select {
		case <-a.ctx.Done():
			return false
		case <-changed:
			return true
		case step := <-a.steps:
			step(time.Now())
		case now := <-tick:
			a.control.checkIsolation(now)
			a.control.expireQueue(now)
		case now := <-expire:
			a.control.expireRecords(now)
		}
		a.publish(time.Now())
	}
}

// do runs a step on the control goroutine and returns when it is done; false when the agent ends.
func (a *Agent) do(step func(now time.Time)) bool {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(done)
		step(now)
	}
	select {
	case a.steps <- wrapped:
		<-done
		return true
	case <-a.ctx.Done():
		return false
	}
}

func (a *Agent) probe(_ context.Context, q request.Probe) (request.Load, error) {
	load := a.Load()
	ok := a.do(func(now time.Time) { load.Wait = a.control.wait(now, q.Organisation) })
	if !ok {
		return load, ErrEnded
	}
	load.PrefixCached = a.prefixes != nil && a.prefixes.cached(q.PrefixHash)
	return load, nil
}

func (a *Agent) publish(now time.Time) {
	load := a.control.load(now)
	a.load.Store(&load)
}

// Load returns the last published load; Wait is that of an organisation with nothing queued.
func (a *Agent) Load() request.Load {
	load := *a.load.Load()
	load.Version = a.weights.version()
	load.Prefetched = a.weights.prefetched()
	load.Revision = a.deps.View().Revision()
	return load
}

// Drain takes no new requests, and returns once those that are queued or running have ended.
// It returns the context's error if that ends first; nothing is cut off in that case either.
func (a *Agent) Drain(ctx context.Context) error {
	var drained <-chan struct{}
	if !a.do(func(time.Time) { drained = a.control.leave() }) {
		return ErrEnded
	}
	select {
	case <-drained:
		return nil
	case <-a.ctx.Done():
		return ErrEnded
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain agent")
	}
}

// Wait returns when the agent's goroutines have ended, after its context has.
func (a *Agent) Wait() { a.wg.Wait() }

// Package agent implements the process that runs beside a backend server and is the only one that calls it.
// The agent queues requests fairly and within bounds, limits concurrency, records which requests have run, counts
// usage, updates the weights of a model engine and drains the server before it stops.
//
// One goroutine, the control loop, owns the control state. Other goroutines send it functions to run and read
// immutable snapshots. No API key reaches the backend server: the agent has only hashes of keys, forwards only
// headers on an allow-list, and removes every value that is a known key.
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

// Peer methods of an agent.
const (
	MethodExecute peer.Method = "execute"
	MethodSettle  peer.Method = "settle"
	MethodProbe   peer.Method = "probe"
	MethodDrain   peer.Method = "leave"
)

const (
	defaultConcurrency = 8
	defaultUsageWindow = time.Hour
	// queueCheckInterval is how often the deadlines of queued requests are checked. A request that can't be
	// answered in time any more is refused within this interval.
	queueCheckInterval = 50 * time.Millisecond
	// recordExpiryInterval is how often expired request records and idempotency keys are removed.
	recordExpiryInterval = 10 * time.Second
	// enginePollInterval is how often the engine's load is read. It keeps the last report about as recent as the
	// report's own lag allows.
	enginePollInterval = 500 * time.Millisecond
)

// Errors of the agent.
var (
	// ErrConfig is returned if a required field of Config or Dependencies is missing.
	ErrConfig = errors.New("invalid agent configuration")
	// ErrStopped is returned if the agent has stopped.
	ErrStopped = errors.New("agent has ended")
)

// Config identifies the agent and its backend server.
type Config struct {
	HostID           string
	AvailabilityZone string
	Pool             string
	ServerURL        string
	// Incarnation is the random number of this process. It identifies the agent's usage counters.
	Incarnation uint64
	// UsageWindow is the length of a usage window; 0 means one hour.
	UsageWindow time.Duration
	// PrefetchSpread is the interval over which the agents of a pool spread their prefetches, so that they don't
	// load from the weight store all at once; 0 means no spread.
	PrefetchSpread time.Duration
}

// Dependencies are the parts of the process that the agent uses.
type Dependencies struct {
	// View returns the newest configuration. Changed returns a channel that is closed at the next change.
	View    func() *ticket.View
	Changed func() <-chan struct{}
	// Fresh reports whether the configuration was confirmed recently; nil means always. An agent that is cut off
	// from its peers may have missed the withdrawal of a key, so it starts no requests.
	Fresh func(now time.Time) bool
	// Server is the client of the backend server. It is required.
	Server Server
	// Engine is the control interface of a model engine; nil for other backend servers.
	Engine Engine
	Ledger *usage.Ledger
	// Registerer registers the metrics; nil means that none are exported.
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Agent runs the requests of entries at one backend server.
type Agent struct {
	config  Config
	deps    Dependencies
	ctx     context.Context
	actions chan func(now time.Time)
	control *control
	load    atomic.Pointer[request.Load]
	// processIncarnation is the incarnation that the peer server of this process sends in its handshakes.
	processIncarnation atomic.Uint64
	weights            *weightManager
	// prefixes is nil unless the engine publishes its prefix cache.
	prefixes *prefixHints
	metrics  *metrics
	wg       *conc.WaitGroup
}

// New starts an agent, which stops when ctx ends. It returns ErrConfig if a required field is missing.
func New(ctx context.Context, config Config, deps Dependencies) (*Agent, error) {
	if err := checkAndSetDefaults(&config, &deps); err != nil {
		return nil, err
	}
	a := &Agent{
		config:  config,
		deps:    deps,
		ctx:     ctx,
		actions: make(chan func(time.Time)),
		wg:      conc.NewWaitGroup(),
	}
	a.weights = newWeightManager(config, deps)
	a.metrics = newMetrics(deps.Registerer, a.Load)
	a.control = newControl(config, deps)
	a.publishLoad(time.Now())
	a.wg.Go(a.runControlLoop)
	if deps.Engine != nil {
		a.wg.Go(func() { a.weights.run(ctx) })
		a.wg.Go(func() { a.weights.pollLoad(ctx) })
	}
	if source, ok := deps.Engine.(PrefixSource); ok {
		a.prefixes = newPrefixHints(source)
		a.wg.Go(func() { a.prefixes.run(ctx, a.weights.servesModel) })
	}
	return a, nil
}

func checkAndSetDefaults(config *Config, deps *Dependencies) error {
	if config.Pool == "" || config.HostID == "" {
		return errors.Wrap(ErrConfig, "host ID and pool are required")
	}
	if deps.View == nil || deps.Changed == nil || deps.Ledger == nil {
		return errors.Wrap(ErrConfig, "view, change notification and ledger are required")
	}
	if deps.Server == nil {
		return errors.Wrap(ErrConfig, "a backend server is required")
	}
	if deps.Fresh == nil {
		deps.Fresh = func(time.Time) bool { return true }
	}
	if config.UsageWindow == 0 {
		config.UsageWindow = defaultUsageWindow
	}
	return nil
}

// Register registers the agent's methods with the peer server of the process.
func (a *Agent) Register(r *peer.Registry) {
	a.processIncarnation.Store(r.Incarnation())
	peer.HandleStream(r, MethodExecute, a.Execute)
	peer.Handle(r, MethodSettle, a.handleSettle)
	peer.Handle(r, MethodProbe, a.handleProbe)
	peer.Handle(r, MethodDrain, a.handleDrain)
}

// runControlLoop runs the control loop, the only goroutine that accesses the control state.
func (a *Agent) runControlLoop() {
	queueTicker := time.NewTicker(queueCheckInterval)
	defer queueTicker.Stop()
	expiryTicker := time.NewTicker(recordExpiryInterval)
	defer expiryTicker.Stop()
	for {
		changed := a.deps.Changed()
		a.control.applyView(time.Now())
		if !a.runUntilViewChange(changed, queueTicker.C, expiryTicker.C) {
			return
		}
	}
}

// runUntilViewChange runs actions until the configuration changes. It returns false if the agent stops.
func (a *Agent) runUntilViewChange(changed <-chan struct{}, checkQueue, expireRecords <-chan time.Time) bool {
	for {
		select {
		case <-a.ctx.Done():
			return false
		case <-changed:
			return true
		case action := <-a.actions:
			action(time.Now())
		case now := <-checkQueue:
			a.control.enforceIsolation(now)
			a.control.expireQueue(now)
		case now := <-expireRecords:
			a.control.expireRecords(now)
		}
		a.publishLoad(time.Now())
	}
}

// runOnControlLoop runs an action on the control loop and waits for it. It returns false if the agent stops.
func (a *Agent) runOnControlLoop(action func(now time.Time)) bool {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(done)
		action(now)
	}
	select {
	case a.actions <- wrapped:
		<-done
		return true
	case <-a.ctx.Done():
		return false
	}
}

func (a *Agent) handleProbe(_ context.Context, req request.Probe) (request.Load, error) {
	load := a.Load()
	ok := a.runOnControlLoop(func(now time.Time) { load.Wait = a.control.estimateWait(now, req.Organisation) })
	if !ok {
		return load, ErrStopped
	}
	load.PrefixCached = a.prefixes != nil && a.prefixes.cached(req.PrefixHash)
	return load, nil
}

func (a *Agent) publishLoad(now time.Time) {
	load := a.control.load(now)
	a.load.Store(&load)
}

// Load returns the last published load. Its Wait is the estimate for an organisation with no queued requests.
func (a *Agent) Load() request.Load {
	load := *a.load.Load()
	load.Version = a.weights.servedVersion()
	load.Prefetched = a.weights.prefetchedVersion()
	load.Revision = a.deps.View().Revision()
	return load
}

// Drain stops accepting requests and waits until all queued and running ones have ended. It returns the
// error of ctx if ctx ends first; requests are not interrupted in that case either.
func (a *Agent) Drain(ctx context.Context) error {
	var drained <-chan struct{}
	if !a.runOnControlLoop(func(time.Time) { drained = a.control.startDrain() }) {
		return ErrStopped
	}
	select {
	case <-drained:
		return nil
	case <-a.ctx.Done():
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain agent")
	}
}

// Wait waits until the agent's goroutines have ended; they end when the context of New does.
func (a *Agent) Wait() { a.wg.Wait() }

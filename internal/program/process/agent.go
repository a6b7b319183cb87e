package process

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/admin"
	"github.com/oleandershelf/oleandershelf/internal/edge/agent"
	"github.com/oleandershelf/oleandershelf/internal/edge/billing"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// Agent is a running agent process.
type Agent struct {
	runtime   *runtime
	cancel    context.CancelFunc
	follower  *configuration.Follower
	freshness *freshnessLogger
	agent     *agent.Agent
	usage     *billing.Collector
	counters  *usage.Ledger
	peers     *peer.Server
	admin     *admin.Server
}

// RunAgent runs the agent until ctx ends, then drains it.
func RunAgent(ctx context.Context, set settings.Settings, log zerolog.Logger) error {
	p, err := StartAgent(context.WithoutCancel(ctx), set, log)
	if err != nil {
		return err
	}
	return serve(ctx, p, set, log)
}

// StartAgent starts an agent. It runs until Close is called or ctx ends.
func StartAgent(ctx context.Context, set settings.Settings, log zerolog.Logger) (*Agent, error) {
	ctx, cancel := context.WithCancel(ctx)
	p, err := newAgent(ctx, set, log)
	if err != nil {
		cancel()
		return nil, err
	}
	p.cancel = cancel
	return p, nil
}

func newAgent(ctx context.Context, set settings.Settings, log zerolog.Logger) (*Agent, error) {
	r, err := newRuntime(ctx, set, log)
	if err != nil {
		return nil, err
	}
	p := &Agent{runtime: r}
	p.follower = r.newFollower(ctx)
	p.freshness = newFreshnessLogger(ctx, p.follower, log)
	server := newBackendServer(set.ServerURL)
	p.counters = usage.NewLedger()
	p.usage = r.newAgentCollector(ctx, p.counters)
	p.agent, err = agent.New(ctx, agent.Config{
		HostID:           set.HostID,
		AvailabilityZone: set.AvailabilityZone,
		Pool:             set.Pool,
		ServerURL:        set.ServerURL,
		Incarnation:      r.incarnation,
		UsageWindow:      set.UsageWindow,
		PrefetchSpread:   set.WeightSpread,
	}, agent.Dependencies{
		View:       p.follower.View,
		Changed:    p.follower.Changed,
		Fresh:      p.follower.Fresh,
		Server:     server,
		Engine:     newEngine(p.follower.View, set.Pool, set.ServerURL),
		Ledger:     p.counters,
		Registerer: r.registry,
		Logger:     log,
	})
	if err != nil {
		return nil, err
	}
	p.agent.Register(r.peers)
	r.registerHostMetrics(p.follower, p.usage)
	if p.peers, err = r.servePeers(ctx); err != nil {
		return nil, err
	}
	p.admin, err = r.serveAdmin(ctx, p.follower, map[string]admin.Dump{
		"agent": p.agent.State,
		"usage": func() any { return p.usage.State() },
	})
	if err != nil {
		return nil, err
	}
	p.admin.SetReady(true)
	return p, nil
}

func (p *Agent) drain(ctx context.Context) error {
	p.admin.SetReady(false)
	if err := p.agent.Drain(ctx); err != nil {
		return err
	}
	// A relay may not gather from this host again before it stops, so the host writes its counts itself.
	p.usage.Merge(p.counters.Counts()...)
	p.runtime.storeOrHandOverUsage(ctx, p.usage)
	return p.peers.Drain(ctx)
}

// Drain stops the agent's work without interrupting requests.
func (p *Agent) Drain(ctx context.Context) error { return p.drain(ctx) }

// Close stops all goroutines of the process at once.
func (p *Agent) Close() { p.close() }

func (p *Agent) close() {
	p.cancel()
	closePeers(p.runtime.server, p.runtime.log)
	p.agent.Wait()
	p.admin.Wait()
	p.freshness.wait()
	p.runtime.client.Wait()
}

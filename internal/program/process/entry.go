package process

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/edge/admin"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/entry"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/trainer"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// Entry is a running entry process with its duties.
type Entry struct {
	runtime   *runtime
	cancel    context.CancelFunc
	follower  *configuration.Follower
	freshness *freshnessLogger
	publisher *configuration.Publisher
	entry     *entry.Entry
	trainers  *trainer.Coordinator
	duties    *duties
	weights   *weightSwitcher
	peers     *peer.Server
	admin     *admin.Server
}

// RunEntry runs the entry until ctx ends, then drains it.
func RunEntry(ctx context.Context, set settings.Settings, log zerolog.Logger) error {
	p, err := StartEntry(context.WithoutCancel(ctx), set, log)
	if err != nil {
		return err
	}
	return serve(ctx, p, set, log)
}

// StartEntry starts an entry. It runs until Close is called or ctx ends.
func StartEntry(ctx context.Context, set settings.Settings, log zerolog.Logger) (*Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	p, err := newEntry(ctx, set, log)
	if err != nil {
		cancel()
		return nil, err
	}
	p.cancel = cancel
	return p, nil
}

func newEntry(ctx context.Context, set settings.Settings, log zerolog.Logger) (*Entry, error) {
	r, err := newRuntime(ctx, set, log)
	if err != nil {
		return nil, err
	}
	p := &Entry{runtime: r}
	p.follower = r.newFollower(ctx)
	p.freshness = newFreshnessLogger(ctx, p.follower, log)
	p.publisher = configuration.NewPublisher(r.platform, configuration.WithFollower(p.follower))
	metrics := entry.NewMetrics(r.registry)
	p.duties = newDuties(ctx, r, p.follower)
	p.weights = newWeightSwitcher(ctx, r, p.follower, p.publisher, p.duties.keeper(ctx, dutyWeightSwitch, ""))
	r.registerHostMetrics(p.follower, p.duties.usage.collector)
	p.duties.registerDutyMetrics()
	dispatcher := entry.NewDispatcher(entry.DispatcherConfig{
		HostID:           set.HostID,
		AvailabilityZone: set.AvailabilityZone,
		Incarnation:      r.incarnation,
	}, r.client, r.members, func() uint64 { return p.follower.View().Revision() }, p.duties.addUsage, metrics)
	p.trainers = r.newCoordinator(ctx, p.duties.keepers, p.follower, p.publisher, entry.NewSampleGenerator(dispatcher, p.follower.View))
	refusedLoad := admission.NewRefusedLoad()
	serveRefusedLoad(r.peers, refusedLoad)
	if p.peers, err = r.servePeers(ctx); err != nil {
		return nil, err
	}
	listener, err := listen(ctx, "listen", set.Listen)
	if err != nil {
		return nil, err
	}
	p.entry = entry.New(ctx, listener, callerAccount(set, r.registry, log), entry.Config{
		HostID:            set.HostID,
		BodyLimitBytes:    set.BodyLimitBytes,
		OperatorKeyHashes: set.OperatorKeyHashes,
		Incarnation:       r.incarnation,
	}, entry.Deps{
		Views:       p.follower,
		Tickets:     tickets{p.publisher},
		Admission:   admission.New(),
		RefusedLoad: refusedLoad,
		Dispatcher:  dispatcher,
		Store:       r.platform,
		Trainers:    p.trainers,
		Log:         log,
	}, metrics)
	p.admin, err = r.serveAdmin(ctx, p.follower, map[string]admin.Dump{
		"entry":    p.entry.State,
		"trainers": p.trainers.State,
		"duties":   p.duties.state,
	})
	if err != nil {
		return nil, err
	}
	p.admin.SetReady(true)
	return p, nil
}

func (p *Entry) drain(ctx context.Context) error {
	p.admin.SetReady(false)
	if err := p.entry.Drain(ctx, p.runtime.set.LeaveDelay); err != nil {
		return err
	}
	p.runtime.storeOrHandOverUsage(ctx, p.duties.usage.collector)
	p.duties.release(ctx)
	return p.peers.Drain(ctx)
}

// Drain stops the entry's work without interrupting requests.
func (p *Entry) Drain(ctx context.Context) error { return p.drain(ctx) }

// Close stops all goroutines of the process at once.
func (p *Entry) Close() { p.close() }

func (p *Entry) close() {
	p.cancel()
	closePeers(p.runtime.server, p.runtime.log)
	p.entry.Wait()
	p.trainers.Wait()
	p.weights.wait()
	p.duties.wait()
	p.admin.Wait()
	p.freshness.wait()
	p.runtime.client.Wait()
}

// tickets adapts the publisher to the entry's HTTP server.
type tickets struct{ *configuration.Publisher }

// Status returns the status of a ticket.
func (t tickets) Status(ctx context.Context, number int) (any, error) {
	return t.Publisher.Status(ctx, number)
}

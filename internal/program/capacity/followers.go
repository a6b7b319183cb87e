package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const (
	measuredZone = "zone-01"
	// propagationTimeout is how long a ticket may take to reach all hosts before it counts as lost; the target is 5 s.
	propagationTimeout = 20 * time.Second
)

// followerExperiment measures the cost of the hosts of an availability zone that follow the configuration at one relay.
type followerExperiment struct{}

// Description implements Experiment.
func (followerExperiment) Description() Description {
	return Description{
		Name: "followers", SizeUnit: "follower",
		Notes: "Hosts that follow the configuration of 8 organisations at one relay by long polling; relay and followers together. " +
			"The time of a ticket is from its acceptance until the last follower has it: two hops, platform to relay to follower.",
	}
}

// Sizes implements Experiment.
func (followerExperiment) Sizes() []int { return []int{5, 20, 40, 60} }

// Measure implements Experiment.
func (followerExperiment) Measure(ctx context.Context, count int) ([]Metric, error) {
	ctx, cancel := context.WithCancel(ctx)
	group := &configurationGroup{store: standin.NewMemory()}
	defer func() {
		cancel()
		group.wait()
	}()
	number, err := applyWithFullDigests(ctx, group.store, newTicket(8, 1))
	if err != nil {
		return nil, err
	}
	memoryBefore := memoryInUse()
	if err := group.start(ctx, count); err != nil {
		return nil, err
	}
	if err := group.await(ctx, number); err != nil {
		return nil, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	memory := memoryInUse() - memoryBefore
	calls := group.store.Calls()[standin.KindWatch]
	observed, err := observe(ctx, &group.traffic, observationTime)
	if err != nil {
		return nil, err
	}
	watches := float64(group.store.Calls()[standin.KindWatch]-calls) / observed.seconds
	processorStart, bytes := processorTime(), group.traffic.bytes.Load()
	if err := configuration.NewPublisher(group.store).Apply(ctx, number+1, keyChangeTicket(number+1)); err != nil {
		return nil, err
	}
	accepted := time.Now()
	err = group.await(ctx, number+1)
	return []Metric{
		observed.processorMetric(),
		observed.bytesMetric(),
		{Name: nameMemory, Unit: unitBytes, Value: memory},
		{Name: "watches at the platform", Unit: unitCalls, Value: watches},
		{Name: "time of a ticket to the last", Unit: "ms", Value: float64(time.Since(accepted).Microseconds()) / 1e3},
		{Name: "processor time of a ticket", Unit: "µs", Value: float64((processorTime() - processorStart).Microseconds())},
		{Name: "bytes of a ticket", Unit: unitBytes, Value: float64(group.traffic.bytes.Load() - bytes)},
	}, err
}

// configurationGroup is a relay of the configuration with its followers.
type configurationGroup struct {
	relayGroup[*configuration.Follower]
	store   *standin.Memory
	traffic trafficCounter
	hosts   []platform.Host
}

// Entries implements configuration.HostDirectory.
func (g *configurationGroup) Entries() []platform.Host { return g.hosts }

// Hosts implements configuration.HostDirectory.
func (g *configurationGroup) Hosts() []platform.Host { return g.hosts }

func (g *configurationGroup) start(ctx context.Context, count int) error {
	l, err := g.traffic.listen(ctx)
	if err != nil {
		return err
	}
	g.hosts = []platform.Host{relayHost(l)}
	g.startAll(ctx, l, count, g.followerStarter(ctx))
	return nil
}

// followerStarter returns a function that starts the follower of the host with the given ID.
func (g *configurationGroup) followerStarter(ctx context.Context) func(id string, client *peer.Client) *configuration.Follower {
	return func(id string, client *peer.Client) *configuration.Follower {
		return configuration.NewFollower(ctx, g.store, configuration.WithRelays(
			configuration.NewPeerRelayClient(client), g, configuration.Self{HostID: id, AvailabilityZone: measuredZone}))
	}
}

// await waits until the ticket is in force on all members.
func (g *configurationGroup) await(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for _, follower := range g.members {
		for {
			changed := follower.Changed()
			if follower.View().LastTicket() >= number {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "ticket %d is not in force on all hosts", number)
			}
		}
	}
	return nil
}

// newTicket returns a ticket that creates organisations with the given number of keys each.
func newTicket(organisations, keys int) ticket.Ticket {
	t := ticket.Ticket{}
	for i := range organisations {
		t.Organisations = append(t.Organisations, newOrganisation(i, keys))
	}
	return t
}

func newOrganisation(number, keys int) ticket.Organisation {
	o := ticket.Organisation{Name: fmt.Sprintf("organisation-%04d", number), Weight: 1}
	for key := range keys {
		o.KeyHashes = append(o.KeyHashes, keyHash(fmt.Sprintf("key-%d-%d", number, key)))
	}
	return o
}

// keyChangeTicket returns a ticket that replaces the keys of the first organisation by a key that depends on the seed.
func keyChangeTicket(seed int) ticket.Ticket {
	o := newOrganisation(0, 1)
	o.KeyHashes = []string{keyHash(fmt.Sprintf("changed-%d", seed))}
	return ticket.Ticket{Organisations: []ticket.Organisation{o}}
}

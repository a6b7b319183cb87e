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
	// spreadLimit is when a ticket counts as lost; the target is 5 s.
	spreadLimit = 20 * time.Second
)

// followers is the cost of the hosts of an availability zone that follow one relay.
type followers struct{}

// About implements Slope.
func (followers) About() About {
	return About{
		Name: "followers", Axis: "follower",
		Notes: "Hosts that follow the configuration of 8 organisations at one relay by long poll; relay and followers together. " +
			"The time of a ticket is from its acceptance until the last follower has it: two hops, platform to relay to follower.",
	}
}

// Sizes implements Slope.
func (followers) Sizes() []int { return []int{5, 20, 40, 60} }

// Measure implements Slope.
func (followers) Measure(ctx context.Context, count int) ([]Figure, error) {
	ctx, cancel := context.WithCancel(ctx)
	zone := &followedZone{store: standin.NewMemory()}
	defer func() {
		cancel()
		zone.wait()
	}()
	number, err := applySteady(ctx, zone.store, ticketOf(8, 1))
	if err != nil {
		return nil, err
	}
	before := usedMemory()
	if err := zone.start(ctx, count); err != nil {
		return nil, err
	}
	if err := zone.await(ctx, number); err != nil {
		return nil, err
	}
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	memory := usedMemory() - before
	calls := zone.store.Calls()[standin.KindWatch]
	seen, err := observe(ctx, &zone.wire, window)
	if err != nil {
		return nil, err
	}
	watches := float64(zone.store.Calls()[standin.KindWatch]-calls) / seen.seconds
	used, bytes := usedTime(), zone.wire.bytes.Load()
	if err := configuration.NewPublisher(zone.store).Apply(ctx, number+1, changedKey(number+1)); err != nil {
		return nil, err
	}
	accepted := time.Now()
	err = zone.await(ctx, number+1)
	return []Figure{
		seen.processorFigure(),
		seen.bytesFigure(),
		{Name: nameMemory, Unit: unitBytes, Value: memory},
		{Name: "watches at the platform", Unit: unitCalls, Value: watches},
		{Name: "time of a ticket to the last", Unit: "ms", Value: float64(time.Since(accepted).Microseconds()) / 1e3},
		{Name: "processor time of a ticket", Unit: "µs", Value: float64((usedTime() - used).Microseconds())},
		{Name: "bytes of a ticket", Unit: unitBytes, Value: float64(zone.wire.bytes.Load() - bytes)},
	}, err
}

// followedZone is a relay with its followers.
type followedZone struct {
	followed[*configuration.Follower]
	store *standin.Memory
	wire  wire
	hosts []platform.Host
}

// Entries implements configuration.HostDirectory.
func (z *followedZone) Entries() []platform.Host { return z.hosts }

// Hosts implements configuration.HostDirectory.
func (z *followedZone) Hosts() []platform.Host { return z.hosts }

func (z *followedZone) start(ctx context.Context, count int) error {
	l, err := z.wire.listen(ctx)
	if err != nil {
		return err
	}
	z.hosts = []platform.Host{relayHost(l)}
	z.serve(ctx, l, count, z.follower(ctx))
	return nil
}

func (z *followedZone) follower(ctx context.Context) func(id string, client *peer.Client) *configuration.Follower {
	return func(id string, client *peer.Client) *configuration.Follower {
		return configuration.NewFollower(ctx, z.store, configuration.WithExchange(
			configuration.NewPeerExchange(client), z, configuration.Self{HostID: id, AvailabilityZone: measuredZone}))
	}
}

// await waits until the ticket is in force on all hosts.
func (z *followedZone) await(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	for _, follower := range z.parts {
		for {
			changed := follower.Changed()
			if follower.View().LastTicket() >= number {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "ticket %d is not in force everywhere", number)
			}
		}
	}
	return nil
}

// ticketOf creates organisations with so many keys each.
func ticketOf(organisations, keys int) ticket.Ticket {
	t := ticket.Ticket{}
	for i := range organisations {
		t.Organisations = append(t.Organisations, organisationOf(i, keys))
	}
	return t
}

func organisationOf(number, keys int) ticket.Organisation {
	o := ticket.Organisation{Name: fmt.Sprintf("organisation-%04d", number), Weight: 1}
	for key := range keys {
		o.KeyHashes = append(o.KeyHashes, keyHash(fmt.Sprintf("key-%d-%d", number, key)))
	}
	return o
}

// changedKey gives the first organisation another key.
func changedKey(seed int) ticket.Ticket {
	o := organisationOf(0, 1)
	o.KeyHashes = []string{keyHash(fmt.Sprintf("changed-%d", seed))}
	return ticket.Ticket{Organisations: []ticket.Organisation{o}}
}

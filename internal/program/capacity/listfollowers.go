package capacity

import (
	"context"
	"net/netip"

	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// designHosts is the number of hosts that the system is designed for.
const designHosts = 2580

// listFollowerExperiment measures the cost of the hosts that follow the host list at one relay.
type listFollowerExperiment struct{}

// Description implements Experiment.
func (listFollowerExperiment) Description() Description {
	return Description{
		Name: "listFollowers", SizeUnit: "follower",
		Notes: "Hosts that follow one relay for a host list of 2,580 rows that does not change; relay and followers together, over connections that carry nothing else.",
	}
}

// Sizes implements Experiment.
func (listFollowerExperiment) Sizes() []int { return []int{5, 20, 40, 60} }

// Measure implements Experiment.
func (listFollowerExperiment) Measure(ctx context.Context, count int) ([]Metric, error) {
	ctx, cancel := context.WithCancel(ctx)
	memoryBefore := memoryInUse()
	g := &hostListGroup{store: standin.NewMemory()}
	defer func() {
		cancel()
		g.wait()
	}()
	if err := g.start(ctx, count); err != nil {
		return nil, err
	}
	// The followers' first requests reach the relay before its next read of the list and are repeated after it.
	if err := pause(ctx, observationTime+settleTime); err != nil {
		return nil, err
	}
	memory := memoryInUse() - memoryBefore
	reads := g.store.Calls()[standin.KindHosts]
	observed, err := observe(ctx, &g.traffic, 2*observationTime)
	reads = g.store.Calls()[standin.KindHosts] - reads
	return []Metric{
		observed.processorMetric(),
		observed.bytesMetric(),
		{Name: nameMemory, Unit: unitBytes, Value: memory},
		{Name: "reads of the platform by all", Unit: unitCalls, Value: float64(reads) / observed.seconds},
	}, err
}

// hostListGroup is a relay of the host list with its followers.
type hostListGroup struct {
	relayGroup[*membership.List]
	store   *standin.Memory
	traffic trafficCounter
}

// start starts the group. The only entry in the host list is the relay of all followers.
func (g *hostListGroup) start(ctx context.Context, count int) error {
	l, err := g.traffic.listen(ctx)
	if err != nil {
		return err
	}
	hosts := []platform.Host{relayHost(l)}
	for _, host := range generateHosts(designHosts-1, netip.AddrPortFrom(hosts[0].PeerAddress.Addr(), 1)) {
		host.Role, host.Pool = platform.RoleAgent, modelPool
		hosts = append(hosts, host)
	}
	g.store.SetHosts(hosts)
	for _, order := range agentOrders(hosts) {
		if err := g.store.Order(ctx, order); err != nil {
			return err
		}
	}
	g.startAll(ctx, l, count, func(id string, client *peer.Client) *membership.List {
		return membership.NewList(ctx, g.store, membership.WithRelays(membership.NewPeerRelayClient(client),
			membership.Self{HostID: id, AvailabilityZone: measuredZone}))
	})
	return nil
}

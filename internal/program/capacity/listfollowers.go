package capacity

import (
	"context"
	"net/netip"

	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// listRows is the length of the list at the size to design for.
const listRows = 2580

// listFollowers is the cost of the hosts that follow a relay for the host list.
type listFollowers struct{}

// About implements Slope.
func (listFollowers) About() About {
	return About{
		Name: "listFollowers", Axis: "follower",
		Notes: "Hosts that follow one relay for a host list of 2,580 rows that does not change; relay and followers together, over connections that carry nothing else.",
	}
}

// Sizes implements Slope.
func (listFollowers) Sizes() []int { return []int{5, 20, 40, 60} }

// Measure implements Slope.
func (listFollowers) Measure(ctx context.Context, count int) ([]Figure, error) {
	ctx, cancel := context.WithCancel(ctx)
	before := usedMemory()
	f := &followedList{store: standin.NewMemory()}
	defer func() {
		cancel()
		f.wait()
	}()
	if err := f.start(ctx, count); err != nil {
		return nil, err
	}
	// The first questions come before the relay's next read and are repeated after it.
	if err := pause(ctx, window+settle); err != nil {
		return nil, err
	}
	memory := usedMemory() - before
	reads := f.store.Calls()[standin.KindHosts]
	seen, err := observe(ctx, &f.wire, 2*window)
	reads = f.store.Calls()[standin.KindHosts] - reads
	return []Figure{
		seen.processorFigure(),
		seen.bytesFigure(),
		{Name: nameMemory, Unit: unitBytes, Value: memory},
		{Name: "reads of the platform by all", Unit: unitCalls, Value: float64(reads) / seen.seconds},
	}, err
}

// followedList is a relay with its followers.
type followedList struct {
	followed[*membership.List]
	store *standin.Memory
	wire  wire
}

// start makes the only entry of the list the relay of all followers.
func (f *followedList) start(ctx context.Context, count int) error {
	l, err := f.wire.listen(ctx)
	if err != nil {
		return err
	}
	hosts := []platform.Host{relayHost(l)}
	for _, host := range rowsOf(listRows-1, netip.AddrPortFrom(hosts[0].PeerAddress.Addr(), 1)) {
		host.Role, host.Pool = platform.RoleAgent, modelPool
		hosts = append(hosts, host)
	}
	f.store.SetHosts(hosts)
	for _, order := range ordersOf(hosts) {
		if err := f.store.Order(ctx, order); err != nil {
			return err
		}
	}
	f.serve(ctx, l, count, func(id string, client *peer.Client) *membership.List {
		return membership.NewList(ctx, f.store, membership.WithRelays(membership.NewPeerExchange(client),
			membership.Self{HostID: id, AvailabilityZone: measuredZone}))
	})
	return nil
}

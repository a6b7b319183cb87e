package process

import (
	"cmp"
	"context"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/entry"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/trainer"
)

// newCoordinator starts the coordinator of trainer jobs at this entry.
func (r *runtime) newCoordinator(ctx context.Context, keepers *keepers, follower *configuration.Follower, publisher *configuration.Publisher, generator *entry.SampleGenerator) *trainer.Coordinator {
	coordinator := trainer.New(ctx, trainer.Deps{
		Store:     r.platform,
		View:      func() trainer.Configuration { return follower.View() },
		Generator: generator,
		Scorer:    generator,
		Copier:    trainer.NewPeerCopier(r.client, r.copyHosts),
		Forwarder: trainer.NewPeerForwarder(r.client),
		Fresh:     follower.Fresh,
		Outage:    follower.Outage,
		Lease:     keepers.newJobLease,
		Self:      r.set.PeerListen,
		Secret:    []byte(r.set.PeerSecret),
		PublishModelVersion: func(ctx context.Context, version ticket.ModelVersion) error {
			// The first version of a model has nothing to serve beside it.
			if _, serving := follower.View().ModelVersion(version.Model); !serving {
				return publisher.PublishModelVersion(ctx, version)
			}
			return publisher.AnnounceModelVersion(ctx, version)
		},
	}, trainer.WithRegisterer(r.registry))
	coordinator.RegisterPeer(r.peers)
	return coordinator
}

// copyHosts returns the other live entries for copies of a job's samples, those of other availability
// zones first: a copy in the same zone would be lost with it.
func (r *runtime) copyHosts(job string) []netip.AddrPort {
	hosts := slices.Clone(r.members.Entries())
	hosts = slices.DeleteFunc(hosts, func(host platform.Host) bool {
		return host.ID == r.set.HostID || host.State != platform.HostLive
	})
	slices.SortFunc(hosts, func(a, b platform.Host) int {
		if near := cmp.Compare(r.near(a), r.near(b)); near != 0 {
			return near
		}
		return cmp.Compare(xxhash.Sum64String(job+"/"+a.ID), xxhash.Sum64String(job+"/"+b.ID))
	})
	addresses := make([]netip.AddrPort, 0, len(hosts))
	for _, host := range hosts {
		addresses = append(addresses, host.PeerAddress)
	}
	return addresses
}

// near is 1 for hosts of the own availability zone, 0 for others.
func (r *runtime) near(host platform.Host) int {
	if host.AvailabilityZone == r.set.AvailabilityZone {
		return 1
	}
	return 0
}

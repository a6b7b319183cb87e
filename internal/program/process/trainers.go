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

// newCoordinator starts this entry's coordinator of trainer jobs.
func (r *runtime) newCoordinator(ctx context.Context, keepers *keepers, follower *configuration.Follower,
	publisher *configuration.Publisher, generator *entry.SampleGenerator) *trainer.Coordinator {
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
			// The first version of a model is published at once, because no other version could be served meanwhile. Later
			// versions are announced first, so that the servers load them before they switch.
			if _, serving := follower.View().ModelVersion(version.Model); !serving {
				return publisher.PublishModelVersion(ctx, version)
			}
			return publisher.AnnounceModelVersion(ctx, version)
		},
	}, trainer.WithRegisterer(r.registry))
	coordinator.RegisterPeer(r.peers)
	return coordinator
}

// copyHosts returns the other live entries that may hold copies of a job's samples. Entries in other availability zones
// come first, because a copy in the same zone would be lost together with the original.
func (r *runtime) copyHosts(job string) []netip.AddrPort {
	hosts := slices.Clone(r.members.Entries())
	hosts = slices.DeleteFunc(hosts, func(host platform.Host) bool {
		return host.ID == r.set.HostID || host.State != platform.HostLive
	})
	slices.SortFunc(hosts, func(a, b platform.Host) int {
		if byZone := cmp.Compare(r.zoneRank(a), r.zoneRank(b)); byZone != 0 {
			return byZone
		}
		return cmp.Compare(xxhash.Sum64String(job+"/"+a.ID), xxhash.Sum64String(job+"/"+b.ID))
	})
	addresses := make([]netip.AddrPort, 0, len(hosts))
	for _, host := range hosts {
		addresses = append(addresses, host.PeerAddress)
	}
	return addresses
}

// zoneRank returns 1 for hosts in this host's availability zone and 0 for others.
func (r *runtime) zoneRank(host platform.Host) int {
	if host.AvailabilityZone == r.set.AvailabilityZone {
		return 1
	}
	return 0
}

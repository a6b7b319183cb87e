package process

import (
	"context"

	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
)

// newFollower starts to follow the configuration. If the host is a relay of its availability zone, it also relays the
// configuration to the others.
func (r *runtime) newFollower(ctx context.Context) *configuration.Follower {
	follower := configuration.NewFollower(ctx, r.platform,
		configuration.WithRelays(configuration.NewPeerRelayClient(r.client), r.members, configuration.Self{
			HostID:           r.set.HostID,
			AvailabilityZone: r.set.AvailabilityZone,
		}),
		configuration.WithLogger(r.log))
	follower.Register(r.peers)
	return follower
}

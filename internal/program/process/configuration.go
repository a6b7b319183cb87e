package process

import (
	"context"

	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
)

// newFollower follows the configuration, as a relay of its availability zone where the host is one.
func (r *runtime) newFollower(ctx context.Context) *configuration.Follower {
	follower := configuration.NewFollower(ctx, r.platform,
		configuration.WithExchange(configuration.NewPeerExchange(r.client), r.members, configuration.Self{
			HostID:           r.set.HostID,
			AvailabilityZone: r.set.AvailabilityZone,
		}),
		configuration.WithLogger(r.log))
	follower.Register(r.peers)
	return follower
}

package process

import (
	"context"

	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/entry"
	"github.com/oleandershelf/oleandershelf/internal/edge/trainer"
)

// newCoordinator starts the coordinator of trainer jobs at this entry.
func (r *runtime) newCoordinator(ctx context.Context, keepers *keepers, follower *configuration.Follower, publisher *configuration.Publisher, generator *entry.SampleGenerator) *trainer.Coordinator {
	return trainer.New(ctx, trainer.Deps{
		Store:     r.platform,
		View:      func() trainer.Configuration { return follower.View() },
		Generator: generator,
		Scorer:    generator,
		Lease: func(ctx context.Context, job string) trainer.Lease {
			return trainerLease{keepers.keeper(ctx, dutyTrainerJob+job, "")}
		},
		Self:                r.set.PeerListen,
		Secret:              []byte(r.set.PeerSecret),
		PublishModelVersion: publisher.PublishModelVersion,
	})
}

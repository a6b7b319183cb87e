package process

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// keeperAdapter adapts a keeper to users that need only the fencing number and the end of the lease's term.
type keeperAdapter struct{ *duty.Keeper }

// Held reports whether the duty is held at now, with the fencing number and the end of the term.
func (k keeperAdapter) Held(now time.Time) (platform.Version, time.Time, bool) {
	fence, ok := k.Keeper.Held(now)
	return fence.Number, fence.Deadline, ok
}

// dutyHolder describes this process as a holder of duties.
func (r *runtime) dutyHolder() duty.Holder {
	return duty.Holder{HostID: r.set.HostID, Address: r.set.PeerListen, Incarnation: r.incarnation}
}

// keeper returns a keeper that contends for the duty until ctx ends, whenever this host is one of the duty's contenders.
func (r *runtime) keeper(ctx context.Context, name, zone string) *duty.Keeper {
	return duty.NewKeeper(ctx, r.platform, name, r.dutyHolder(),
		duty.WithContendIf(func() bool { return r.isContender(name, zone) }))
}

package process

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// plainKeeper shows a keeper to parts that need only number and end of the term.
type plainKeeper struct{ *duty.Keeper }

// Held says whether the duty is held at now.
func (k plainKeeper) Held(now time.Time) (platform.Version, time.Time, bool) {
	fence, ok := k.Keeper.Held(now)
	return fence.Number, fence.Deadline, ok
}

// self is this process as the holder of a duty.
func (r *runtime) self() duty.Holder {
	return duty.Holder{HostID: r.set.HostID, Address: r.set.PeerListen, Incarnation: r.incarnation}
}

// keeper contends for the duty of that name until ctx ends, while this host is among the few that should.
func (r *runtime) keeper(ctx context.Context, name, zone string) *duty.Keeper {
	return duty.NewKeeper(ctx, r.platform, name, r.self(),
		duty.WithContendIf(func() bool { return r.isContender(name, zone) }))
}

package process

import (
	"context"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/trainer"
)

// plainKeeper shows a keeper to parts that need only number and end of the term.
type plainKeeper struct{ *duty.Keeper }

// Held says whether the duty is held at now.
func (k plainKeeper) Held(now time.Time) (platform.Version, time.Time, bool) {
	fence, ok := k.Keeper.Held(now)
	return fence.Number, fence.Deadline, ok
}

// trainerLease shows a keeper to the trainer coordinator.
type trainerLease struct{ *duty.Keeper }

// Held says whether the duty is held at now.
func (l trainerLease) Held(now time.Time) (trainer.Fence, bool) {
	fence, ok := l.Keeper.Held(now)
	return trainer.Fence{Number: fence.Number, Deadline: fence.Deadline}, ok
}

// Holder returns the peer address of the holder last seen.
func (l trainerLease) Holder() (netip.AddrPort, bool) {
	holder, ok := l.Keeper.Holder()
	return holder.Address, ok
}

// self is this process as the holder of a duty.
func (r *runtime) self() duty.Holder {
	return duty.Holder{HostID: r.set.HostID, Address: r.set.PeerListen, Incarnation: r.incarnation}
}

// keeper contends for the duty of that name until ctx ends, while this host is among the few that should.
func (r *runtime) keeper(ctx context.Context, name, zone string) *duty.Keeper {
	return duty.NewKeeper(ctx, r.platform, name, r.self(),
		duty.WithContendIf(func() bool { return isContender(name, r.set.HostID, r.entriesOf(zone)) }))
}

// entriesOf returns the ids of the live entries of a zone, or of all zones if zone is empty.
func (r *runtime) entriesOf(zone string) []string {
	ids := []string{}
	for _, host := range r.members.Entries() {
		if host.State == platform.HostLive && (zone == "" || host.AvailabilityZone == zone) {
			ids = append(ids, host.ID)
		}
	}
	return ids
}

package process

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/internal/edge/trainer"
)

const (
	methodDutyHolder peer.Method = "dutyHolder"
	// contenderCheckInterval is how often a host checks whether it has become a contender.
	contenderCheckInterval = 500 * time.Millisecond
	// holderPollInterval is how often an entry that isn't a contender asks for the holder while trainers' requests need
	// it. It then knows of a takeover within a third of a lease's term.
	holderPollInterval = 2 * time.Second
	// holderPollPeriod is how long an entry goes on to ask for the holder after a trainer's request needed it. A trainer's
	// long poll comes back about once a minute, and to any entry.
	holderPollPeriod = 10 * time.Second
	holderTimeout    = 300 * time.Millisecond
)

// holderRequest asks a contender for the holder of a duty.
type holderRequest struct {
	Duty string `msgpack:"d"`
}

// holderResponse contains the holder last seen. An invalid address means that no holder is known.
type holderResponse struct {
	Address netip.AddrPort `msgpack:"a"`
}

// jobLease is the lease of a trainer job as one entry sees it. Contenders maintain it through the platform. The other
// entries ask a contender for the holder, and only while a trainer's request needs it: if all 380 entries asked for each
// job, the job's first contender would receive 47 KB/s.
//
// Load: 18 jobs at 380 entries, and each trainer's requests reach any entry. If every entry watched every lease, each
// renewal would wake all of them: 18 x 380 / 2 s = 3,420 calls per second, and the platform accepts two thousand.
type jobLease struct {
	runtime *runtime
	keepers *keepers
	name    string
	keeper  atomic.Pointer[duty.Keeper]
	holder  atomic.Pointer[netip.AddrPort]
	changed atomic.Pointer[chan struct{}]
	// lastNeeded is when a trainer's request last needed the holder, in Unix nanoseconds.
	lastNeeded atomic.Int64
	// lastPoll is when the holder was last asked for. Only the goroutine that runs update uses it.
	lastPoll time.Time
}

// newJobLease tracks the lease until ctx ends.
func (k *keepers) newJobLease(ctx context.Context, job string) trainer.Lease {
	l := &jobLease{runtime: k.runtime, keepers: k, name: dutyTrainerJob + job}
	changed := make(chan struct{})
	l.changed.Store(&changed)
	k.work.Go(func() {
		l.update(ctx)
		ticker.Every(ctx, contenderCheckInterval, func(time.Time) { l.update(ctx) })
	})
	return l
}

func (l *jobLease) update(ctx context.Context) {
	if l.keeper.Load() != nil {
		return
	}
	if l.runtime.isContender(l.name, "") {
		l.keeper.Store(l.keepers.keeper(ctx, l.name, ""))
		l.notifyChange()
		return
	}
	needed := time.Since(time.Unix(0, l.lastNeeded.Load())) < holderPollPeriod
	if needed && time.Since(l.lastPoll) >= holderPollInterval {
		l.lastPoll = time.Now()
		l.findHolder(ctx)
	}
}

// notifyChange closes the channel that Changed returned, so that all waiters continue.
func (l *jobLease) notifyChange() {
	next := make(chan struct{})
	close(*l.changed.Swap(&next))
}

// findHolder asks the contenders in turn until one knows the holder.
func (l *jobLease) findHolder(ctx context.Context) {
	for _, host := range l.contenders() {
		answer, err := requestHolder(ctx, l.runtime.client, host.PeerAddress, l.name)
		if err != nil || !answer.Address.IsValid() {
			continue
		}
		if last := l.holder.Swap(&answer.Address); last == nil || *last != answer.Address {
			l.notifyChange()
		}
		return
	}
}

func requestHolder(ctx context.Context, client *peer.Client, to netip.AddrPort, name string) (holderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	return peer.Call[holderRequest, holderResponse](ctx, client, to, methodDutyHolder, holderRequest{Duty: name})
}

// contenders returns the entries that contend for the duty.
func (l *jobLease) contenders() []platform.Host {
	return l.runtime.ranking.first(l.runtime.members.Entries(), rankingKey{purpose: l.name, count: contenders})
}

// Held reports whether this host holds the lease at now.
func (l *jobLease) Held(now time.Time) (trainer.Fence, bool) {
	keeper := l.keeper.Load()
	if keeper == nil {
		return trainer.Fence{}, false
	}
	fence, ok := keeper.Held(now)
	return trainer.Fence{Number: fence.Number, Deadline: fence.Deadline}, ok
}

// Seek records that a trainer's request needs the holder now.
func (l *jobLease) Seek() { l.lastNeeded.Store(time.Now().UnixNano()) }

// Holder returns the peer address of the holder last seen.
func (l *jobLease) Holder() (netip.AddrPort, bool) {
	if keeper := l.keeper.Load(); keeper != nil {
		holder, ok := keeper.Holder()
		return holder.Address, ok
	}
	holder := l.holder.Load()
	if holder == nil {
		return netip.AddrPort{}, false
	}
	return *holder, true
}

// Changed returns a channel that is closed at the next change of the holder.
func (l *jobLease) Changed() <-chan struct{} {
	if keeper := l.keeper.Load(); keeper != nil {
		return keeper.Changed()
	}
	return *l.changed.Load()
}

// serveHolderRequests answers other entries that ask for the holder of a duty for which this entry contends.
func (k *keepers) serveHolderRequests(r *peer.Registry) {
	peer.Handle(r, methodDutyHolder, func(_ context.Context, request holderRequest) (holderResponse, error) {
		keeper, ok := k.all()[request.Duty]
		if !ok {
			return holderResponse{}, nil
		}
		holder, _ := keeper.Holder()
		return holderResponse{Address: holder.Address}, nil
	})
}

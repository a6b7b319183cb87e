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
	// contendInterval is how often a host looks whether it has become a contender.
	contendInterval = 500 * time.Millisecond
	// holderInterval is how often another host asks for the holder while trainers ask it: a takeover is known within
	// a third of a lease's term.
	holderInterval = 2 * time.Second
	// wantedFor is how long one request of a trainer keeps the question alive. A trainer's long poll comes back
	// about once a minute, and to any entry.
	wantedFor     = 10 * time.Second
	holderTimeout = 300 * time.Millisecond
)

// holderAsk asks a contender who holds a duty.
type holderAsk struct {
	Duty string `msgpack:"d"`
}

// holderAnswer names the holder last seen; an invalid address means that none is known.
type holderAnswer struct {
	Address netip.AddrPort `msgpack:"a"`
}

// jobLease is the lease of a trainer job at one entry. Contenders keep it through the platform; the other
// entries ask a contender for the holder, and only while a trainer's request is at them: if all 380 entries asked for
// each job, its first contender would receive 47 KB/s.
//
// Load pattern: 18 jobs at 380 entries, of which each trainer's requests reach any. A watch of every lease
// at every entry would be woken by each renewal: 18 x 380 / 2 s = 3,420 calls a second of the two thousand
// that the platform takes.
type jobLease struct {
	runtime *runtime
	keepers *keepers
	name    string
	keeper  atomic.Pointer[duty.Keeper]
	holder  atomic.Pointer[netip.AddrPort]
	changed atomic.Pointer[chan struct{}]
	// wanted is when a trainer's request last looked for the holder, in Unix nanoseconds.
	wanted atomic.Int64
	// asked is when the holder was last asked for. Only the following goroutine uses it.
	asked time.Time
}

// newJobLease starts to follow the lease until ctx ends.
func (k *keepers) newJobLease(ctx context.Context, job string) trainer.Lease {
	l := &jobLease{runtime: k.runtime, keepers: k, name: dutyTrainerJob + job}
	changed := make(chan struct{})
	l.changed.Store(&changed)
	k.work.Go(func() {
		l.round(ctx)
		ticker.Every(ctx, contendInterval, func(time.Time) { l.round(ctx) })
	})
	return l
}

func (l *jobLease) round(ctx context.Context) {
	if l.keeper.Load() != nil {
		return
	}
	if l.runtime.isContender(l.name, "") {
		l.keeper.Store(l.keepers.keeper(ctx, l.name, ""))
		l.announce()
		return
	}
	wanted := time.Since(time.Unix(0, l.wanted.Load())) < wantedFor
	if wanted && time.Since(l.asked) >= holderInterval {
		l.asked = time.Now()
		l.ask(ctx)
	}
}

// announce ends the wait of whoever waits for a change.
func (l *jobLease) announce() {
	next := make(chan struct{})
	close(*l.changed.Swap(&next))
}

// ask asks the contenders in turn until one knows the holder.
func (l *jobLease) ask(ctx context.Context) {
	for _, host := range l.contenders() {
		answer, err := askHolder(ctx, l.runtime.client, host.PeerAddress, l.name)
		if err != nil || !answer.Address.IsValid() {
			continue
		}
		if last := l.holder.Swap(&answer.Address); last == nil || *last != answer.Address {
			l.announce()
		}
		return
	}
}

func askHolder(ctx context.Context, client *peer.Client, to netip.AddrPort, name string) (holderAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	return peer.Call[holderAsk, holderAnswer](ctx, client, to, methodDutyHolder, holderAsk{Duty: name})
}

// contenders returns the entries that contend for the duty.
func (l *jobLease) contenders() []platform.Host {
	return l.runtime.ranking.first(l.runtime.members.Entries(), rankingKey{purpose: l.name, count: contenders})
}

// Held says whether this host holds the lease now.
func (l *jobLease) Held(now time.Time) (trainer.Fence, bool) {
	keeper := l.keeper.Load()
	if keeper == nil {
		return trainer.Fence{}, false
	}
	fence, ok := keeper.Held(now)
	return trainer.Fence{Number: fence.Number, Deadline: fence.Deadline}, ok
}

// Seek says that a trainer's request needs the holder now.
func (l *jobLease) Seek() { l.wanted.Store(time.Now().UnixNano()) }

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

// Changed is closed at the next change of holder.
func (l *jobLease) Changed() <-chan struct{} {
	if keeper := l.keeper.Load(); keeper != nil {
		return keeper.Changed()
	}
	return *l.changed.Load()
}

// serveHolders lets other entries ask who holds a duty that this one contends for.
func (k *keepers) serveHolders(r *peer.Registry) {
	peer.Handle(r, methodDutyHolder, func(_ context.Context, ask holderAsk) (holderAnswer, error) {
		keeper, ok := k.all()[ask.Duty]
		if !ok {
			return holderAnswer{}, nil
		}
		holder, _ := keeper.Holder()
		return holderAnswer{Address: holder.Address}, nil
	})
}

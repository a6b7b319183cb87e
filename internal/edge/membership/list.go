// Package membership keeps a copy of the platform's list of hosts.
//
// The list holds thousands of hosts that join and leave, it lags by seconds, and the platform counts each read. Without a
// copy each placement would read the platform, and an outage would leave a host without peers. If each of 2,580 hosts
// read the list every 5 seconds, they would make 516 reads a second, of the two thousand that the platform can take, and each
// would receive 68 KB/s.
//
// So only two entries per availability zone, its relays, read the platform. They take turns, one every three seconds. Each
// other host requests the changes from a relay right after that, and learns at least that the list was read again. The age of
// the list is part of the answer, so every host knows how old its list is.
package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// defaultInterval keeps the list's age below 5 s. No backend servers are ordered on the basis of an older list.
	defaultInterval = 3 * time.Second
	// jitterFactor is the largest deviation of a jittered pause from its mean, relative to the mean. It spreads
	// the reads of hosts that started at the same time.
	jitterFactor = 0.2
	// retryFactor is the pause after a failed read, and the shortest pause of a follower, as a fraction of the interval. It is
	// small, so that a host without a list gets one soon after an outage.
	retryFactor = 0.2
	// readTimeout is not longer than the default interval, so that reads don't pile up at a slow platform.
	readTimeout = 3 * time.Second
)

// Option configures a List.
type Option func(*List)

// WithInterval sets the time between two reads of the platform, whichever relays make them. All hosts must use the same interval.
func WithInterval(interval time.Duration) Option {
	return func(l *List) { l.interval = interval }
}

// WithFallback sets a second source, which is read if the platform can't be read and no list is held yet. A host that
// starts in an outage has no other way to find its peers.
func WithFallback(fallback platform.HostList) Option {
	return func(l *List) { l.fallback = fallback }
}

// WithRelays makes the host follow the relays of its availability zone or of neighbour zones. It reads the platform's list
// itself only if it is a relay or if no relay has a recent list.
func WithRelays(client RelayClient, self Self) Option {
	return func(l *List) {
		l.relayClient = client
		l.self = self
	}
}

// List is a copy of the host list that is refreshed regularly. In an outage of the platform it keeps the last list.
type List struct {
	source      platform.HostList
	fallback    platform.HostList
	relayClient RelayClient
	self        Self
	interval    time.Duration
	current     atomic.Pointer[snapshot]
	routes      ListCache[route]
	// nextRefresh is the time of the next refresh; nil during a refresh.
	nextRefresh atomic.Pointer[time.Time]
	loaded      chan struct{}
	wg          conc.WaitGroup
}

// NewList returns a List that is refreshed until ctx ends.
func NewList(ctx context.Context, source platform.HostList, opts ...Option) *List {
	l := &List{source: source, interval: defaultInterval, loaded: make(chan struct{})}
	for _, opt := range opts {
		opt(l)
	}
	l.current.Store(&snapshot{replaced: make(chan struct{})})
	l.wg.Go(func() { l.run(ctx) })
	return l
}

// Wait blocks until the context has ended and the polling goroutine has returned.
func (l *List) Wait() { l.wg.Wait() }

// Loaded returns a channel that is closed when the first list is held.
func (l *List) Loaded() <-chan struct{} { return l.loaded }

func (l *List) run(ctx context.Context) {
	s := followState{}
	for ctx.Err() == nil {
		pause := l.refresh(ctx, &s)
		next := time.Now().Add(pause)
		l.nextRefresh.Store(&next)
		sleep(ctx, pause)
		l.nextRefresh.Store(nil)
	}
}

// sleep blocks for the given time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterFactor + 2*jitterFactor*rand.Float64()))
}

// readPlatform reads the list from the platform once and reports whether that succeeded. If it fails and no list is held, it
// reads the fallback.
func (l *List) readPlatform(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := time.Now()
	hosts, err := l.source.Hosts(ctx)
	if err == nil {
		l.publish(l.current.Load().successor(newSnapshot(hosts, requestedAt)))
		return true
	}
	updated := *l.current.Load()
	updated.failures++
	l.current.Store(&updated)
	if updated.digest == 0 && l.fallback != nil {
		l.readFallback(ctx)
	}
	return false
}

// readFallback publishes the list of the fallback, with an unknown time of reading.
func (l *List) readFallback(ctx context.Context) {
	hosts, err := l.fallback.Hosts(ctx)
	if err != nil || len(hosts) == 0 {
		return
	}
	next := newSnapshot(hosts, time.Time{})
	next.fromPeer = true
	l.publish(next)
}

// publish replaces the held list. Only the polling goroutine may call it.
func (l *List) publish(next *snapshot) {
	close(l.current.Swap(next).replaced)
	select {
	case <-l.loaded:
	default:
		close(l.loaded)
	}
}

// Hosts returns all hosts, sorted by host ID. The slice must not be changed.
func (l *List) Hosts() []platform.Host { return l.current.Load().hosts }

// Entries returns the live and leaving entries, sorted by host ID. The slice must not be changed.
func (l *List) Entries() []platform.Host { return l.current.Load().entries }

// Servers returns the live and leaving agents of a pool, sorted by host ID. The slice must not be changed.
func (l *List) Servers(pool string) []platform.Host { return l.current.Load().servers[pool] }

// Age returns the time since the list was last read from the platform. It is very long if the list was never read.
func (l *List) Age(now time.Time) time.Duration {
	readAt := l.current.Load().readAt
	return max(now.Sub(readAt), age(now, readAt))
}

// State is the list's state as shown by /debug/state.
type State struct {
	Entries  int            `json:"entries"`
	Servers  map[string]int `json:"servers"`
	ReadAt   time.Time      `json:"read"`
	Failures int            `json:"failuresSince"`
	FromPeer bool           `json:"fromPeer"`
	IsRelay  bool           `json:"relay"`
}

// State returns the list's state as shown by /debug/state.
func (l *List) State() any {
	s := l.current.Load()
	counts := map[string]int{}
	for pool, servers := range s.servers {
		counts[pool] = len(servers)
	}
	return State{
		Entries: len(s.entries), Servers: counts, ReadAt: s.readAt, Failures: s.failures, FromPeer: s.fromPeer, IsRelay: l.route().isRelay,
	}
}

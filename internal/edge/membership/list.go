// Package membership keeps the platform's lagging list of hosts.
//
// Load pattern: thousands of hosts that come and go, a list that lags by seconds, and a platform
// that counts each read. Without a kept copy each placement would read the platform, and an outage
// would leave a host without peers. Each host reads every 4 to 6 seconds: 2,580 hosts then make
// about 520 reads a second of the two thousand that the platform takes, and a server that left is
// missed for a few seconds only; agents say themselves that they are leaving.
package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	defaultInterval = 5 * time.Second
	// jitterShare spreads the reads of hosts that started together.
	jitterShare = 0.2
	// retryShare makes a failed read come again sooner, so that the first list is had soon after an outage.
	retryShare = 0.2
	// readTimeout is below the interval, so that a slow platform doesn't pile up reads.
	readTimeout = 3 * time.Second
)

// Option changes a List.
type Option func(*List)

// WithInterval sets the mean time between reads.
func WithInterval(interval time.Duration) Option {
	return func(l *List) { l.interval = interval }
}

// WithFallback names another source, asked where the platform can't be read and no list is held yet:
// a host that starts in an outage has no other way to find its peers.
func WithFallback(fallback platform.HostList) Option {
	return func(l *List) { l.fallback = fallback }
}

// List is the kept host list. An outage keeps the last one.
type List struct {
	source   platform.HostList
	fallback platform.HostList
	interval time.Duration
	current  atomic.Pointer[snapshot]
	loaded   chan struct{}
	wg       conc.WaitGroup
}

// snapshot is one list as read; it never changes.
type snapshot struct {
	hosts   []platform.Host
	entries []platform.Host
	servers map[string][]platform.Host
	// read is the moment before the list was asked for.
	read time.Time
	// failures counts the failed reads since.
	failures int
	// handed on lists come from a peer and not from the platform.
	handedOn bool
}

// NewList starts to poll the list until ctx ends.
func NewList(ctx context.Context, source platform.HostList, opts ...Option) *List {
	l := &List{source: source, interval: defaultInterval, loaded: make(chan struct{})}
	for _, opt := range opts {
		opt(l)
	}
	l.current.Store(&snapshot{})
	l.wg.Go(func() { l.run(ctx) })
	return l
}

// Wait returns when the polling has ended, after the context has.
func (l *List) Wait() { l.wg.Wait() }

// Loaded is closed once a first list is held.
func (l *List) Loaded() <-chan struct{} { return l.loaded }

func (l *List) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := l.interval
		if !l.poll(ctx) {
			pause = time.Duration(float64(pause) * retryShare)
		}
		timer := time.NewTimer(jitter(pause))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}

// poll reads the list once and reports whether the platform answered.
func (l *List) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	hosts, err := l.source.Hosts(ctx)
	if err == nil {
		l.publish(newSnapshot(hosts, asked))
		return true
	}
	failed := *l.current.Load()
	failed.failures++
	l.current.Store(&failed)
	if failed.read.IsZero() && l.fallback != nil {
		l.pollFallback(ctx)
	}
	return false
}

func (l *List) pollFallback(ctx context.Context) {
	hosts, err := l.fallback.Hosts(ctx)
	if err != nil || len(hosts) == 0 {
		return
	}
	taken := newSnapshot(hosts, time.Time{})
	taken.handedOn = true
	l.publish(taken)
}

func (l *List) publish(next *snapshot) {
	l.current.Store(next)
	select {
	case <-l.loaded:
	default:
		close(l.loaded)
	}
}

func newSnapshot(hosts []platform.Host, read time.Time) *snapshot {
	s := &snapshot{hosts: slices.Clone(hosts), servers: map[string][]platform.Host{}, read: read}
	slices.SortFunc(s.hosts, func(a, b platform.Host) int { return cmp.Compare(a.ID, b.ID) })
	for _, host := range s.hosts {
		switch host.Role {
		case platform.RoleEntry:
			s.entries = append(s.entries, host)
		case platform.RoleAgent:
			s.servers[host.Pool] = append(s.servers[host.Pool], host)
		}
	}
	return s
}

// Hosts returns all hosts, sorted by host id. The slice must not be changed.
func (l *List) Hosts() []platform.Host { return l.current.Load().hosts }

// Entries returns the live and leaving entries, sorted by host id. The slice must not be changed.
func (l *List) Entries() []platform.Host { return l.current.Load().entries }

// Servers returns the live and leaving agents of a pool, sorted by host id. The slice must not be changed.
func (l *List) Servers(pool string) []platform.Host { return l.current.Load().servers[pool] }

// Age is the time since the list was last read from the platform; it is very long if it never was.
func (l *List) Age(now time.Time) time.Duration { return now.Sub(l.current.Load().read) }

// State is the list's state in the dump.
type State struct {
	Entries  int            `json:"entries"`
	Servers  map[string]int `json:"servers"`
	Read     time.Time      `json:"read"`
	Failures int            `json:"failuresSince"`
	HandedOn bool           `json:"fromPeer"`
}

// State returns the list's state for the dump.
func (l *List) State() any {
	s := l.current.Load()
	counts := map[string]int{}
	for pool, servers := range s.servers {
		counts[pool] = len(servers)
	}
	return State{Entries: len(s.entries), Servers: counts, Read: s.read, Failures: s.failures, HandedOn: s.handedOn}
}

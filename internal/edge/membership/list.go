// Package membership keeps the platform's lagging list of hosts.
//
// Load pattern: thousands of hosts that come and go, a list that lags by seconds, and a platform
// that counts each read. Without a kept copy each placement would read the platform, and an outage
// would leave a host without peers. Were each of 2,580 hosts to read the list every 5 seconds, they
// would make 516 reads a second of the two thousand that the platform takes, and each would receive
// 68 KB/s. So only two entries an availability zone, its relays, read the platform, in turns, one every
// three seconds; the other hosts ask a relay right after that and receive what changed, or only that
// the list was read again. The time of the read travels along, so the list's age is known on every host.
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
	// defaultInterval keeps the list's age below the 5 s beyond which no backend servers are ordered.
	defaultInterval = 3 * time.Second
	// jitterShare spreads the reads of hosts that started together.
	jitterShare = 0.2
	// retryShare makes a failed read come again sooner, so that the first list is had soon after an outage.
	retryShare = 0.2
	// readTimeout is not above the interval, so that a slow platform doesn't pile up reads.
	readTimeout = 3 * time.Second
)

// Option changes a List.
type Option func(*List)

// WithInterval sets the time between reads of the platform by any relay; all hosts must use the same.
func WithInterval(interval time.Duration) Option {
	return func(l *List) { l.interval = interval }
}

// WithFallback names another source, asked where the platform can't be read and no list is held yet:
// a host that starts in an outage has no other way to find its peers.
func WithFallback(fallback platform.HostList) Option {
	return func(l *List) { l.fallback = fallback }
}

// WithRelays makes the host follow the relays of its availability zone, or of neighbour zones, and read the
// platform's list itself only where it is a relay or no relay has a recent one.
func WithRelays(exchange Exchange, self Self) Option {
	return func(l *List) {
		l.exchange = exchange
		l.self = self
	}
}

// List is the kept host list. An outage keeps the last one.
type List struct {
	source   platform.HostList
	fallback platform.HostList
	exchange Exchange
	self     Self
	interval time.Duration
	current  atomic.Pointer[snapshot]
	routes   PerList[route]
	// due is when the next step comes; nil during a step.
	due    atomic.Pointer[time.Time]
	loaded chan struct{}
	wg     conc.WaitGroup
}

// NewList starts to poll the list until ctx ends.
func NewList(ctx context.Context, source platform.HostList, opts ...Option) *List {
	l := &List{source: source, interval: defaultInterval, loaded: make(chan struct{})}
	for _, opt := range opts {
		opt(l)
	}
	l.current.Store(&snapshot{changed: make(chan struct{})})
	l.wg.Go(func() { l.run(ctx) })
	return l
}

// Wait returns when the polling has ended, after the context has.
func (l *List) Wait() { l.wg.Wait() }

// Loaded is closed once a first list is held.
func (l *List) Loaded() <-chan struct{} { return l.loaded }

func (l *List) run(ctx context.Context) {
	s := search{}
	for ctx.Err() == nil {
		length := l.step(ctx, &s)
		due := time.Now().Add(length)
		l.due.Store(&due)
		rest(ctx, length)
		l.due.Store(nil)
	}
}

func rest(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
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
		l.publish(l.current.Load().after(newSnapshot(hosts, asked)))
		return true
	}
	failed := *l.current.Load()
	failed.failures++
	l.current.Store(&failed)
	if failed.digest == 0 && l.fallback != nil {
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

// publish is called by the polling goroutine only.
func (l *List) publish(next *snapshot) {
	close(l.current.Swap(next).changed)
	select {
	case <-l.loaded:
	default:
		close(l.loaded)
	}
}

// Hosts returns all hosts, sorted by host id. The slice must not be changed.
func (l *List) Hosts() []platform.Host { return l.current.Load().hosts }

// Entries returns the live and leaving entries, sorted by host id. The slice must not be changed.
func (l *List) Entries() []platform.Host { return l.current.Load().entries }

// Servers returns the live and leaving agents of a pool, sorted by host id. The slice must not be changed.
func (l *List) Servers(pool string) []platform.Host { return l.current.Load().servers[pool] }

// Age is the time since the list was last read from the platform; it is very long if it never was.
func (l *List) Age(now time.Time) time.Duration {
	read := l.current.Load().read
	return max(now.Sub(read), age(now, read))
}

// State is the list's state in the dump.
type State struct {
	Entries  int            `json:"entries"`
	Servers  map[string]int `json:"servers"`
	Read     time.Time      `json:"read"`
	Failures int            `json:"failuresSince"`
	HandedOn bool           `json:"fromPeer"`
	Relay    bool           `json:"relay"`
}

// State returns the list's state for the dump.
func (l *List) State() any {
	s := l.current.Load()
	counts := map[string]int{}
	for pool, servers := range s.servers {
		counts[pool] = len(servers)
	}
	return State{Entries: len(s.entries), Servers: counts, Read: s.read, Failures: s.failures, HandedOn: s.handedOn, Relay: l.route().relay}
}

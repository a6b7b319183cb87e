package batchjob

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

const (
	// serverProbeTimeout bounds the probe of a server after a run was interrupted there. The item waits for it.
	serverProbeTimeout = 500 * time.Millisecond
	// probeReuse is how long the result of a probe serves other runs at the same server: all runs at a server that ends are interrupted
	// within some milliseconds.
	probeReuse = 50 * time.Millisecond
)

// serverProbes shares probes of servers between the runs that were interrupted there at the same time. It is safe for concurrent use.
type serverProbes struct {
	client *exchange.Client
	mu     sync.Mutex
	recent map[netip.AddrPort]*serverProbe
}

type serverProbe struct {
	done    chan struct{}
	endedAt time.Time
	err     error
}

// ended reports whether a probe shows that no process serves the address.
func (p *serverProbes) ended(ctx context.Context, address netip.AddrPort) bool {
	return errors.Is(p.probe(ctx, address), exchange.ErrEnded)
}

// probe probes the server at the address, or returns the result of another probe that runs or has just ended.
func (p *serverProbes) probe(ctx context.Context, address netip.AddrPort) error {
	p.mu.Lock()
	now := time.Now()
	maps.DeleteFunc(p.recent, func(_ netip.AddrPort, other *serverProbe) bool {
		return !other.endedAt.IsZero() && now.Sub(other.endedAt) > probeReuse
	})
	if other, ok := p.recent[address]; ok {
		p.mu.Unlock()
		select {
		case <-other.done:
			return other.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	own := &serverProbe{done: make(chan struct{})}
	p.recent[address] = own
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, serverProbeTimeout)
	defer cancel()
	own.err = p.client.Probe(ctx, address)
	p.mu.Lock()
	own.endedAt = time.Now()
	p.mu.Unlock()
	close(own.done)
	return own.err
}

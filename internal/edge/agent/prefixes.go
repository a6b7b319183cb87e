package agent

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

const (
	// prefixInterval is as often as load: an older answer would send a group's samples elsewhere.
	prefixInterval = loadInterval
	// maxPrefixes bounds the memory of the hints; an engine's cache holds far fewer.
	maxPrefixes = 4096
)

// prefixes is what the engine's prefix cache is believed to hold. It is a hint for placement only:
// a wrong one costs time, never a wrong answer. Events come late and with gaps, so a gap drops all
// hints that the lost events may have made untrue.
type prefixes struct {
	source PrefixSource
	last   uint64
	held   atomic.Pointer[map[uint64]struct{}]
}

func newPrefixes(source PrefixSource) *prefixes {
	p := &prefixes{source: source}
	p.clear()
	return p
}

func (p *prefixes) clear() { p.held.Store(&map[uint64]struct{}{}) }

func (p *prefixes) cached(prefix uint64) bool {
	_, ok := (*p.held.Load())[prefix]
	return ok
}

// run follows the events until ctx ends, while the server is a model engine.
func (p *prefixes) run(ctx context.Context, serves func() bool) {
	ticker := time.NewTicker(prefixInterval)
	defer ticker.Stop()
	for {
		if serves() {
			p.poll(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll takes in new events. An engine that can't be asked may have been restarted: its cache is empty
// then and its numbers begin anew.
func (p *prefixes) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	events, err := p.source.CacheEvents(ctx, p.last)
	if err != nil {
		p.last = 0
		p.clear()
		return
	}
	if len(events) > 0 {
		p.apply(events)
	}
}

func (p *prefixes) apply(events []backendserver.CacheEvent) {
	held := maps.Clone(*p.held.Load())
	for _, event := range events {
		if event.Sequence != p.last+1 {
			clear(held)
		}
		p.last = event.Sequence
		if event.Kind == backendserver.CacheStored && len(held) < maxPrefixes {
			held[event.Prefix] = struct{}{}
			continue
		}
		delete(held, event.Prefix)
	}
	p.held.Store(&held)
}

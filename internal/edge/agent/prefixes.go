package agent

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

const (
	// prefixPollInterval is the same as for the load. With older hints the samples of a group would be placed at
	// other servers.
	prefixPollInterval = enginePollInterval
	// maxPrefixes limits the memory of the hints; an engine's cache holds far fewer.
	maxPrefixes = 4096
)

// prefixHints tracks which prefixes the engine's cache is believed to hold. It is only a hint for placement: a wrong
// hint costs time but never leads to a wrong answer. Events arrive late and some are lost. After a gap in the sequence
// all earlier hints are dropped, since the lost events may have invalidated them.
type prefixHints struct {
	source       PrefixSource
	lastSequence uint64
	hashes       atomic.Pointer[map[uint64]struct{}]
}

func newPrefixHints(source PrefixSource) *prefixHints {
	h := &prefixHints{source: source}
	h.clear()
	return h
}

func (h *prefixHints) clear() { h.hashes.Store(&map[uint64]struct{}{}) }

func (h *prefixHints) cached(prefix uint64) bool {
	_, ok := (*h.hashes.Load())[prefix]
	return ok
}

// run polls for events until ctx ends, while the pool serves a model.
func (h *prefixHints) run(ctx context.Context, servesModel func() bool) {
	ticker := time.NewTicker(prefixPollInterval)
	defer ticker.Stop()
	for {
		if servesModel() {
			h.poll(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll reads and applies new events. If the read fails, the engine may have been restarted, with an empty cache and
// sequence numbers that start again, so all hints are dropped.
func (h *prefixHints) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	events, err := h.source.CacheEvents(ctx, h.lastSequence)
	if err != nil {
		h.lastSequence = 0
		h.clear()
		return
	}
	if len(events) > 0 {
		h.apply(events)
	}
}

func (h *prefixHints) apply(events []backendserver.CacheEvent) {
	hashes := maps.Clone(*h.hashes.Load())
	for _, event := range events {
		if event.Sequence != h.lastSequence+1 {
			clear(hashes)
		}
		h.lastSequence = event.Sequence
		if event.Kind == backendserver.CacheStored && len(hashes) < maxPrefixes {
			hashes[event.Prefix] = struct{}{}
			continue
		}
		delete(hashes, event.Prefix)
	}
	h.hashes.Store(&hashes)
}

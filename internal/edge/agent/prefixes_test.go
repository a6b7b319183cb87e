package agent

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

func TestPrefixes(t *testing.T) {
	stored := func(sequence, prefix uint64) backendserver.CacheEvent {
		return backendserver.CacheEvent{Sequence: sequence, Kind: backendserver.CacheStored, Prefix: prefix}
	}
	evicted := func(sequence, prefix uint64) backendserver.CacheEvent {
		return backendserver.CacheEvent{Sequence: sequence, Kind: backendserver.CacheEvicted, Prefix: prefix}
	}
	for _, tc := range []struct {
		name   string
		events []backendserver.CacheEvent
		want   []uint64
	}{
		{name: "stored", events: []backendserver.CacheEvent{stored(1, 10), stored(2, 20)}, want: []uint64{10, 20}},
		{name: "evicted", events: []backendserver.CacheEvent{stored(1, 10), stored(2, 20), evicted(3, 10)}, want: []uint64{20}},
		{name: "gap", events: []backendserver.CacheEvent{stored(1, 10), stored(3, 30)}, want: []uint64{30}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newPrefixHints(&fakeEngine{events: tc.events})
			h.poll(t.Context())
			h.poll(t.Context())
			got := slices.Sorted(maps.Keys(*h.hashes.Load()))
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

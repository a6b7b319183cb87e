package configuration

import (
	"context"
	"maps"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// parallelReads bounds a host's reads of parts from the platform.
	parallelReads = 8
	// partsPerAsk keeps an answer of a relay in the order of 100 KB.
	partsPerAsk = 256
)

// ErrPartDamaged is returned for a part whose content doesn't have the hash that names it.
var ErrPartDamaged = errors.New("part's content does not match its hash")

// platformParts reads parts from the platform.
func (f *Follower) platformParts(ctx context.Context, hashes []string) (map[string][]byte, error) {
	return readParts(ctx, f.store, hashes)
}

func readParts(ctx context.Context, store platform.Store, hashes []string) (map[string][]byte, error) {
	contents := make([][]byte, len(hashes))
	reads := pool.New().WithErrors().WithMaxGoroutines(parallelReads)
	for i, hash := range hashes {
		reads.Go(func() error {
			object, err := store.Get(ctx, ticket.PartObject(hash))
			contents[i] = object.Value
			return errors.Wrapf(err, "part %s", hash)
		})
	}
	if err := reads.Wait(); err != nil {
		return nil, err
	}
	parts := make(map[string][]byte, len(hashes))
	for i, hash := range hashes {
		if err := verify(hash, contents[i]); err != nil {
			return nil, err
		}
		parts[hash] = contents[i]
	}
	return parts, nil
}

// relayParts asks a relay for parts. A relay that moved on meanwhile lacks some; the next question
// then brings the newer head.
func (f *Follower) relayParts(ctx context.Context, relay netip.AddrPort, hashes []string) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(hashes))
	for chunk := range slices.Chunk(hashes, partsPerAsk) {
		answer, err := f.exchange.Parts(ctx, relay, PartsAsk{Hashes: chunk})
		if err != nil {
			return nil, errors.Wrap(err, "parts")
		}
		for hash, content := range answer.Parts {
			if err := verify(hash, content); err != nil {
				return nil, err
			}
			parts[hash] = content
		}
	}
	return parts, nil
}

func verify(hash string, content []byte) error {
	found, err := ticket.ContentHash(content)
	if err != nil {
		return errors.Wrapf(err, "part %s", hash)
	}
	if found != hash {
		return errors.Wrap(ErrPartDamaged, hash)
	}
	return nil
}

// absent returns the hashes that are not in parts.
func absent(hashes []string, parts map[string][]byte) []string {
	return slices.DeleteFunc(hashes, func(hash string) bool {
		_, ok := parts[hash]
		return ok
	})
}

func joined(a, b map[string][]byte) map[string][]byte {
	all := make(map[string][]byte, len(a)+len(b))
	maps.Copy(all, a)
	maps.Copy(all, b)
	return all
}

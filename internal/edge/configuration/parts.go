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
	// parallelReads bounds the number of parts that a host reads from the platform at the same time.
	parallelReads = 8
	// partsPerRequest keeps a relay's response at about 100 KB.
	partsPerRequest = 256
)

// ErrPartDamaged is returned for a part whose content doesn't match its hash.
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
		if err := verifyPart(hash, contents[i]); err != nil {
			return nil, err
		}
		parts[hash] = contents[i]
	}
	return parts, nil
}

// relayParts fetches parts from a relay. A relay that has taken a newer head in the meantime lacks some of them;
// the next poll then returns that head.
func (f *Follower) relayParts(ctx context.Context, relay netip.AddrPort, hashes []string) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(hashes))
	for chunk := range slices.Chunk(hashes, partsPerRequest) {
		response, err := f.relayClient.Parts(ctx, relay, PartsRequest{Hashes: chunk})
		if err != nil {
			return nil, errors.Wrap(err, "parts")
		}
		for hash, content := range response.Parts {
			if err := verifyPart(hash, content); err != nil {
				return nil, err
			}
			parts[hash] = content
		}
	}
	return parts, nil
}

func verifyPart(hash string, content []byte) error {
	found, err := ticket.ContentHash(content)
	if err != nil {
		return errors.Wrapf(err, "part %s", hash)
	}
	if found != hash {
		return errors.Wrap(ErrPartDamaged, hash)
	}
	return nil
}

// hashesNotIn returns the hashes that are not in parts. It modifies hashes.
func hashesNotIn(hashes []string, parts map[string][]byte) []string {
	return slices.DeleteFunc(hashes, func(hash string) bool {
		_, ok := parts[hash]
		return ok
	})
}

func mergeParts(a, b map[string][]byte) map[string][]byte {
	all := make(map[string][]byte, len(a)+len(b))
	maps.Copy(all, a)
	maps.Copy(all, b)
	return all
}

package billing

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// maxConflicts is how often one flush reads an object again that another host wrote in between.
// With two writers a zone a second conflict in a row is rare; the next flush tries again anyway.
const maxConflicts = 4

// errTooLarge: the merged object exceeds the limit.
var errTooLarge = errors.New("counts object is full")

// part is what belongs into one object.
type part struct {
	window int64
	shard  int
}

// Flush stores all counts that the platform is not known to have.
func (c *Collector) Flush(ctx context.Context) error {
	c.flushing.Lock()
	defer c.flushing.Unlock()
	err := c.flush(ctx)
	if errors.Is(err, errTooLarge) {
		// Full objects stay as they are; their counts merge with the new ones.
		c.mutex.Lock()
		c.shards *= 2
		c.mutex.Unlock()
		err = c.flush(ctx)
	}
	c.note(err)
	c.forget()
	return err
}

func (c *Collector) flush(ctx context.Context) error {
	parts := c.parts(c.Unstored())
	keys := slices.SortedFunc(maps.Keys(parts), func(a, b part) int {
		return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.shard, b.shard))
	})
	for _, key := range keys {
		if err := c.flushPart(ctx, key, parts[key]); err != nil {
			return err
		}
	}
	return nil
}

func (c *Collector) parts(counts []usage.Count) map[part][]usage.Count {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	parts := make(map[part][]usage.Count)
	for _, count := range counts {
		key := part{window: count.Cell.Window, shard: shardOf(count.Cell, c.shards)}
		parts[key] = append(parts[key], count)
	}
	return parts
}

// flushPart merges the counts into their object by a conditional update.
//
// Another host may write between the read and the write: an unconditional write would erase its
// counts, and the usage in them would never be reported. The conditional one fails instead, and
// the object is read again. A lost answer leaves the counts unstored, and they are merged again,
// which changes nothing if the write had taken effect.
func (c *Collector) flushPart(ctx context.Context, key part, counts []usage.Count) error {
	name := countsName(c.zone, key.shard, key.window)
	for range maxConflicts {
		err := c.mergeInto(ctx, name, counts)
		if err == nil {
			c.markStored(counts)
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return errors.Wrapf(platform.ErrConflict, "%s: %d times", name, maxConflicts)
}

func (c *Collector) mergeInto(ctx context.Context, name string, counts []usage.Count) error {
	object, err := c.store.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	merged := usage.NewLedger()
	if err == nil {
		known, err := decode[Counts](object)
		if err != nil {
			return err
		}
		mergeAll(merged, known.Counts)
	}
	if !mergeAll(merged, counts) {
		return nil
	}
	value, err := json.Marshal(Counts{Counts: merged.Counts()})
	if err != nil {
		return errors.Wrap(err, name)
	}
	if len(value) > c.objectBytes {
		return errors.Wrap(errTooLarge, name)
	}
	_, err = c.store.Put(ctx, name, value, object.Version)
	return err
}

// mergeAll reports whether the ledger changed.
func mergeAll(ledger *usage.Ledger, counts []usage.Count) bool {
	changed := false
	for _, count := range counts {
		if ledger.Merge(count) {
			changed = true
		}
	}
	return changed
}

// shardOf numbers the shards of each division apart: 0, then 1 and 2, then 3 to 6. An object that is
// full is thereby left alone after the division.
func shardOf(cell usage.Cell, shards int) int {
	sum := xxhash.Sum64String(fmt.Sprintf("%d/%s", cell.Agent, cell.Organisation))
	return shards - 1 + int(sum%uint64(shards))
}

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

// maxConflicts is how many times one flush tries to write a shard whose objects another host has written in
// between. With two writers in each availability zone a second conflict in a row is rare, and the next flush
// tries again anyway.
const maxConflicts = 4

// errObjectFull is returned if an object with all its counts would exceed the size limit.
var errObjectFull = errors.New("counts object is full")

// shardKey identifies a window, or one shard of a window whose counts don't fit into one object.
type shardKey struct {
	window int64
	shard  int
}

// Flush stores all counts that the platform is not known to have.
func (c *Collector) Flush(ctx context.Context) error {
	c.flushMutex.Lock()
	defer c.flushMutex.Unlock()
	err := c.flush(ctx)
	if errors.Is(err, errObjectFull) {
		// Full objects are not written again. Objects of the new shards may repeat their counts, which readers merge.
		c.mutex.Lock()
		c.shards *= 2
		c.mutex.Unlock()
		err = c.flush(ctx)
	}
	c.recordFlush(err)
	c.forgetOldWindows()
	return err
}

func (c *Collector) flush(ctx context.Context) error {
	for _, key := range c.shardKeys(c.Unstored()) {
		if err := c.flushShard(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

// shardKeys returns the shards to which the counts belong, ordered by window and shard.
func (c *Collector) shardKeys(counts []usage.Count) []shardKey {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	keys := make(map[shardKey]bool)
	for _, count := range counts {
		keys[c.shardKeyOf(count.Cell)] = true
	}
	return slices.SortedFunc(maps.Keys(keys), func(a, b shardKey) int {
		return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.shard, b.shard))
	})
}

// shardState is what a collector knows about the two objects of a shard, from its own writes or from reading
// them. The ledger of the collector holds at least what these objects hold.
type shardState struct {
	versions map[countsKind]platform.Version
	// recentCells are the cells in the object of recent counts. recentBytes is the total length of all writes of that
	// object since the last write of the object with all counts, whose length was fullBytes.
	recentCells map[usage.Cell]bool
	fullBytes   int
	recentBytes int
}

// flushShard stores the counts of a shard with conditional writes.
//
// Another process may write the same objects, such as the previous process of this host. A write that
// ignored its changes would erase its counts, and their usage would never be reported. A conditional write
// fails instead, and the objects are read again. They are also read again after any other error, since a
// write whose response was lost may have taken effect. The counts then stay unstored and are merged again,
// which changes nothing if they were stored.
func (c *Collector) flushShard(ctx context.Context, key shardKey) error {
	for range maxConflicts {
		err := c.writeShard(ctx, key)
		if err == nil {
			return nil
		}
		delete(c.shardStates, key)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return errors.Wrapf(platform.ErrConflict, "%s: %d times", countsName(c.zone, c.writer, key, fullCounts), maxConflicts)
}

func (c *Collector) writeShard(ctx context.Context, key shardKey) error {
	state, ok := c.shardStates[key]
	if !ok {
		var err error
		if state, err = c.readShard(ctx, key); err != nil {
			return err
		}
		c.shardStates[key] = state
	}
	unstored, all := c.countsOf(key)
	if len(unstored) == 0 {
		return nil
	}
	// Each flush rewrites only the counts that have grown, until the total length of these writes reaches
	// that of a write of all counts. The cost of a flush thus depends on the current activity in the
	// availability zone, not on all the usage of the window so far.
	if state.recentBytes < state.fullBytes {
		for _, count := range unstored {
			state.recentCells[count.Cell] = true
		}
		changed := slices.DeleteFunc(slices.Clone(all), func(count usage.Count) bool { return !state.recentCells[count.Cell] })
		length, err := c.writeObject(ctx, key, recentCounts, state, changed)
		state.recentBytes += length
		return err
	}
	length, err := c.writeObject(ctx, key, fullCounts, state, all)
	// The object with all counts now includes everything in the object of recent counts, so the next write
	// of the latter starts from an empty set.
	state.recentCells = make(map[usage.Cell]bool)
	state.fullBytes, state.recentBytes = length, 0
	return err
}

// writeObject writes one counts object and returns its length in bytes.
func (c *Collector) writeObject(ctx context.Context, key shardKey, kind countsKind, state *shardState, counts []usage.Count) (int, error) {
	name := countsName(c.zone, c.writer, key, kind)
	value, err := json.Marshal(packCounts(key.window, counts))
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	if len(value) > c.objectBytes {
		return 0, errors.Wrap(errObjectFull, name)
	}
	version, err := c.store.Put(ctx, name, value, state.versions[kind])
	if err != nil {
		return 0, err
	}
	state.versions[kind] = version
	c.recordStored(counts)
	return len(value), nil
}

// readShard merges the counts in the objects of a shard into the ledger, so that writing the counts of the
// ledger erases nothing. Its result makes the first write one of all counts.
func (c *Collector) readShard(ctx context.Context, key shardKey) (*shardState, error) {
	state := &shardState{versions: make(map[countsKind]platform.Version)}
	for _, kind := range []countsKind{fullCounts, recentCounts} {
		object, err := c.store.Get(ctx, countsName(c.zone, c.writer, key, kind))
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		counts, err := decode[Counts](object)
		if err != nil {
			return nil, err
		}
		err = counts.forEach(func(count usage.Count) {
			c.recordStored([]usage.Count{count})
			c.ledger.Merge(count)
		})
		if err != nil {
			return nil, errors.Wrap(err, object.Name)
		}
		state.versions[kind] = object.Version
	}
	return state, nil
}

// countsOf returns all counts of the shard, and those of them that the platform is not known to have.
func (c *Collector) countsOf(key shardKey) (unstored, all []usage.Count) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, count := range c.ledger.Counts() {
		if key != c.shardKeyOf(count.Cell) {
			continue
		}
		all = append(all, count)
		if c.isUnstored(count) {
			unstored = append(unstored, count)
		}
	}
	return unstored, all
}

// shardKeyOf requires the caller to hold mutex.
func (c *Collector) shardKeyOf(cell usage.Cell) shardKey {
	return shardKey{window: cell.Window, shard: shardOf(cell, c.shards)}
}

// shardOf returns the shard number of a cell. Each number of shards has its own range of shard numbers: 0
// for one shard, 1 and 2 for two, 3 to 6 for four. Objects that are full are therefore not written again
// after a split.
func shardOf(cell usage.Cell, shards int) int {
	if shards == 1 {
		return 0
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%d/%s", cell.Agent, cell.Organisation))
	return shards - 1 + int(sum%uint64(shards))
}

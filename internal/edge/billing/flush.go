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

// part is a window, or one of the shards of a large one.
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
	c.forgetOld()
	return err
}

func (c *Collector) flush(ctx context.Context) error {
	for _, key := range c.parts(c.Unstored()) {
		if err := c.flushPart(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

// parts returns the parts to which the counts belong, in their order.
func (c *Collector) parts(counts []usage.Count) []part {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	parts := make(map[part]bool)
	for _, count := range counts {
		parts[c.partOf(count.Cell)] = true
	}
	return slices.SortedFunc(maps.Keys(parts), func(a, b part) int {
		return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.shard, b.shard))
	})
}

// stored is what a collector knows of the two objects of a part: those that it wrote itself or has read. Its
// ledger holds at least what they hold.
type stored struct {
	versions map[countsKind]platform.Version
	// grown are the cells that the recent object holds, and recentBytes is the length of all its writes since the last
	// one of the whole object, which was of wholeBytes.
	grown       map[usage.Cell]bool
	wholeBytes  int
	recentBytes int
}

// flushPart stores the counts in the part's objects by conditional writes.
//
// Another process may write them too, as the former process of the same host. A write that doesn't know of that
// would erase its counts, and the usage in them would never be reported. The conditional one fails instead, and the
// objects are read again. So they are after any other error, since a write whose answer was lost may have taken
// effect; the counts stay unstored and are merged again, which changes nothing then.
func (c *Collector) flushPart(ctx context.Context, key part) error {
	for range maxConflicts {
		err := c.writePart(ctx, key)
		if err == nil {
			return nil
		}
		delete(c.objects, key)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return errors.Wrapf(platform.ErrConflict, "%s: %d times", countsName(c.zone, c.writer, key, whole), maxConflicts)
}

func (c *Collector) writePart(ctx context.Context, key part) error {
	known, ok := c.objects[key]
	if !ok {
		var err error
		if known, err = c.readPart(ctx, key); err != nil {
			return err
		}
		c.objects[key] = known
	}
	unstored, all := c.countsOf(key)
	if len(unstored) == 0 {
		return nil
	}
	// The counts that have grown are written again with each flush, until these writes together are as long as one of
	// all counts. A flush thereby costs what the zone's activity does and not what the window has brought so far.
	if known.recentBytes < known.wholeBytes {
		for _, count := range unstored {
			known.grown[count.Cell] = true
		}
		changed := slices.DeleteFunc(slices.Clone(all), func(count usage.Count) bool { return !known.grown[count.Cell] })
		length, err := c.write(ctx, key, recent, known, changed)
		known.recentBytes += length
		return err
	}
	length, err := c.write(ctx, key, whole, known, all)
	// The recent object holds nothing now that the whole one doesn't, and is written from the start next time.
	known.grown = make(map[usage.Cell]bool)
	known.wholeBytes, known.recentBytes = length, 0
	return err
}

// write returns the length of the object.
func (c *Collector) write(ctx context.Context, key part, kind countsKind, known *stored, counts []usage.Count) (int, error) {
	name := countsName(c.zone, c.writer, key, kind)
	value, err := json.Marshal(packCounts(key.window, counts))
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	if len(value) > c.objectBytes {
		return 0, errors.Wrap(errTooLarge, name)
	}
	version, err := c.store.Put(ctx, name, value, known.versions[kind])
	if err != nil {
		return 0, err
	}
	known.versions[kind] = version
	c.markStored(counts)
	return len(value), nil
}

// readPart takes what the objects hold over into the ledger, so that a write of the ledger's counts erases nothing.
// The first write is one of all counts.
func (c *Collector) readPart(ctx context.Context, key part) (*stored, error) {
	known := &stored{versions: make(map[countsKind]platform.Version)}
	for _, kind := range []countsKind{whole, recent} {
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
		err = counts.each(func(count usage.Count) {
			c.markStored([]usage.Count{count})
			c.ledger.Merge(count)
		})
		if err != nil {
			return nil, errors.Wrap(err, object.Name)
		}
		known.versions[kind] = object.Version
	}
	return known, nil
}

// countsOf returns the part's counts, and those of them that the platform is not known to have.
func (c *Collector) countsOf(key part) (unstored, all []usage.Count) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, count := range c.ledger.Counts() {
		if key != c.partOf(count.Cell) {
			continue
		}
		all = append(all, count)
		if c.isUnstored(count) {
			unstored = append(unstored, count)
		}
	}
	return unstored, all
}

// partOf expects the mutex to be held.
func (c *Collector) partOf(cell usage.Cell) part {
	return part{window: cell.Window, shard: shardOf(cell, c.shards)}
}

// shardOf numbers the shards of each division apart: 0, then 1 and 2, then 3 to 6. An object that is
// full is thereby left alone after the division.
func shardOf(cell usage.Cell, shards int) int {
	if shards == 1 {
		return 0
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%d/%s", cell.Agent, cell.Organisation))
	return shards - 1 + int(sum%uint64(shards))
}

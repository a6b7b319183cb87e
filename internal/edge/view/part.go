package view

import (
	"cmp"
	"slices"

	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// maxRemovals is how many of the latest removals of a kind are stored. An entry that is further behind receives the complete collection.
const maxRemovals = 256

// removal records that an object was removed.
type removal struct {
	name string
	// revision is one at which the object no longer existed.
	revision uint64
}

// Collection holds all objects of one kind as of a revision of the store. It is immutable.
type Collection struct {
	Kind     string
	Revision uint64
	Objects  []product.Object
	// removals are the known removals after revision removalsSince.
	removals      []removal
	removalsSince uint64
}

// newCollection returns a collection that was read in full.
func newCollection(kind string, revision uint64, objects []product.Object) Collection {
	return Collection{Kind: kind, Revision: revision, Objects: objects, removalsSince: revision}
}

// CollectionRequest asks another entry for the changes of a kind since a revision; 0 asks for all objects.
type CollectionRequest struct {
	Kind  string `msgpack:"k"`
	Since uint64 `msgpack:"r"`
}

// CollectionUpdate holds the changes of a kind. With 2,200 servers a complete collection takes about 800 KB (twelve servers
// took 4.5 KB), and while weights are loaded it changes several times a second; an update that holds only the changes takes a few KB.
type CollectionUpdate struct {
	Kind     string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
	// Complete is set if Changed holds all objects of the kind, which then replace those of the requester.
	Complete bool             `msgpack:"w"`
	Changed  []product.Object `msgpack:"c"`
	Removed  []string         `msgpack:"d"`
}

// changesSince returns the changes after the revision, or all objects if the removals since then are no longer known.
func (c Collection) changesSince(revision uint64) CollectionUpdate {
	update := CollectionUpdate{Kind: c.Kind, Revision: c.Revision}
	if revision == 0 || revision < c.removalsSince {
		update.Complete = true
		update.Changed = c.Objects
		return update
	}
	for _, object := range c.Objects {
		if uint64(object.Version) > revision {
			update.Changed = append(update.Changed, object)
		}
	}
	for _, removed := range c.removals {
		if removed.revision > revision {
			update.Removed = append(update.Removed, removed.name)
		}
	}
	return update
}

// withUpdate returns the collection with an update from another entry applied.
func (c Collection) withUpdate(update CollectionUpdate) Collection {
	if update.Complete {
		return newCollection(update.Kind, update.Revision, update.Changed)
	}
	changes := platform.Changes{Revision: product.Version(update.Revision)}
	for _, name := range update.Removed {
		changes.Changes = append(changes.Changes, platform.Change{Object: product.Object{Name: name}, Removed: true})
	}
	for _, object := range update.Changed {
		changes.Changes = append(changes.Changes, platform.Change{Object: object})
	}
	return c.withChanges(changes)
}

// withChanges returns the collection with the changes applied in order. The last change of an object counts.
func (c Collection) withChanges(changes platform.Changes) Collection {
	next := Collection{Kind: c.Kind, Revision: max(c.Revision, uint64(changes.Revision)), removalsSince: c.removalsSince}
	last := map[string]platform.Change{}
	for _, change := range changes.Changes {
		last[change.Object.Name] = change
	}
	for _, object := range c.Objects {
		if _, changed := last[object.Name]; !changed {
			next.Objects = append(next.Objects, object)
		}
	}
	for _, removed := range c.removals {
		if _, changed := last[removed.name]; !changed {
			next.removals = append(next.removals, removed)
		}
	}
	for name, change := range last {
		if change.Removed {
			next.removals = append(next.removals, removal{name: name, revision: next.Revision})
		} else {
			next.Objects = append(next.Objects, change.Object)
		}
	}
	slices.SortFunc(next.Objects, func(a, b product.Object) int { return cmp.Compare(a.Name, b.Name) })
	next.trimRemovals()
	return next
}

// trimRemovals drops the oldest removals beyond maxRemovals.
func (c *Collection) trimRemovals() {
	excess := len(c.removals) - maxRemovals
	if excess <= 0 {
		return
	}
	slices.SortStableFunc(c.removals, func(a, b removal) int { return cmp.Compare(a.revision, b.revision) })
	c.removalsSince = c.removals[excess-1].revision
	c.removals = c.removals[excess:]
}

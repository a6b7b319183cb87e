package view

import (
	"cmp"
	"slices"

	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// removedMost is how many removals of a kind are remembered. An entry that is further behind gets the whole part.
const removedMost = 256

// removal is an object that was removed.
type removal struct {
	name string
	// revision is one at which it was gone.
	revision uint64
}

// Part is all objects of one kind as of a revision of the store. It never changes.
type Part struct {
	Kind     string
	Revision uint64
	Objects  []product.Object
	// removed are the removals after the revision floor.
	removed []removal
	floor   uint64
}

// newPart returns a part as it was read whole.
func newPart(kind string, revision uint64, objects []product.Object) Part {
	return Part{Kind: kind, Revision: revision, Objects: objects, floor: revision}
}

// PartRequest asks another entry for what changed of a kind since a revision; 0 asks for everything.
type PartRequest struct {
	Kind  string `msgpack:"k"`
	Known uint64 `msgpack:"r"`
}

// PartAnswer is what changed of a kind. With 2,200 servers a whole part takes some 800 KB (twelve took 4.5 KB) and changes several times a second while
// weights are loaded; what changed takes a few.
type PartAnswer struct {
	Kind     string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
	// Whole says that Changed holds all objects of the kind, whatever the entry that asks had.
	Whole   bool             `msgpack:"w"`
	Changed []product.Object `msgpack:"c"`
	Removed []string         `msgpack:"d"`
}

// since returns what changed after the revision.
func (p Part) since(known uint64) PartAnswer {
	answer := PartAnswer{Kind: p.Kind, Revision: p.Revision}
	if known == 0 || known < p.floor {
		answer.Whole = true
		answer.Changed = p.Objects
		return answer
	}
	for _, object := range p.Objects {
		if uint64(object.Version) > known {
			answer.Changed = append(answer.Changed, object)
		}
	}
	for _, gone := range p.removed {
		if gone.revision > known {
			answer.Removed = append(answer.Removed, gone.name)
		}
	}
	return answer
}

// updated returns the part as another entry has it.
func (p Part) updated(answer PartAnswer) Part {
	if answer.Whole {
		return newPart(answer.Kind, answer.Revision, answer.Changed)
	}
	changes := platform.Changes{Revision: product.Version(answer.Revision)}
	for _, name := range answer.Removed {
		changes.Changes = append(changes.Changes, platform.Change{Object: product.Object{Name: name}, Removed: true})
	}
	for _, object := range answer.Changed {
		changes.Changes = append(changes.Changes, platform.Change{Object: object})
	}
	return p.after(changes)
}

// after returns the part with the changes applied, the last one of an object last.
func (p Part) after(changes platform.Changes) Part {
	next := Part{Kind: p.Kind, Revision: max(p.Revision, uint64(changes.Revision)), floor: p.floor}
	last := map[string]platform.Change{}
	for _, change := range changes.Changes {
		last[change.Object.Name] = change
	}
	for _, object := range p.Objects {
		if _, changed := last[object.Name]; !changed {
			next.Objects = append(next.Objects, object)
		}
	}
	for _, gone := range p.removed {
		if _, changed := last[gone.name]; !changed {
			next.removed = append(next.removed, gone)
		}
	}
	for name, change := range last {
		if change.Removed {
			next.removed = append(next.removed, removal{name: name, revision: next.Revision})
		} else {
			next.Objects = append(next.Objects, change.Object)
		}
	}
	slices.SortFunc(next.Objects, func(a, b product.Object) int { return cmp.Compare(a.Name, b.Name) })
	next.forget()
	return next
}

// forget drops the oldest removals beyond removedMost.
func (p *Part) forget() {
	over := len(p.removed) - removedMost
	if over <= 0 {
		return
	}
	slices.SortStableFunc(p.removed, func(a, b removal) int { return cmp.Compare(a.revision, b.revision) })
	p.floor = p.removed[over-1].revision
	p.removed = p.removed[over:]
}

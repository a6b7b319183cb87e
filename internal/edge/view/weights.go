package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// kindWeights is the kind of a collection that the entries form themselves: server records that differ from those of platform.KindServers in
// their weight versions only.
//
// While models are trained, the engines' weight versions change a hundred times a second, and all else in the server list a few times a
// minute. Only the entries that run batch jobs, order loads, or follow the store use the weight versions. Therefore the follower of the server
// list separates its changes. platform.KindServers spreads to all entries, and its objects keep their version when only weights change; those
// changes go to this collection, which the entries that need it read from the follower.
const kindWeights = "serverWeights"

// maxServersRevisionAge is how long the revision of the server list stays the same while only weight versions change. The next follower
// watches from that revision, and the store keeps its history for 20 s.
const maxServersRevisionAge = 8 * time.Second

// splitServerChanges separates changes of the server list into those that all entries need and those of weight versions only. The latter are
// none if cold servers are limited: which entry may use a cold server depends on its weight versions, and all entries must agree on that.
// The caller holds the lock.
func (v *View) splitServerChanges(changes platform.Changes) (registrations, weights platform.Changes) {
	registrations.Revision, weights.Revision = changes.Revision, changes.Revision
	current := map[string]product.Object{}
	for _, object := range v.serverObjects() {
		current[object.Name] = object
	}
	all := v.limitsColdServers()
	for _, change := range changes.Changes {
		known, ok := current[change.Object.Name]
		switch {
		case change.Removed:
			delete(current, change.Object.Name)
			registrations.Changes = append(registrations.Changes, change)
			continue
		case !all && ok && differInWeightsOnly(known, change.Object):
			weights.Changes = append(weights.Changes, change)
		default:
			registrations.Changes = append(registrations.Changes, change)
		}
		current[change.Object.Name] = change.Object
	}
	return registrations, weights
}

// differInWeightsOnly reports whether two records of a server are valid and the same except for weight versions.
func differInWeightsOnly(a, b product.Object) bool {
	before, err := platform.ReadServer(a.Name, a.Value)
	if err != nil {
		return false
	}
	after, err := platform.ReadServer(b.Name, b.Value)
	return err == nil && before.DiffersInWeightsOnly(after)
}

func (v *View) limitsColdServers() bool {
	table := v.current.Load().Table
	if table == nil {
		return false
	}
	return slices.ContainsFunc(table.Pools(), func(pool routing.Pool) bool { return pool.ColdLimit.PerSecond > 0 })
}

// serverObjects returns the newest known record of each server in the list. The caller holds the lock.
func (v *View) serverObjects() []product.Object {
	listed, weights := v.collections[platform.KindServers].Objects, v.collections[kindWeights].Objects
	if len(weights) == 0 {
		return listed
	}
	newest := make([]product.Object, 0, len(listed))
	for _, object := range listed {
		if loaded, ok := find(weights, object.Name); ok && loaded.Version > object.Version {
			object = loaded
		}
		newest = append(newest, object)
	}
	return newest
}

// mergeWeights returns the collection with the records of another one that are newer, without those that the server list has superseded or
// whose server is gone. Unlike an update of another kind, one with all objects of a follower doesn't replace the collection: a follower knows
// the weight versions that have changed since it began to follow.
func mergeWeights(known, update, servers Collection) Collection {
	newest := map[string]product.Object{}
	for _, object := range slices.Concat(known.Objects, update.Objects) {
		if object.Version > newest[object.Name].Version {
			newest[object.Name] = object
		}
	}
	for _, server := range servers.Objects {
		if object, ok := newest[server.Name]; ok && object.Version <= server.Version {
			delete(newest, server.Name)
		}
	}
	next := Collection{Kind: kindWeights, Revision: max(known.Revision, update.Revision)}
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		object := newest[name]
		// A record that is newer than the list may belong to a server that the list doesn't contain yet.
		if uint64(object.Version) > servers.Revision || contains(servers.Objects, name) {
			next.Objects = append(next.Objects, object)
		}
	}
	return next
}

// contains reports whether the objects, which are sorted by name, contain one of that name.
func contains(objects []product.Object, name string) bool {
	_, found := find(objects, name)
	return found
}

// find returns the object with the name among objects that are sorted by name.
func find(objects []product.Object, name string) (product.Object, bool) {
	i, found := slices.BinarySearchFunc(objects, name, func(o product.Object, name string) int { return cmp.Compare(o.Name, name) })
	if !found {
		return product.Object{}, false
	}
	return objects[i], true
}

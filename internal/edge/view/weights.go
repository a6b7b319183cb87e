package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// kindWeights is the kind of a collection that the entries form themselves: server records that differ from those of platform.KindServers in
// their weight versions only. The entries that use weight versions read it from the follower of the server list, so that the frequent loads of
// weights don't reach all entries.
const kindWeights = "serverWeights"

// maxServersRevisionAge is how long the revision of the server list stays the same while only weight versions change. The next follower
// watches from that revision, and the store keeps its history for 20 s.
const maxServersRevisionAge = 8 * time.Second

// errRemoved marks a server that is no longer listed.
var errRemoved = errors.New("server removed")

// splitServerChanges separates changes of the server list into those that all entries need and those of weight versions only. The latter are
// none if cold servers are limited: which entry may use a cold server depends on its weight versions, and all entries must agree on that.
// The caller holds the lock.
func (v *View) splitServerChanges(changes platform.Changes) (registrations, weights platform.Changes) {
	registrations.Revision, weights.Revision = changes.Revision, changes.Revision
	all := v.limitsColdServers()
	// changed holds the servers of earlier changes, which may be of the same server.
	changed := map[string]decodedServer{}
	for _, change := range changes.Changes {
		before, ok := changed[change.Object.Name]
		if !ok {
			before, ok = v.decoded[change.Object.Name]
		}
		after := decodedServer{err: errRemoved}
		if !change.Removed {
			after = decodeServer(change.Object)
		}
		changed[change.Object.Name] = after
		if !all && ok && before.err == nil && after.err == nil && before.server.DiffersInWeightsOnly(after.server) {
			weights.Changes = append(weights.Changes, change)
		} else {
			registrations.Changes = append(registrations.Changes, change)
		}
	}
	return registrations, weights
}

// limitsColdServers reports whether any pool limits the use of its cold servers. The caller holds the lock.
func (v *View) limitsColdServers() bool {
	table := v.current.Load().Table
	return table != nil && slices.ContainsFunc(table.Pools(), func(pool routing.Pool) bool { return pool.ColdLimit.PerSecond > 0 })
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
// whose server is gone, and reports whether that added any. Unlike an update of another kind, one with all objects of a follower doesn't
// replace the collection: a follower knows the weight versions that have changed since it began to follow.
func mergeWeights(known, update, servers Collection) (merged Collection, added bool) {
	newest := map[string]product.Object{}
	for _, object := range known.Objects {
		newest[object.Name] = object
	}
	for _, object := range update.Objects {
		if object.Version > newest[object.Name].Version && servers.lacks(object) {
			newest[object.Name] = object
			added = true
		}
	}
	merged = Collection{Kind: kindWeights, Revision: max(known.Revision, update.Revision)}
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		if object := newest[name]; servers.lacks(object) {
			merged.Objects = append(merged.Objects, object)
		}
	}
	return merged, added
}

// lacks reports whether the collection lacks an object of its kind in this version. An object that is not in it may be newer than the
// collection.
func (c Collection) lacks(object product.Object) bool {
	if listed, ok := find(c.Objects, object.Name); ok {
		return object.Version > listed.Version
	}
	return uint64(object.Version) > c.Revision
}

// find returns the object with the name among objects that are sorted by name.
func find(objects []product.Object, name string) (product.Object, bool) {
	i, found := slices.BinarySearchFunc(objects, name, func(o product.Object, name string) int { return cmp.Compare(o.Name, name) })
	if !found {
		return product.Object{}, false
	}
	return objects[i], true
}

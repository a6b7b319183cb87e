package view

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

func configurationCollection(revision uint64, version int) Collection {
	value := fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, version)
	return Collection{Kind: platform.KindConfiguration, Revision: revision, Objects: []product.Object{
		{Name: platform.NameConfiguration, Version: product.Version(revision), Value: json.RawMessage(value)},
	}}
}

// Guards against an older configuration replacing a newer one when entries exchange what they know, whatever the order in
// which it arrives.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	for _, test := range []struct {
		name        string
		collections []Collection
		want        uint64
	}{
		{name: "newer version and revision", collections: []Collection{configurationCollection(2, 3), configurationCollection(5, 9)}, want: 9},
		{name: "older revision", collections: []Collection{configurationCollection(5, 9), configurationCollection(2, 3)}, want: 9},
		{name: "older version with a newer revision", collections: []Collection{configurationCollection(5, 9), configurationCollection(7, 3)},
			want: 9},
		{name: "invalid", collections: []Collection{
			configurationCollection(5, 9),
			{Kind: platform.KindConfiguration, Revision: 8, Objects: []product.Object{{Name: "main", Value: json.RawMessage(`"x"`)}}},
		}, want: 9},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := New(zerolog.Nop())
			for _, collection := range test.collections {
				v.ApplyIfNewer(collection)
			}
			if got := v.Snapshot().Table.Version; got != test.want {
				t.Errorf("version = %d, want the highest", got)
			}
		})
	}
}

func TestCollectionWithChanges(t *testing.T) {
	collection := Collection{Kind: platform.KindServers, Revision: 4, Objects: []product.Object{{Name: "a"}, {Name: "b"}}}
	next := collection.withChanges(platform.Changes{Revision: 9, Changes: []platform.Change{
		{Object: product.Object{Name: "a"}, Removed: true},
		{Object: product.Object{Name: "c", Version: 8}},
		{Object: product.Object{Name: "b", Version: 9}},
	}})
	if next.Revision != 9 || len(next.Objects) != 2 || next.Objects[0].Version != 9 || next.Objects[1].Name != "c" {
		t.Errorf("%+v", next)
	}
	if len(collection.Objects) != 2 || collection.Objects[0].Name != "a" {
		t.Errorf("the original collection changed: %+v", collection)
	}
}

// An object in the server list that is not a server record must be ignored without affecting the valid ones.
func TestInvalidServerObjectsAreIgnored(t *testing.T) {
	v := New(zerolog.Nop())
	good := `{"service":"s","address":"10.0.0.9:80","zone":"a","slots":1,"state":"ready","born":1}`
	v.ApplyIfNewer(Collection{Kind: platform.KindServers, Revision: 3, Objects: []product.Object{
		{Name: "bad", Value: json.RawMessage(`[1]`)},
		{Name: "good", Value: json.RawMessage(good)},
		{Name: "worse", Value: json.RawMessage(`{"service":7}`)},
	}})
	if servers := v.Snapshot().Servers; len(servers) != 1 || servers[0].ID != "good" {
		t.Errorf("%+v", servers)
	}
}

// versionsByName returns the versions of a collection's objects by name.
func versionsByName(c Collection) map[string]product.Version {
	found := map[string]product.Version{}
	for _, object := range c.Objects {
		found[object.Name] = object.Version
	}
	return found
}

// An entry that fetches only the changes must end up with the same objects as the sender, whether objects were added, changed,
// removed, or removed and created again. An entry that knows nothing, or is too far behind for the kept removals, receives all
// objects.
func TestIncrementalUpdateMatchesSource(t *testing.T) {
	object := func(name string, version product.Version) product.Object {
		return product.Object{Name: name, Version: version}
	}
	source := newCollection(platform.KindServers, 4, []product.Object{object("a", 2), object("b", 4), object("c", 3), object("e", 1)})
	for _, changes := range []platform.Changes{
		{Revision: 6, Changes: []platform.Change{{Object: object("c", 6), Removed: true}, {Object: object("e", 6), Removed: true}}},
		{Revision: 9, Changes: []platform.Change{{Object: object("b", 7)}, {Object: object("d", 8)}, {Object: object("e", 9)}}},
		{Revision: 12, Changes: []platform.Change{{Object: object("f", 10)}, {Object: object("f", 11), Removed: true}}},
	} {
		source = source.withChanges(changes)
	}
	for _, test := range []struct {
		name     string
		known    Collection
		complete bool
		changed  int
	}{
		{name: "at the initial revision", known: newCollection(platform.KindServers, 4, []product.Object{
			object("a", 2), object("b", 4), object("c", 3), object("e", 1),
		}), changed: 3},
		{name: "after the removals", known: newCollection(platform.KindServers, 7, []product.Object{object("a", 2), object("b", 7)}), changed: 2},
		{name: "up to date", known: newCollection(platform.KindServers, 12, source.Objects)},
		{name: "empty", complete: true, changed: 4},
		{name: "before the initial revision", known: newCollection(platform.KindServers, 3, []product.Object{object("z", 1)}),
			complete: true, changed: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			update := source.changesSince(test.known.Revision)
			if update.Complete != test.complete || len(update.Changed) != test.changed {
				t.Errorf("update: complete = %v, changed objects = %d", update.Complete, len(update.Changed))
			}
			next := test.known.withUpdate(update)
			if diff := cmp.Diff(versionsByName(source), versionsByName(next)); diff != "" || next.Revision != 12 {
				t.Errorf("revision %d: %s", next.Revision, diff)
			}
			if again := source.withUpdate(next.changesSince(12)); len(again.Objects) != len(source.Objects) {
				t.Errorf("objects after an update from the copy = %v", versionsByName(again))
			}
		})
	}
}

// Guards against an entry keeping a removed server for ever: only recent removals are kept, so that a request for older
// changes must be answered with all objects.
func TestTrimmedRemovalsCauseCompleteUpdate(t *testing.T) {
	source := newCollection(platform.KindServers, 1, []product.Object{{Name: "first", Version: 1}})
	copied := source
	for i := range 3 * maxRemovals {
		revision := product.Version(i + 2)
		source = source.withChanges(platform.Changes{Revision: revision, Changes: []platform.Change{
			{Object: product.Object{Name: fmt.Sprint(i), Version: revision}},
		}})
		source = source.withChanges(platform.Changes{Revision: revision, Changes: []platform.Change{
			{Object: product.Object{Name: fmt.Sprint(i)}, Removed: true},
		}})
		if i == 0 {
			copied = newCollection(platform.KindServers, uint64(revision), []product.Object{
				{Name: "first", Version: 1}, {Name: "0", Version: revision},
			})
		}
	}
	if len(source.removals) > maxRemovals {
		t.Errorf("%d removals kept, want at most maxRemovals", len(source.removals))
	}
	if diff := cmp.Diff(versionsByName(source), versionsByName(copied.withUpdate(source.changesSince(copied.Revision)))); diff != "" {
		t.Error(diff)
	}
}

// fakeMembers is a fixed list of entries.
type fakeMembers struct {
	self   string
	others []string
	// address is the peer address of all others.
	address netip.AddrPort
}

func (m fakeMembers) Self() gossip.Member { return gossip.Member{HostID: m.self} }

func (m fakeMembers) Find(_ time.Time, hostID string) (gossip.Member, bool) {
	return gossip.Member{HostID: hostID, Address: m.address}, slices.Contains(m.others, hostID)
}

func (m fakeMembers) Alive(time.Time) []gossip.Member {
	var members []gossip.Member
	for _, host := range m.others {
		members = append(members, gossip.Member{HostID: host, Address: m.address})
	}
	return members
}

// Guards against all entries of a deployment reading and watching everything when they start at once, which made up a third of
// the store calls of that minute. The first in follow order read for all; an entry that receives nothing reads for itself
// after maxInitialWait.
func TestStartingEntriesLimitInitialReads(t *testing.T) {
	hosts := hostsInFollowOrder(27)
	for i, host := range hosts {
		f := &Follower{members: fakeMembers{
			self:   host,
			others: slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == host }),
		}, started: baseTime}
		if f.shouldReadInitially(baseTime.Add(300*time.Millisecond - time.Millisecond)) {
			t.Errorf("host %d reads the store before it has waited", i)
		}
		if got := f.shouldReadInitially(baseTime.Add(300 * time.Millisecond)); got != (i < standbys) {
			t.Errorf("host %d: shouldReadInitially = %v", i, got)
		}
		if !f.shouldReadInitially(baseTime.Add(maxInitialWait)) {
			t.Errorf("host %d does not read the store after maxInitialWait", i)
		}
	}
}

// Guards against an entry that forgets an evacuation, or that sends requests before it knows which zones are evacuated.
func TestEvacuations(t *testing.T) {
	v := New(zerolog.Nop())
	v.ApplyIfNewer(configurationCollection(1, 1))
	v.ApplyIfNewer(newCollection(platform.KindServers, 1, nil))
	if v.Snapshot().Complete() {
		t.Error("complete without evacuations")
	}
	for _, step := range []struct {
		revision uint64
		zones    []string
		want     map[string]bool
	}{
		{revision: 5, want: map[string]bool{}},
		{revision: 7, zones: []string{"a", "b"}, want: map[string]bool{"a": true, "b": true}},
		{revision: 6, want: map[string]bool{"a": true, "b": true}},
		{revision: 8, zones: []string{"b"}, want: map[string]bool{"b": true}},
	} {
		var objects []product.Object
		for _, zone := range step.zones {
			objects = append(objects, product.Object{Name: zone, Version: product.Version(step.revision), Value: []byte("{}")})
		}
		v.ApplyIfNewer(newCollection(platform.KindEvacuations, step.revision, objects))
		if diff := cmp.Diff(step.want, v.Snapshot().Evacuated); diff != "" {
			t.Errorf("revision %d (-want +got):\n%s", step.revision, diff)
		}
	}
	if !v.Snapshot().Complete() {
		t.Error("incomplete although all is known")
	}
}

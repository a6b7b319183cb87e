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

func configuration(revision uint64, version int) Part {
	value := fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, version)
	return Part{Kind: platform.KindConfiguration, Revision: revision, Objects: []product.Object{
		{Name: platform.NameConfiguration, Version: product.Version(revision), Value: json.RawMessage(value)},
	}}
}

// Two entries tell each other what they know, and one of them is behind. A configuration that was in force must never be replaced
// by an older one, whatever comes in which order.
func TestConfigurationsNeverGoBack(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts []Part
		want  uint64
	}{
		{name: "forward", parts: []Part{configuration(2, 3), configuration(5, 9)}, want: 9},
		{name: "an older revision", parts: []Part{configuration(5, 9), configuration(2, 3)}, want: 9},
		{name: "an older version under a newer revision", parts: []Part{configuration(5, 9), configuration(7, 3)}, want: 9},
		{name: "unreadable", parts: []Part{configuration(5, 9), {Kind: platform.KindConfiguration, Revision: 8, Objects: []product.Object{{Name: "main", Value: json.RawMessage(`"x"`)}}}}, want: 9},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := New(zerolog.Nop())
			for _, part := range test.parts {
				v.Offer(part)
			}
			if got := v.Now().Table.Version; got != test.want {
				t.Errorf("version %d", got)
			}
		})
	}
}

func TestChangesOfAPart(t *testing.T) {
	part := Part{Kind: platform.KindServers, Revision: 4, Objects: []product.Object{{Name: "a"}, {Name: "b"}}}
	next := part.after(platform.Changes{Revision: 9, Changes: []platform.Change{
		{Object: product.Object{Name: "a"}, Removed: true},
		{Object: product.Object{Name: "c", Version: 8}},
		{Object: product.Object{Name: "b", Version: 9}},
	}})
	if next.Revision != 9 || len(next.Objects) != 2 || next.Objects[0].Version != 9 || next.Objects[1].Name != "c" {
		t.Errorf("%+v", next)
	}
	if len(part.Objects) != 2 || part.Objects[0].Name != "a" {
		t.Errorf("the former part changed: %+v", part)
	}
}

// Something else than a server wrote into the list. The entry names no server, and the others hold.
func TestForeignEntriesNameNoServer(t *testing.T) {
	v := New(zerolog.Nop())
	good := `{"service":"s","address":"10.0.0.9:80","zone":"a","slots":1,"state":"ready","born":1}`
	v.Offer(Part{Kind: platform.KindServers, Revision: 3, Objects: []product.Object{
		{Name: "bad", Value: json.RawMessage(`[1]`)},
		{Name: "good", Value: json.RawMessage(good)},
		{Name: "worse", Value: json.RawMessage(`{"service":7}`)},
	}})
	if servers := v.Now().Servers; len(servers) != 1 || servers[0].ID != "good" {
		t.Errorf("%+v", servers)
	}
}

// names returns the objects of a part with their versions.
func names(p Part) map[string]product.Version {
	found := map[string]product.Version{}
	for _, object := range p.Objects {
		found[object.Name] = object.Version
	}
	return found
}

// An entry that is behind asks another for what changed, and must have the very same objects afterwards: with what was added, changed,
// removed, and removed and made again. One that knows nothing, or is so far behind that removals are forgotten, gets everything.
func TestWhatChangedMakesTheSamePart(t *testing.T) {
	object := func(name string, version product.Version) product.Object {
		return product.Object{Name: name, Version: version}
	}
	there := newPart(platform.KindServers, 4, []product.Object{object("a", 2), object("b", 4), object("c", 3), object("e", 1)})
	for _, changes := range []platform.Changes{
		{Revision: 6, Changes: []platform.Change{{Object: object("c", 6), Removed: true}, {Object: object("e", 6), Removed: true}}},
		{Revision: 9, Changes: []platform.Change{{Object: object("b", 7)}, {Object: object("d", 8)}, {Object: object("e", 9)}}},
		{Revision: 12, Changes: []platform.Change{{Object: object("f", 10)}, {Object: object("f", 11), Removed: true}}},
	} {
		there = there.after(changes)
	}
	for _, test := range []struct {
		name    string
		here    Part
		whole   bool
		changed int
	}{
		{name: "as it was", here: newPart(platform.KindServers, 4, []product.Object{object("a", 2), object("b", 4), object("c", 3), object("e", 1)}), changed: 3},
		{name: "since the removals", here: newPart(platform.KindServers, 7, []product.Object{object("a", 2), object("b", 7)}), changed: 2},
		{name: "as it is", here: newPart(platform.KindServers, 12, there.Objects)},
		{name: "without anything", whole: true, changed: 4},
		{name: "from before the list", here: newPart(platform.KindServers, 3, []product.Object{object("z", 1)}), whole: true, changed: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			answer := there.since(test.here.Revision)
			if answer.Whole != test.whole || len(answer.Changed) != test.changed {
				t.Errorf("whole %v, %d objects go over the wire", answer.Whole, len(answer.Changed))
			}
			next := test.here.updated(answer)
			if diff := cmp.Diff(names(there), names(next)); diff != "" || next.Revision != 12 {
				t.Errorf("revision %d: %s", next.Revision, diff)
			}
			if again := there.updated(next.since(12)); len(again.Objects) != len(there.Objects) {
				t.Errorf("the copy tells %v", names(again))
			}
		})
	}
}

// Servers come and go all day. Removals are remembered for a while only, and one who asks for older ones must get everything, or it would keep
// a server for ever that is gone.
func TestForgottenRemovalsAreNotMissed(t *testing.T) {
	there := newPart(platform.KindServers, 1, []product.Object{{Name: "first", Version: 1}})
	here := there
	for i := range 3 * removedMost {
		revision := product.Version(i + 2)
		there = there.after(platform.Changes{Revision: revision, Changes: []platform.Change{{Object: product.Object{Name: fmt.Sprint(i), Version: revision}}}})
		there = there.after(platform.Changes{Revision: revision, Changes: []platform.Change{{Object: product.Object{Name: fmt.Sprint(i)}, Removed: true}}})
		if i == 0 {
			here = newPart(platform.KindServers, uint64(revision), []product.Object{{Name: "first", Version: 1}, {Name: "0", Version: revision}})
		}
	}
	if len(there.removed) > removedMost {
		t.Errorf("%d removals remembered", len(there.removed))
	}
	if diff := cmp.Diff(names(there), names(here.updated(there.since(here.Revision)))); diff != "" {
		t.Error(diff)
	}
}

// fakeMembers are the entries that a follower hears of.
type fakeMembers struct {
	self   string
	others []string
	// address is shared by all others.
	address netip.AddrPort
}

func (m fakeMembers) Self() gossip.Member { return gossip.Member{HostID: m.self} }

func (m fakeMembers) Alive(time.Time) []gossip.Member {
	var members []gossip.Member
	for _, host := range m.others {
		members = append(members, gossip.Member{HostID: host, Address: m.address})
	}
	return members
}

// All entries of a deployment start at once. Each read and watched everything by itself, a third of a minute's calls to the store; now
// the first in order read for all, and one that nobody tells anything reads for itself in the end.
func TestFreshEntriesWaitForEachOther(t *testing.T) {
	hosts := inOrder(27)
	for i, host := range hosts {
		f := &Follower{members: fakeMembers{self: host, others: slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == host })}, started: start}
		if f.begins(start.Add(300*time.Millisecond - time.Millisecond)) {
			t.Errorf("number %d didn't wait", i)
		}
		if got := f.begins(start.Add(300 * time.Millisecond)); got != (i < standbys) {
			t.Errorf("number %d reads the store: %v", i, got)
		}
		if !f.begins(start.Add(beginMost)) {
			t.Errorf("number %d never reads the store", i)
		}
	}
}

package view

import (
	"encoding/json"
	"fmt"
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

// An entry that is behind asks another for what changed, and must have the very same part afterwards: with what was added, changed and
// removed. One that lacks an object, since it heard nothing of that kind yet, is told so and asks for the whole.
func TestWhatChangedMakesTheSamePart(t *testing.T) {
	there := Part{Kind: platform.KindServers, Revision: 9, Objects: []product.Object{{Name: "a", Version: 2}, {Name: "b", Version: 7}, {Name: "d", Version: 9}}}
	for _, test := range []struct {
		name    string
		here    Part
		changed int
		whole   bool
	}{
		{name: "behind", here: Part{Revision: 5, Objects: []product.Object{{Name: "a", Version: 2}, {Name: "b", Version: 4}, {Name: "c", Version: 3}}}, changed: 2, whole: true},
		{name: "without anything", changed: 3, whole: true},
		{name: "lacking an object", here: Part{Revision: 5}, changed: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			answer := there.since(test.here.Revision)
			if len(answer.Changed) != test.changed {
				t.Errorf("%d objects go over the wire", len(answer.Changed))
			}
			got, whole := test.here.updated(answer)
			if whole != test.whole {
				t.Fatalf("whole: %v", whole)
			}
			if diff := cmp.Diff(there, got); whole && diff != "" {
				t.Error(diff)
			}
		})
	}
}

// fakeMembers are the entries that a follower hears of.
type fakeMembers struct {
	self   string
	others []string
}

func (m fakeMembers) Self() gossip.Member { return gossip.Member{HostID: m.self} }

func (m fakeMembers) Alive(time.Time) []gossip.Member {
	var members []gossip.Member
	for _, host := range m.others {
		members = append(members, gossip.Member{HostID: host})
	}
	return members
}

// All entries of a deployment start at once. Each read and watched everything by itself, a third of a minute's calls to the store; now
// the first in order read for all, and one that nobody tells anything reads for itself in the end.
func TestFreshEntriesWaitForEachOther(t *testing.T) {
	hosts := inOrder(27)
	for i, host := range hosts {
		f := &Follower{members: fakeMembers{self: host, others: slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == host })}, started: start}
		if f.begins(start.Add(beginWait - time.Millisecond)) {
			t.Errorf("number %d didn't wait", i)
		}
		if got := f.begins(start.Add(beginWait)); got != (i < standbys) {
			t.Errorf("number %d reads the store: %v", i, got)
		}
		if !f.begins(start.Add(beginMost)) {
			t.Errorf("number %d never reads the store", i)
		}
	}
}

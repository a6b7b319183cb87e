package dispatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPlanWithRestrictions(t *testing.T) {
	a, b, c := newItem("a", "g", 140), newItem("b", "h", 90), newItem("c", "i", 15)
	running := b.at("slow", slowInterval)
	exclude := func(item, server string) func(r *Restrictions) {
		return func(r *Restrictions) { r.Exclude(item, server) }
	}
	suspects := func(items ...string) func(r *Restrictions) {
		return func(r *Restrictions) {
			for _, item := range items {
				r.AddSuspect(item, true)
			}
		}
	}
	for _, test := range []struct {
		// failure is what the case guards against.
		failure  string
		restrict func(r *Restrictions)
		state    State
		slots    []Slot
		want     []string
	}{
		{"an item is assigned to a server that may not run it, and to no other", exclude("a", "fast"), newState([]Item{a}, nil),
			[]Slot{fastSlot(1), slowSlot(1)}, []string{"a>slow"}},
		{"the item behind it doesn't get the slot", exclude("a", "fast"), newState([]Item{a, b}, nil),
			[]Slot{fastSlot(1), slowSlot(1)}, []string{"b>fast", "a>slow"}},
		{"the item behind it waits", exclude("a", "fast"), newState([]Item{a, b}, nil), []Slot{fastSlot(1)}, []string{"b>fast"}},
		{"an item moves to a server that may not run it", exclude("b", "fast"), newState(nil, []Item{running}), []Slot{fastSlot(1)}, []string{}},
		{"a waiting item doesn't get the slot because of such a move", exclude("b", "fast"), newState([]Item{c}, []Item{running}),
			[]Slot{fastSlot(1)}, []string{"c>fast"}},
		{"suspects share a server", suspects("a", "b"), newState([]Item{a, b, c}, nil), []Slot{fastSlot(3), slowSlot(3)},
			[]string{"a>fast", "c>fast", "b>slow"}},
		{"a suspect waits although it has done so for too long", func(r *Restrictions) {
			r.AddSuspect("a", true)
			r.AddSuspect("b", false)
		}, newState([]Item{a, b}, nil), []Slot{fastSlot(2)}, []string{"a>fast", "b>fast"}},
		{"a suspect joins one that has waited for too long", func(r *Restrictions) {
			r.AddSuspect("a", false)
			r.AddSuspect("b", true)
		}, newState([]Item{a, b}, nil), []Slot{fastSlot(2)}, []string{"a>fast"}},
		{"a suspect moves to another one", suspects("a", "b"), newState([]Item{a}, []Item{running}), []Slot{fastSlot(2)}, []string{"a>fast"}},
		{"an item that needs an idle server starts beside another one", func(r *Restrictions) { r.AddNeedIdle("b") },
			newState([]Item{a, b, c}, nil), []Slot{fastSlot(2), slowSlot(2)}, []string{"a>fast", "c>fast", "b>slow"}},
	} {
		var restrictions Restrictions
		test.restrict(&restrictions)
		ranking := Rank(test.state)
		ranking.Restrict(restrictions)
		for range 2 {
			got := []string{}
			for _, action := range Plan(ranking, test.slots) {
				got = append(got, action.Item+">"+action.To)
			}
			if !cmp.Equal(got, test.want) {
				t.Errorf("%s: %v, want %v", test.failure, got, test.want)
			}
		}
	}
}

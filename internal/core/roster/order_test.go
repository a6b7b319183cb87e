package roster

import (
	"testing"
	"time"
)

// Guards against entries that disagree about the order, and against leaving entries that are included in it.
func TestAllEntriesAgreeOnTheirOrder(t *testing.T) {
	const count = 40
	all := membersExcept(count, -1)
	positions := map[int]bool{}
	for i, member := range all {
		others := membersExcept(count, i)
		position := Position(member.HostID, others)
		if predecessors := Predecessors(member.HostID, others); len(predecessors) != position {
			t.Errorf("%s has %d predecessors at position %d", member.HostID, len(predecessors), position)
		}
		positions[position] = true
	}
	if len(positions) != count {
		t.Errorf("%d distinct positions for %d entries", len(positions), count)
	}
	for i := range all {
		all[i].Leaving = true
	}
	if predecessors := Predecessors("entry-x", all); len(predecessors) != 0 {
		t.Errorf("%d leaving entries are predecessors", len(predecessors))
	}
}

// Guards against duties at an entry with few cores, where the heartbeats of all others and the orders for all engines take more processor time
// than it has.
func TestEntriesWithMostCoresContendForDuties(t *testing.T) {
	for _, count := range []int{1, 4, 23, 93, 384, 1000} {
		all := membersExcept(count, -1)
		large := 0
		for i := range all {
			all[i].Cores = 0.144
			if i%6 == 0 {
				all[i].Cores = 1.6
				large++
			}
		}
		positions := map[int]bool{}
		for i, self := range all {
			others := append(append([]Member{}, all[:i]...), all[i+1:]...)
			position := DutyPosition(self, others)
			positions[position] = true
			if (position < large) != (self.Cores > 1) {
				t.Errorf("%d entries: %s with %v cores is at position %d", count, self.HostID, self.Cores, position)
			}
		}
		if len(positions) != count {
			t.Errorf("%d distinct positions for %d entries", len(positions), count)
		}
	}
	equal := membersExcept(5, -1)
	if got, want := DutyPosition(equal[2], append(equal[:2:2], equal[3:]...)), Position(equal[2].HostID, append(equal[:2:2], equal[3:]...)); got != want {
		t.Errorf("position %d among equal entries, want %d", got, want)
	}
}

// Guards against several new entries that each take the first position because they know no other living one yet.
func TestNewEntryWaitsBeforeItTakesAPosition(t *testing.T) {
	for _, test := range []struct {
		name    string
		running time.Duration
		members []Member
		want    bool
	}{
		{name: "just started", running: settledTime - 1, members: membersExcept(3, 0)},
		{name: "knows others", running: settledTime, members: membersExcept(3, 0), want: true},
		{name: "isolated", running: settledTime},
		{name: "isolated for long", running: isolatedTime, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Settled(test.running, test.members); got != test.want {
				t.Errorf("Settled = %v", got)
			}
		})
	}
}

// Guards against fetches from entries with a small CPU quota when all entries start at once.
func TestWithMostCores(t *testing.T) {
	members := []Member{{HostID: "a", Cores: 0.144}, {HostID: "b", Cores: 0.8}, {HostID: "c", Cores: 0.4}, {HostID: "d"}}
	var got string
	for _, member := range WithMostCores(members) {
		got += member.HostID
	}
	if got != "bc" {
		t.Errorf("got members %q", got)
	}
	if same := WithMostCores(membersExcept(3, -1)); len(same) != 3 {
		t.Errorf("got %d of 3 members with unknown cores", len(same))
	}
}

// An entry asks several dozen times a second which entries are alive and which position it has among them. Guards against answers that copy
// the list: at 384 entries the copies were most of what an idle entry allocated, and collecting them took more time than all its other work.
func TestQuestionsAboutMembersDoNotCopyThem(t *testing.T) {
	for _, entries := range []int{23, 384, 1000} {
		r := New(start, member(0))
		for i := 1; i < entries; i++ {
			r.MergeList(start, []Update{{Member: member(i)}})
		}
		allocations := testing.AllocsPerRun(100, func() {
			if alive := r.Alive(); len(alive) != entries-1 || len(r.Incarnations()) != entries-1 || Position(r.Self().HostID, alive) >= entries {
				t.Fatal("wrong list")
			}
		})
		if allocations > 0 {
			t.Errorf("%d entries: %v allocations for each question", entries, allocations)
		}
	}
}

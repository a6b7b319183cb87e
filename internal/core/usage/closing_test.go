package usage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestDueWindows(t *testing.T) {
	const length = 5 * time.Second
	for _, test := range []struct {
		name         string
		now          int64
		entryMissing bool
		want         []int64
	}{
		{name: "windows that ended recently", now: 1000, want: []int64{197, 198}},
		{name: "last window within its delay", now: 1003, want: []int64{197, 198}},
		{name: "last window after its delay", now: 1004, want: []int64{198, 199}},
		{name: "last window while an entry is missing", now: 1004, entryMissing: true, want: []int64{198}},
		{name: "last window after the delay for a missing entry", now: 1007, entryMissing: true, want: []int64{198, 199}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, DueWindows(time.Unix(test.now, 0), length, test.entryMissing)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestWindowSumsAllAgents(t *testing.T) {
	ledger := NewLedger()
	ledger.Add(Cell{Agent: 1, Organisation: "north", Window: 10}, Amount{Requests: 2})
	ledger.Merge(Count{Cell: Cell{Agent: 2, Organisation: "north", Window: 10}, Amount: Amount{Requests: 3}})
	ledger.Merge(Count{Cell: Cell{Agent: 2, Organisation: "north", Window: 10}, Amount: Amount{Requests: 1}})
	ledger.Add(Cell{Agent: 1, Organisation: "south", Window: 15}, Amount{Requests: 7})
	if diff := cmp.Diff(map[string]uint64{"north": 5}, ledger.RequestsInWindow(10)); diff != "" {
		t.Error(diff)
	}
	want := []Count{{Cell: Cell{Agent: 1, Organisation: "south", Window: 15}, Amount: Amount{Requests: 7}}}
	if diff := cmp.Diff(want, ledger.Filter(func(cell Cell) bool { return cell.Agent == 1 && cell.Window >= 11 })); diff != "" {
		t.Error(diff)
	}
}

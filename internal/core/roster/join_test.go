package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// membersExcept returns count members without the one at the given index; -1 omits none.
func membersExcept(count, omitted int) []Member {
	var members []Member
	for i := range count {
		if i != omitted {
			members = append(members, Member{HostID: fmt.Sprintf("entry-%d", i)})
		}
	}
	return members
}

// Guards against a burst of calls to the store when all entries of a large deployment start at once.
func TestFewEntriesUseTheStoreAfterACommonStart(t *testing.T) {
	for _, count := range []int{3, 88, 380} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			schedules := make([]JoinSchedule, count)
			used := map[int]int{}
			begin := time.Now()
			for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(400 * time.Millisecond) {
				for i := range schedules {
					if schedules[i].Due(now, fmt.Sprintf("entry-%d", i), membersExcept(count, i)) {
						used[i]++
						schedules[i].Done(now)
					}
				}
			}
			if want := min(count, registrantCount); len(used) != want {
				t.Errorf("%d entries used the store, want %d", len(used), want)
			}
			for i, times := range used {
				if times > 5 {
					t.Errorf("entry %d read the addresses %d times in a minute, want at most 5", i, times)
				}
			}
		})
	}
}

// Guards against an entry that stays isolated because no address was registered at its first read.
func TestAnIsolatedEntryReadsTheStoreAgain(t *testing.T) {
	var schedule JoinSchedule
	begin := time.Now()
	var due []time.Duration
	for now := begin; now.Before(begin.Add(40 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if schedule.Due(now, "entry-0", nil) {
			due = append(due, now.Sub(begin))
			schedule.Done(now)
		}
	}
	want := []time.Duration{0, 1, 3, 7, 15, 23, 31, 39}
	if !slices.EqualFunc(due, want, func(got, seconds time.Duration) bool { return got == seconds*time.Second }) {
		t.Errorf("reads are due at %v", due)
	}
}

// Guards against groups that never merge after a partition, and against an isolated entry that waits for a registrant's pause.
func TestGroupsOfEntriesFindEachOther(t *testing.T) {
	now := time.Now()
	for _, group := range [][]Member{membersExcept(40, -1), membersExcept(88, -1)[40:], membersExcept(2, -1)} {
		used := 0
		for i, member := range group {
			var schedule JoinSchedule
			if schedule.Due(now, member.HostID, slices.Delete(slices.Clone(group), i, i+1)) {
				used++
			}
		}
		if used != min(registrantCount, len(group)) {
			t.Errorf("%d of %d entries use the store", used, len(group))
		}
	}
	var schedule JoinSchedule
	if schedule.Due(now, "entry-0", membersExcept(2, 0)) {
		schedule.Done(now)
	}
	if !schedule.Due(now.Add(time.Second), "entry-0", nil) {
		t.Error("not due after the entry became isolated")
	}
}

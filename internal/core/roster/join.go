package roster

import (
	"math/rand/v2"
	"time"
)

const (
	// registrants is how many entries keep their addresses in the store, so that some remain when a third of all entries are lost.
	registrants = 6
	// isolatedPause is the initial pause between reads by an entry that knows no other living one. It doubles up to isolatedMost.
	isolatedPause = time.Second
	isolatedMost  = 8 * time.Second
	// registrantPause is the mean pause between reads by a registrant. Groups of entries that don't know each other merge within it.
	registrantPause = 30 * time.Second
)

// JoinSchedule decides when an entry writes its address to the platform's store and reads those of others: always while it knows no other
// living one, else only if it is a registrant, one of the first in an order by hash. It is not safe for concurrent use.
//
// Guards against every entry writing its address and reading all others at each start.
type JoinSchedule struct {
	isolated bool
	next     time.Time
	pause    time.Duration
}

// Due reports whether to write and read now. Members are the other living entries.
func (j *JoinSchedule) Due(now time.Time, hostID string, members []Member) bool {
	if isolated := len(members) == 0; isolated != j.isolated || j.pause == 0 {
		j.isolated = isolated
		j.next = now
		j.pause = isolatedPause
	}
	return !now.Before(j.next) && (j.isolated || len(Predecessors(hostID, members)) < registrants)
}

// Done records a successful write and read, and schedules the next one.
func (j *JoinSchedule) Done(now time.Time) {
	if !j.isolated {
		j.next = now.Add(registrantPause/2 + rand.N(registrantPause))
		return
	}
	j.next = now.Add(j.pause)
	j.pause = min(2*j.pause, isolatedMost)
}

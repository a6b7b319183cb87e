package roster

import (
	"math/rand/v2"
	"time"
)

const (
	// registrantCount is how many entries keep their addresses in the store, so that some remain when a third of all entries are lost.
	registrantCount = 6
	// isolatedPause is the initial pause between reads by an entry that knows no other living one. It doubles up to maxIsolatedPause.
	isolatedPause    = time.Second
	maxIsolatedPause = 8 * time.Second
	// registrantPause is the mean pause between reads by a registrant. Groups of entries that don't know each other find each other within it.
	registrantPause = 30 * time.Second
)

// JoinSchedule decides when an entry writes its address to the platform's store and reads those of others: an entry that knows no other
// living one always does, any other only if it is a registrant, one of the first in the order of Position. It is not safe for
// concurrent use.
//
// It prevents every entry from writing its address and reading all others at each start.
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
	return !now.Before(j.next) && (j.isolated || Position(hostID, members) < registrantCount)
}

// Done records a successful write and read, and schedules the next one.
func (j *JoinSchedule) Done(now time.Time) {
	if !j.isolated {
		j.next = now.Add(registrantPause/2 + rand.N(registrantPause))
		return
	}
	j.next = now.Add(j.pause)
	j.pause = min(2*j.pause, maxIsolatedPause)
}

package queue

import (
	"math"
	"slices"
	"time"
)

// started is an item at the server.
type started struct {
	cost  float64
	since time.Time
}

// running are the items at the server, in the order of their starts.
type running []started

func (r *running) began(now time.Time, cost float64) {
	*r = append(*r, started{cost: cost, since: now})
}

// ended takes out the oldest item of the cost.
func (r *running) ended(cost float64) {
	if at := slices.IndexFunc(*r, func(s started) bool { return s.cost == cost }); at >= 0 {
		*r = slices.Delete(*r, at, at+1)
	}
}

// longest is the longest time that an item takes, by the service time of its cost or by its age; false if the service time of
// one isn't known. Ages count only while the server starts nothing for as long as an item takes: once it does, the pause that they tell of is
// over.
func (r running) longest(now time.Time, service func(cost float64) time.Duration) (time.Duration, bool) {
	longest, oldest, newest := time.Duration(0), time.Duration(0), time.Duration(math.MaxInt64)
	for _, s := range r {
		took := service(s.cost)
		if took <= 0 {
			return 0, false
		}
		longest = max(longest, took)
		oldest = max(oldest, now.Sub(s.since))
		newest = min(newest, now.Sub(s.since))
	}
	if newest >= longest {
		longest = max(longest, oldest)
	}
	return longest, true
}

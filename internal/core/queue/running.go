package queue

import (
	"math"
	"slices"
	"time"
)

// runningItem is an item that is running at the server.
type runningItem struct {
	cost    float64
	started time.Time
}

// runningItems holds the items that are running at the server, in the order in which they started.
type runningItems []runningItem

func (r *runningItems) add(now time.Time, cost float64) {
	*r = append(*r, runningItem{cost: cost, started: now})
}

// removeOldest removes the oldest item of the cost.
func (r *runningItems) removeOldest(cost float64) {
	if at := slices.IndexFunc(*r, func(item runningItem) bool { return item.cost == cost }); at >= 0 {
		*r = slices.Delete(*r, at, at+1)
	}
}

// longestTime returns the longest time that any of the items takes, by the service time of its cost or by its
// age. It returns false if the service time of any item is unknown. Ages count only if the server has started
// nothing for the longest service time: once it starts an item, the stall that the ages reflect is over.
func (r runningItems) longestTime(now time.Time, service func(cost float64) time.Duration) (time.Duration, bool) {
	longest, oldest, newest := time.Duration(0), time.Duration(0), time.Duration(math.MaxInt64)
	for _, item := range r {
		serviceTime := service(item.cost)
		if serviceTime <= 0 {
			return 0, false
		}
		longest = max(longest, serviceTime)
		oldest = max(oldest, now.Sub(item.started))
		newest = min(newest, now.Sub(item.started))
	}
	if newest >= longest {
		longest = max(longest, oldest)
	}
	return longest, true
}

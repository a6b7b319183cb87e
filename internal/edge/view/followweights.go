package view

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// weightsPollInterval is how often an entry that uses weight versions reads their changes from the follower, which itself learns of them
// every minServerWatchInterval.
const weightsPollInterval = 400 * time.Millisecond

// usesWeights reports whether this entry keeps weight versions up to date: it uses them, or it may have to follow the store soon.
func (f *Follower) usesWeights(now time.Time) bool {
	return f.needsWeights() || f.position(now) < standbys
}

// followWeights reads the changes of weight versions from the entry that follows the server list, until ctx ends.
func (f *Follower) followWeights(ctx context.Context) {
	for ticker.Sleep(ctx, jitter(weightsPollInterval)) {
		now := time.Now()
		if !f.usesWeights(now) || f.contacts.shouldFollow(now, f.position(now), otherFollowers) {
			continue
		}
		host, ok := f.contacts.firstFollower(now)
		if !ok {
			continue
		}
		if follower, alive := f.members.Find(now, host); alive {
			f.fetch(ctx, follower.Address, kindWeights)
		}
	}
}

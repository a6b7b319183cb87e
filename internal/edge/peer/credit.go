package peer

import (
	"context"
	"sync"
)

// credit is the part of a stream's flow-control window that the sender may still use, in bytes. Without flow control
// the answer for a slow reader would fill the connection and block the answers of all other requests on it.
type credit struct {
	mu        sync.Mutex
	available int
	added     chan struct{}
}

func newCredit(window int) *credit {
	return &credit{available: window, added: make(chan struct{}, 1)}
}

// take blocks until at least one byte may be sent, and returns how many of the want bytes may be sent. It fails with
// the cause of ctx when ctx ends.
func (c *credit) take(ctx context.Context, want int) (int, error) {
	for {
		if n := c.tryTake(want); n > 0 {
			return n, nil
		}
		select {
		case <-c.added:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

func (c *credit) tryTake(want int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(want, c.available)
	c.available -= n
	return n
}

func (c *credit) add(n int) {
	c.mu.Lock()
	c.available += n
	c.mu.Unlock()
	select {
	case c.added <- struct{}{}:
	default:
	}
}

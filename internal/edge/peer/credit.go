package peer

import (
	"context"
	"sync"
)

// credit is the part of a stream's window that the sender may still use. Without it a slow reader's
// answer would fill the connection and hold up the answers of all other requests on it.
type credit struct {
	mu     sync.Mutex
	left   int
	signal chan struct{}
}

func newCredit(window int) *credit {
	return &credit{left: window, signal: make(chan struct{}, 1)}
}

// take waits until at least one byte may be sent and returns how many of want may be.
func (c *credit) take(ctx context.Context, want int) (int, error) {
	for {
		if n := c.tryTake(want); n > 0 {
			return n, nil
		}
		select {
		case <-c.signal:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

func (c *credit) tryTake(want int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(want, c.left)
	c.left -= n
	return n
}

func (c *credit) add(n int) {
	c.mu.Lock()
	c.left += n
	c.mu.Unlock()
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

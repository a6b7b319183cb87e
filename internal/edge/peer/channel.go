package peer

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// channel is the asking side of a connection.
type channel struct {
	*link

	mu      sync.Mutex
	streams map[uint64]*outbound
	next    uint64
	// reserved counts the requests that are open or about to be.
	reserved int
	// leaving: no new request may be sent on this connection.
	leaving bool
	idle    *time.Timer
}

func newChannel(l *link) *channel {
	c := &channel{link: l, streams: make(map[uint64]*outbound)}
	c.idle = time.AfterFunc(l.settings.idleTimeout, c.closeIdle)
	return c
}

func (c *channel) run() {
	_ = c.link.run(c.dispatch)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.idle.Stop()
}

// reserve makes room for one request; false means that another connection is needed.
func (c *channel) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving || c.ctx.Err() != nil {
		return false
	}
	c.reserved++
	c.idle.Stop()
	return true
}

func (c *channel) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved--
	if c.reserved > 0 {
		return
	}
	if c.leaving {
		c.end(ErrClosed)
		return
	}
	c.idle.Reset(c.settings.idleTimeout)
}

func (c *channel) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved == 0 {
		c.leaving = true
		c.end(ErrClosed)
	}
}

// claim gives an outbound request its stream, right before its frame is written: streams are
// numbered in the order in which they are sent, and a request without one was never sent.
func (c *channel) claim(out *outbound) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.streams[c.next] = out
	return c.next
}

func (c *channel) drop(stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, stream)
}

func (c *channel) dispatch(f frame) error {
	switch f.Kind {
	case kindHead, kindData, kindEnd, kindFail:
		c.mu.Lock()
		out, ok := c.streams[f.Stream]
		c.mu.Unlock()
		if !ok {
			return nil // late: the request was cancelled
		}
		return out.deliver(f)
	case kindGoAway:
		c.goAway()
		return nil
	default:
		return errors.Wrapf(ErrProtocol, "frame of kind %d from a server", f.Kind)
	}
}

func (c *channel) goAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if c.reserved == 0 {
		c.end(ErrClosed)
	}
}

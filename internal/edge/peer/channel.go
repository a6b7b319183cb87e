package peer

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// clientConn is the client side of a connection.
type clientConn struct {
	*frameConn

	mu           sync.Mutex
	streams      map[uint64]*clientStream
	lastStreamID uint64
	// reserved counts the requests that are running or about to be sent.
	reserved int
	// draining is set when no new request may be sent on this connection, and drainCause says why it then ends with its last request.
	draining   bool
	drainCause error
	idleTimer  *time.Timer
}

func newClientConn(transport *frameConn) *clientConn {
	c := &clientConn{frameConn: transport, streams: make(map[uint64]*clientStream)}
	c.idleTimer = time.AfterFunc(transport.settings.idleTimeout, c.closeIdle)
	return c
}

func (c *clientConn) run() {
	requests, cause := c.frameConn.run(c.dispatch, c.openRequests)
	c.reportEnd(true, requests, cause)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining, c.drainCause = true, cause
	c.idleTimer.Stop()
}

func (c *clientConn) openRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reserved
}

// reserve counts a request that is about to be sent. It returns false if the connection takes no new requests, as one that is silent.
func (c *clientConn) reserve() bool {
	silent := c.netConn.isSilent(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.ctx.Err() != nil {
		return false
	}
	if silent {
		c.drainLocked(errors.Wrap(ErrSilent, "replaced by a new connection"))
		return false
	}
	c.reserved++
	c.idleTimer.Stop()
	return true
}

func (c *clientConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved--
	if c.reserved > 0 {
		return
	}
	if c.draining {
		c.cancel(c.drainCause)
		return
	}
	c.idleTimer.Reset(c.settings.idleTimeout)
}

func (c *clientConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved == 0 {
		c.drainLocked(ErrClosed)
	}
}

// assignID assigns an ID to a stream and registers it, right before its request frame is written. IDs ascend in the order in which
// the frames are sent, and a request without an ID was never sent.
func (c *clientConn) assignID(s *clientStream) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastStreamID++
	c.streams[c.lastStreamID] = s
	return c.lastStreamID
}

func (c *clientConn) removeStream(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}

func (c *clientConn) dispatch(f frame) error {
	switch f.Kind {
	case kindHead, kindData, kindEnd, kindRefusal:
		c.mu.Lock()
		s, ok := c.streams[f.StreamID]
		c.mu.Unlock()
		if !ok {
			return nil // late frame of a cancelled request
		}
		return s.deliver(f)
	case kindGoAway:
		c.handleGoAway()
		return nil
	default:
		return errors.Wrapf(ErrProtocol, "frame of kind %d from a server", f.Kind)
	}
}

func (c *clientConn) handleGoAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainLocked(ErrClosed)
}

// drainLocked has the connection take no new requests, and ends it with the cause once none is open. The caller holds the lock.
func (c *clientConn) drainLocked(cause error) {
	c.draining, c.drainCause = true, cause
	if c.reserved == 0 {
		c.cancel(cause)
	}
}

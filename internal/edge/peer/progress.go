package peer

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/socket"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// readIntervals is the number of intervals in which the silence of a peer is counted.
const readIntervals = 3

// progressConn sets a new deadline for each read and for each part of a write, so that a long frame may take any time
// as long as data flows, and a stalled peer is detected.
type progressConn struct {
	net.Conn
	readTimeout, writeTimeout time.Duration
	// busy reports whether this process is short of processor time.
	busy func() bool
	// lastRead is when the last Read returned data, or when the connection was opened. Only the reading goroutine writes it.
	lastRead time.Time
	// readDelay is how long the data of the last Read may have waited in the socket buffer because this process was busy, and lastReturn
	// is when the read system call returned before that. Only the reading goroutine uses them.
	readDelay  time.Duration
	lastReturn time.Time

	mu sync.Mutex
	// lastArrival is lastRead for other goroutines.
	lastArrival time.Time
	// lastAwake is when a goroutine of this connection last ran; zero before the first one did.
	lastAwake time.Time
	// lastWrite is when the last Write ended, and writing is set while one is in progress. The peer expects heartbeats only after the
	// handshake; before that lastWrite is zero.
	lastWrite time.Time
	writing   bool
	// handshake is set until the handshake is over. Its frames can't be old, since they answer those of this side.
	handshake bool
	// processTime is sampled while the connection's goroutines run.
	processTime processTimeSample
	frozen      error
}

func newProgressConn(conn net.Conn, s settings) *progressConn {
	now := time.Now()
	return &progressConn{
		Conn:         conn,
		readTimeout:  s.heartbeatTimeout,
		writeTimeout: s.writeTimeout,
		busy:         s.busy,
		lastRead:     now,
		lastReturn:   now,
		lastArrival:  now,
	}
}

// Read returns ErrSilent if the peer sent nothing for the timeout, without intervals that this process ended late or in which it was busy.
//
// It returns ErrFrozen, even if data is available, if this process was suspended for so long that the peer has closed the connection: its
// callers know that their requests may have run, and old frames must not start them now. A reader that is only late continues.
func (c *progressConn) Read(p []byte) (int, error) {
	interval := c.readTimeout / readIntervals
	for silent := 0; ; {
		started := time.Now()
		if err := c.SetReadDeadline(started.Add(interval)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		now := time.Now()
		if err := c.confirmAwake(now); err != nil {
			return 0, err
		}
		delay := now.Sub(c.lastReturn) - interval
		c.lastReturn = now
		if n > 0 || !isTimeout(err) {
			c.readDelay = max(0, delay)
			c.recordRead(now)
			return n, err
		}
		if time.Since(started) < 2*interval && !c.busy() && !c.handshake {
			silent++
		}
		if quiet := time.Since(c.lastRead); silent == readIntervals || quiet > ticker.MaxExtension*c.readTimeout {
			return 0, errors.Wrapf(ErrSilent, "for %s", quiet)
		}
	}
}

// recordRead records that Read returned data.
func (c *progressConn) recordRead(now time.Time) {
	c.lastRead = now
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastArrival = now
}

// isSilent reports whether nothing has arrived from the peer for the timeout. Read waits longer than that in a busy process, because data may
// have arrived that the process had no time to read; here the socket tells.
func (c *progressConn) isSilent(now time.Time) bool {
	c.mu.Lock()
	quiet := now.Sub(c.lastArrival)
	c.mu.Unlock()
	if quiet <= c.readTimeout {
		return false
	}
	unread, err := socket.HasUnread(c.Conn)
	return err != nil || !unread
}

// Write limits how long each part of a frame may wait for the peer to read.
func (c *progressConn) Write(p []byte) (int, error) {
	if err := c.beginWrite(time.Now()); err != nil {
		return 0, err
	}
	defer c.endWrite()
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+bufferSize)])
		written += n
		if isTimeout(err) {
			return written, errors.Wrapf(ErrStalled, "for %s", c.writeTimeout)
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *progressConn) beginWrite(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.confirmAwakeLocked(now)
	c.writing = err == nil
	return err
}

func (c *progressConn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if !c.lastWrite.IsZero() {
		c.lastWrite = time.Now()
	}
}

// recordWrite records that frames are being written at the time.
func (c *progressConn) recordWrite(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite = now
}

// startHeartbeats records that the peer expects heartbeats from now on.
func (c *progressConn) startHeartbeats() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.handshake = false
	c.lastAwake, c.lastWrite = now, now
}

// sinceWrite returns how long nothing has been written.
func (c *progressConn) sinceWrite() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastWrite)
}

// confirmAwake returns ErrFrozen, then and ever after, if the peer may have closed the connection because this process sent nothing for too
// long. A process that ran meanwhile, but not these goroutines, keeps a connection that the peer has kept too.
func (c *progressConn) confirmAwake(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmAwakeLocked(now)
}

func (c *progressConn) confirmAwakeLocked(now time.Time) error {
	if c.lastAwake.IsZero() {
		c.lastAwake = c.lastRead
	}
	asleep := now.Sub(c.lastAwake)
	gap := asleep
	if !c.lastWrite.IsZero() && !c.writing {
		gap = max(gap, now.Sub(c.lastWrite))
	}
	if gap > c.readTimeout && c.frozen == nil && !c.handshake && !c.keeps(asleep) {
		c.frozen = errors.Wrapf(ErrFrozen, "for %s", gap)
	}
	c.lastAwake = now
	c.processTime.update(now)
	return c.frozen
}

// keeps reports whether a connection on which nothing was sent for too long is kept: the process ran meanwhile, though its goroutines for
// this connection may have been asleep, and the peer has not closed it.
func (c *progressConn) keeps(asleep time.Duration) bool {
	ran := asleep <= c.readTimeout || c.processTime.ranDuring(asleep)
	return ran && socket.IsOpen(c.Conn)
}

package callerconn

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/buffering"
)

const (
	// MaxHeaderBytes bounds the request line and the header of a request together. The operators allow 16 KiB of header, without the
	// request line.
	MaxHeaderBytes = 20 << 10
	// minHeadBuffer is the size in which reading a head begins.
	minHeadBuffer = 1 << 10
	// headTimeout bounds the time to read a head from its first byte on.
	headTimeout = 15 * time.Second
	// writeTimeout is how long a caller may accept none of the next maxWrite bytes of an answer.
	writeTimeout = 10 * time.Second
	maxWrite     = 64 << 10
)

const (
	// activeBytes is the memory of a connection with a request, beside the request: the library's buffers and the handler's state.
	activeBytes = 28 << 10
	// byteCost is the memory, in bytes, for each byte of a head: as read, as decoded, and as copied for a server. fieldCost is that for the
	// tables' entries of each header line, cookie or query argument.
	byteCost  = 3
	fieldCost = 260
	// maxKeptFields is the number of fields up to which a connection may keep the tables for its next request.
	maxKeptFields = 128
)

// callerConn is a caller's connection whose requests are accounted for as they arrive. It hands out a head once all of it has arrived and the
// account has the memory for decoding it, and never more than the request that is being read.
//
// After Linger, Close is a lingering close: unread bytes of a refused request would reset the connection, and the caller would not get the
// refusal. So Close ends the answer first, and then reads and discards the rest of the body.
type callerConn struct {
	*net.TCPConn
	account *Account
	caller  *buffering.Caller
	linger  atomic.Bool
	closed  sync.Once

	// head holds the bytes that were received and not handed out yet; ready of them are the present request's head.
	head  []byte
	ready int
	// body is the framing of the present request's body.
	body framing
	// held is what the present request holds, in bytes. active is set once the connection holds activeBytes.
	held   int
	active bool
	// largeHead is set if the present request has more than maxKeptFields fields.
	largeHead bool
	// refused is set once the account has refused memory for the present request.
	refused bool
	// failure is the error of reading a head of which a byte was handed out.
	failure error

	// mu guards the deadlines. yielded is set once the caller was ended in favour of others, and no later read may block.
	mu      sync.Mutex
	yielded bool
	// readLimit and writeLimit are the deadlines that the library has set; zero for none.
	readLimit, writeLimit time.Time
}

// Yields reports whether the present request of a connection yields to those of others: the account has refused memory for it, or has ended
// it. The library doesn't pass on all errors of reads.
func Yields(conn net.Conn) bool {
	c, ok := conn.(*callerConn)
	return ok && (c.refused || c.account.isEnded(c.caller))
}

// Linger makes Close read and discard what the caller is still sending of the present request. It has no effect on a connection that no
// Listener has accepted. It is called by the goroutine that reads from the connection.
func Linger(conn net.Conn) {
	if c, ok := conn.(*callerConn); ok && !c.body.done() {
		c.linger.Store(true)
	}
}

// Serving records that the whole request has been read.
func Serving(conn net.Conn) {
	if c, ok := conn.(*callerConn); ok {
		c.account.setPhase(c.caller, buffering.PhaseServing)
	}
}

// Hold accounts for memory, in bytes, that the present request of a connection needs beside its head and body, until it has been answered. The
// error says that the caller yields to others (Yields).
func Hold(conn net.Conn, bytes int) error {
	if c, ok := conn.(*callerConn); ok {
		return c.hold(bytes)
	}
	return nil
}

func (c *callerConn) hold(bytes int) error {
	if err := c.account.hold(c.caller, bytes); err != nil {
		c.refused = true
		return err
	}
	c.held += bytes
	return nil
}

// Read hands out the bytes of the present request. Once it has handed out all of them, the next call waits for the next request.
func (c *callerConn) Read(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	if c.failure != nil && c.ready == 0 {
		return 0, c.failure
	}
	if c.ready == 0 && c.body.done() {
		if err := c.readHead(); err != nil {
			if len(c.head) == 0 {
				return 0, c.readError(err)
			}
			// The library answers an error only after the first byte.
			c.failure, c.ready = c.readError(err), 1
			c.head = c.head[:1:1]
		}
	}
	if c.ready > 0 {
		n := copy(data, c.head[:c.ready])
		c.ready -= n
		c.consume(n)
		return n, nil
	}
	n, err := c.readBody(data)
	return n, c.readError(err)
}

// consume removes bytes that were handed out. The buffer is released with its last byte.
func (c *callerConn) consume(n int) {
	if c.head = c.head[n:]; len(c.head) == 0 {
		c.head = nil
	}
}

// readError returns the error of a read, which failed because of the deadline if the caller was ended.
func (c *callerConn) readError(err error) error {
	if err != nil && !errors.Is(err, net.ErrClosed) && c.account.isEnded(c.caller) {
		return errYielded
	}
	return err
}

// readHead ends the former request and waits until the next head has arrived.
func (c *callerConn) readHead() error {
	c.account.release(c.caller, c.held)
	c.held, c.refused = 0, false
	c.linger.Store(false)
	phase := buffering.PhaseIdle
	if len(c.head) > 0 {
		phase = buffering.PhaseReading
	}
	c.account.setPhase(c.caller, phase)
	end := headEnd(c.head, 0)
	for end == 0 && len(c.head) < MaxHeaderBytes {
		before := len(c.head)
		if err := c.fill(); err != nil {
			return err
		}
		if before == 0 {
			c.account.setPhase(c.caller, buffering.PhaseReading)
			if err := c.limitHead(); err != nil {
				return err
			}
		}
		end = headEnd(c.head, before)
	}
	if end == 0 {
		// The library refuses a head that is too long.
		end = len(c.head)
	}
	if err := c.holdHead(c.head[:end]); err != nil {
		return err
	}
	c.ready, c.body, c.largeHead = end, bodyFraming(c.head[:end]), countFields(c.head[:end]) > maxKeptFields
	return nil
}

// holdHead accounts for decoding a head. What the connection itself needs for requests it keeps until it is closed.
func (c *callerConn) holdHead(head []byte) error {
	if !c.active {
		if err := c.hold(activeBytes); err != nil {
			return err
		}
		// They are kept until the connection is closed.
		c.held -= activeBytes
		c.active = true
	}
	return c.hold(headCost(head))
}

// headCost returns the memory for a head in bytes.
func headCost(head []byte) int { return byteCost*len(head) + fieldCost*countFields(head) }

// HoldsLargeHead reports whether the tables for the head of the present request are so large that the connection must not keep them for its
// next one.
func HoldsLargeHead(conn net.Conn) bool {
	c, ok := conn.(*callerConn)
	return ok && c.largeHead
}

// fill reads more bytes of a head. The buffer begins to grow with the first byte, so that an idle connection has none.
func (c *callerConn) fill() error {
	if len(c.head) == cap(c.head) {
		grown := make([]byte, len(c.head), min(max(minHeadBuffer, 2*cap(c.head)), MaxHeaderBytes))
		if len(c.head) == 0 {
			return c.fillFirst(grown)
		}
		if err := c.hold(cap(grown) - cap(c.head)); err != nil {
			return err
		}
		copy(grown, c.head)
		c.head = grown
	}
	n, err := c.TCPConn.Read(c.head[len(c.head):cap(c.head)])
	c.head = c.head[:len(c.head)+n]
	if n > 0 {
		return nil
	}
	return err
}

// fillFirst waits for the first byte of a head, and reads what has arrived with it into the buffer.
func (c *callerConn) fillFirst(buffer []byte) error {
	n, err := c.TCPConn.Read(buffer[:cap(buffer)])
	if n == 0 {
		return err
	}
	c.head = buffer[:n]
	return c.hold(cap(buffer))
}

// readBody reads bytes of the present request's body, and accounts for its content.
func (c *callerConn) readBody(data []byte) (int, error) {
	n := copy(data, c.head)
	if n > 0 {
		c.consume(n)
	} else {
		var err error
		if n, err = c.TCPConn.Read(data[:min(len(data), c.body.maxRead())]); n == 0 {
			return 0, err
		}
	}
	used, content := c.body.scan(data[:n])
	if used < n {
		// The rest belongs to the next request.
		c.head = append(append(make([]byte, 0, max(minHeadBuffer, n-used+len(c.head))), data[used:n]...), c.head...)
	}
	if err := c.hold(content); err != nil {
		return 0, err
	}
	return used, nil
}

// SetReadDeadline sets the deadline for reads, unless the caller was ended.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.yielded {
		return nil
	}
	c.readLimit = deadline
	return c.TCPConn.SetReadDeadline(deadline)
}

// limitHead limits the time to read the rest of a head. The library's deadline may be that for an idle connection.
func (c *callerConn) limitHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(headTimeout)
	if c.yielded || !c.readLimit.IsZero() && c.readLimit.Before(deadline) {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// yield ends the connection of a caller that is ended in favour of others: it is closed, or its reads fail.
func (c *callerConn) yield(closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.yielded = true
	if closing {
		// The server's read fails, and closes the connection in turn.
		_ = c.TCPConn.Close()
		return
	}
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// Write writes an answer. It fails if the caller accepts nothing of it for writeTimeout: callers that don't read would else occupy their
// connections without end.
func (c *callerConn) Write(data []byte) (int, error) {
	written := 0
	for {
		part := data[written:min(len(data), written+maxWrite)]
		if err := c.extendWrite(); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(part)
		if written += n; err != nil || written == len(data) {
			return written, err
		}
	}
}

// ReadFrom writes what it reads from the reader by Write, which limits the time.
func (c *callerConn) ReadFrom(reader io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, reader)
}

// extendWrite sets the deadline for the next part of an answer.
func (c *callerConn) extendWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(writeTimeout)
	if !c.writeLimit.IsZero() && c.writeLimit.Before(deadline) {
		deadline = c.writeLimit
	}
	return c.TCPConn.SetWriteDeadline(deadline)
}

// SetWriteDeadline limits the writes, beside writeTimeout.
func (c *callerConn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLimit = deadline
	return c.TCPConn.SetWriteDeadline(deadline)
}

// SetDeadline sets the deadlines for reads and writes.
func (c *callerConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection, with a lingering close if Linger was called.
func (c *callerConn) Close() error {
	c.closed.Do(func() {
		c.account.releaseAll(c.caller)
		if c.linger.Load() && c.CloseWrite() == nil && c.TCPConn.SetReadDeadline(time.Now().Add(maxLingerTime)) == nil {
			_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
		}
		c.account.remove(c.caller)
	})
	return c.TCPConn.Close()
}

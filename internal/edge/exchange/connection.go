package exchange

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/edge/socket"
)

// connection is one HTTP/1.1 keep-alive connection; it carries one call at a time.
type connection struct {
	// key is the scheme and the address with its port.
	key string
	// raw is the TCP connection. socket is the connection for reads and writes: a TLS connection over raw, or raw itself.
	raw    net.Conn
	socket net.Conn
	reader *bufio.Reader
	// replaced holds what was received with a head of an unusual form, with the head in its usual form. It is read before the socket.
	replaced []byte
	// bytesSent counts the bytes of the current request that were written to the socket.
	bytesSent int
	// bytesReceived counts the bytes that were read from the socket since the current request was sent.
	bytesReceived int
	idleSince     time.Time
	// expires is set while expireAt is in effect.
	expires bool
}

// Write counts the bytes that it writes, so that a request that failed before its first byte can be distinguished from one that was sent in part.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.socket.Write(data)
	c.bytesSent += n
	return n, err
}

// Read counts the bytes that it reads: the codec reads more than it returns.
func (c *connection) Read(data []byte) (int, error) {
	if len(c.replaced) > 0 {
		n := copy(data, c.replaced)
		c.replaced = c.replaced[n:]
		return n, nil
	}
	n, err := c.socket.Read(data)
	c.bytesReceived += n
	if n > 0 {
		// The next read returns the error again. The reader would return it before what has been replaced.
		return n, nil
	}
	return 0, err
}

// send writes the whole request.
func (c *connection) send(req *fasthttp.Request) error {
	c.bytesSent, c.bytesReceived = 0, 0
	writer := bufio.NewWriter(c)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// abort makes all pending and later reads and writes fail.
func (c *connection) abort() {
	// A socket that is closed already needs no deadline.
	_ = c.socket.SetDeadline(time.Unix(1, 0))
}

// usable reports whether an idle connection is within the idle timeout, still open, and without
// unread data.
//
// A server may close an idle connection at any time. A request that is written to a closed
// connection is answered with a reset, after which it is unknown whether the request ran, and a
// call that may not be repeated would fail needlessly. Checking for a pending end of file first
// leaves only the short time between the check and the write. An idle connection has nothing to
// read: pending or buffered data belongs to no request, and the next call would take it for its
// answer.
func (c *connection) usable(idleTimeout time.Duration) bool {
	return time.Since(c.idleSince) <= idleTimeout && !c.hasUnread()
}

// hasUnread reports whether the connection is closed or has data to be read.
func (c *connection) hasUnread() bool {
	if c.reader.Buffered() > 0 || len(c.replaced) > 0 {
		return true
	}
	unread, err := socket.HasUnread(c.raw)
	return unread || err != nil && !errors.Is(err, socket.ErrNone)
}

// expireAt makes the kernel drop what the server has not acknowledged by the deadline, also if this process is paused, and what it has not
// acknowledged when this process ends.
func (c *connection) expireAt(deadline time.Time) error {
	left := time.Until(deadline)
	if left <= 0 {
		return context.DeadlineExceeded
	}
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return errors.Wrapf(socket.ErrNone, "%T", c.raw)
	}
	c.expires = true
	if err := tcp.SetLinger(0); err != nil {
		return err
	}
	return socket.SetUserTimeout(tcp, left)
}

// clearExpiry ends the effect of expireAt for later requests on the connection.
func (c *connection) clearExpiry() error {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok || !c.expires {
		return nil
	}
	c.expires = false
	if err := tcp.SetLinger(-1); err != nil {
		return err
	}
	return socket.SetUserTimeout(tcp, 0)
}

func (c *connection) close() {
	// The outcome of the call is known by now, and a failing close doesn't change it.
	_ = c.socket.Close()
}

// reset closes the connection so that the kernel drops what it has not sent yet, and tells the other side.
func (c *connection) reset() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		// If the option can't be set, the connection is closed as usual.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// connection is one kept-alive connection; it carries one call at a time.
type connection struct {
	key    string
	raw    net.Conn
	socket net.Conn
	reader *bufio.Reader
	// sent counts the bytes of the current request that were handed to the kernel.
	sent  int
	since time.Time
}

// Write counts what leaves this host, so that a failure before the first byte is told from a later one.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.socket.Write(data)
	c.sent += n
	return n, err
}

// send writes the whole request.
func (c *connection) send(req *fasthttp.Request) error {
	c.sent = 0
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

// usable reports whether an idle connection is young and still open.
//
// A server closes idle connections at any time. A request written to such a connection is
// answered by a reset, and whether it ran is then unknown; a call that may not be repeated would
// fail for nothing. Looking for a pending end of file first leaves only the moment between the
// look and the write. An idle connection has nothing to read: what is pending or buffered is an
// answer to no request, which the next call would take for its own.
func (c *connection) usable(idleTimeout time.Duration) bool {
	if time.Since(c.since) > idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = receiveErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (c *connection) close() {
	// The call's outcome is known by now; a failing close changes nothing about it.
	_ = c.socket.Close()
}

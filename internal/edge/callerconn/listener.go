package callerconn

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLingerTime and maxLingerBytes bound how much of a refused request is still read. A caller that continues to send for longer than
	// two seconds, or sends more than 64 MiB, has its connection closed.
	maxLingerTime  = 2 * time.Second
	maxLingerBytes = 64 << 20
)

// Listener accepts TCP connections on which Linger has an effect.
type Listener struct{ net.Listener }

// Accept returns the next connection; one that isn't TCP is an error.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Errorf("connection from %s is %T, not TCP", conn.RemoteAddr(), conn)
	}
	return &lingeringConn{TCPConn: tcp}, nil
}

// lingeringConn is a caller's connection that Close can close in the way that is known as a lingering close.
//
// A request that is refused before its body was read leaves unread bytes. Closing the connection would then reset it, and the caller would
// see a broken connection instead of the refusal and could not know that nothing ran. So Close first closes the sending side, which ends
// the answer, and then reads and discards the rest of the body.
type lingeringConn struct {
	*net.TCPConn
	linger atomic.Bool
}

// Linger makes Close read and discard what the caller is still sending. It has no effect on a connection that no Listener has accepted.
func Linger(conn net.Conn) {
	if c, ok := conn.(*lingeringConn); ok {
		c.linger.Store(true)
	}
}

// Close closes the connection, with a lingering close if Linger was called.
func (c *lingeringConn) Close() error {
	if c.linger.Swap(false) && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(maxLingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	}
	return c.TCPConn.Close()
}

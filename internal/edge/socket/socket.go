// Package socket asks the kernel about connections, whose own reads and writes may be under way.
package socket

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrNone is returned for a connection without a socket of the kernel, as a net.Pipe has none.
var ErrNone = errors.New("connection has no socket")

// tcpEstablished is the state of a TCP connection that neither side has closed.
const tcpEstablished = 1

// HasUnread reports whether data of the peer, or the end of the connection, waits to be read.
func HasUnread(conn net.Conn) (bool, error) {
	unread := false
	err := control(conn, func(fd int) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = !errors.Is(err, unix.EAGAIN)
	})
	return unread, err
}

// IsOpen reports whether the peer is known not to have closed the connection.
func IsOpen(conn net.Conn) bool {
	open := false
	err := control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == tcpEstablished
	})
	return err == nil && open
}

// SetUserTimeout limits how long the kernel waits for the peer to acknowledge data, whether or not this process runs. It then drops the data
// and the connection. 0 removes the limit; others are rounded up to milliseconds.
func SetUserTimeout(conn net.Conn, timeout time.Duration) error {
	var failed error
	milliseconds := int((timeout + time.Millisecond - 1) / time.Millisecond)
	err := control(conn, func(fd int) { failed = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds) })
	if err != nil {
		return err
	}
	return errors.Wrap(failed, "TCP_USER_TIMEOUT")
}

// control calls f with the file descriptor of the connection, without waiting for its reads and writes.
func control(conn net.Conn, f func(fd int)) error {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return errors.Wrapf(ErrNone, "%T", conn)
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return access.Control(func(fd uintptr) { f(int(fd)) })
}

// Package callerconn serves callers' HTTP connections. It cancels requests whose caller hangs up, and makes sure that a refusal reaches a
// caller that is still sending its request.
package callerconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// CancelOnHangup calls cancel when the caller closes the connection. It returns a function that stops watching the connection and must be
// called before the connection's next request is read.
//
// The HTTP library doesn't notice that a caller hangs up while its request is being served, so the request would keep a server busy
// although nobody receives the answer. A peek of one byte detects the end of the connection without consuming a pipelined request.
func CancelOnHangup(conn net.Conn, cancel context.CancelFunc) (stop func()) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return func() {}
	}
	// The deadline for reading the request is still set and would end the peek.
	_ = conn.SetReadDeadline(time.Time{})
	var wg conc.WaitGroup
	wg.Go(func() {
		if waitForClose(control) {
			cancel()
		}
	})
	return func() {
		// A deadline in the past ends the peek; it is then cleared for the next request.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		wg.Wait()
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// waitForClose waits until the connection is closed, and then returns true. It returns false if data arrives or the read deadline passes
// before.
func waitForClose(control syscall.RawConn) bool {
	closed := false
	var buffer [1]byte
	err := control.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN || err == unix.EINTR {
			return false
		}
		closed = err != nil || n == 0
		return true
	})
	return err == nil && closed
}

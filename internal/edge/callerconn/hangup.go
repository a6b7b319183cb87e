// Package callerconn serves callers' connections and watches them: whether the caller is still there, and that a refusal reaches one who is
// still sending.
package callerconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// Watch cancels the request when its caller closes the connection, and returns the function that
// ends the watch.
//
// Guard: the HTTP library doesn't notice a caller that hangs up while its request waits, so the request would
// go on to use a server for nobody. A one-byte peek sees the end of the connection without taking bytes of a next request.
func Watch(conn net.Conn, cancel context.CancelFunc) (stop func()) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return func() {}
	}
	// The bound on reading the request is still set and would end the peek.
	_ = conn.SetReadDeadline(time.Time{})
	var watch conc.WaitGroup
	watch.Go(func() {
		if peekEnd(control) {
			cancel()
		}
	})
	return func() {
		// The deadline in the past wakes the peek; the cleared one lets the next request be read.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		watch.Wait()
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// peekEnd waits until the connection has ended (true), or has more bytes or was woken (false).
func peekEnd(control syscall.RawConn) bool {
	ended := false
	var buffer [1]byte
	err := control.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN || err == unix.EINTR {
			return false
		}
		ended = err != nil || n == 0
		return true
	})
	return err == nil && ended
}

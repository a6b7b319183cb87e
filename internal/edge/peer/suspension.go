package peer

import (
	"crypto/tls"
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// processTimeInterval is the least time between two samples of the processor time that this process has used.
	processTimeInterval = 10 * time.Millisecond
	// busyShareDivisor is the part of a processor, a twentieth, that a process uses at least if it runs but is short of processor time.
	busyShareDivisor = 20
	// tcpEstablished is the state of a TCP connection that neither side has closed.
	tcpEstablished = 1
)

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage) // fails only for a wrong argument
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processTimeSample is the processor time that this process had used at some moment.
type processTimeSample struct {
	at   time.Time
	used time.Duration
}

func (s *processTimeSample) update(now time.Time) {
	if now.Sub(s.at) >= processTimeInterval {
		*s = processTimeSample{at: now, used: processTime()}
	}
}

// ranDuring reports whether the process has run in the gap that has just ended. A process that is suspended uses no processor time, except
// for what it had used since the sample when the gap began.
func (s processTimeSample) ranDuring(gap time.Duration) bool {
	beforeGap := processTimeInterval * time.Duration(runtime.GOMAXPROCS(0))
	return !s.at.IsZero() && processTime()-s.used > beforeGap+gap/busyShareDivisor
}

// isOpen reports whether the peer is known not to have closed the connection.
func isOpen(conn net.Conn) bool {
	open := false
	err := controlSocket(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == tcpEstablished
	})
	return err == nil && open
}

// hasUnread reports whether data of the peer, or the end of the connection, waits in the socket to be read.
func hasUnread(conn net.Conn) bool {
	unread := false
	err := controlSocket(conn, func(fd int) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = !errors.Is(err, unix.EAGAIN)
	})
	return err == nil && unread
}

// controlSocket calls f with the file descriptor of the connection. It doesn't wait for reads and writes that are under way.
func controlSocket(conn net.Conn, f func(fd int)) error {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return errors.Errorf("a %T has no socket", conn)
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return control.Control(func(fd uintptr) { f(int(fd)) })
}

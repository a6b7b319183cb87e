package exchange

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// socketOptions returns the limits that the kernel keeps for a connection: TCP_USER_TIMEOUT, and whether closing it drops unsent data.
func socketOptions(t *testing.T, conn net.Conn) (timeout time.Duration, drops bool) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var linger *unix.Linger
	var milliseconds int
	var failed error
	err = raw.Control(func(fd uintptr) {
		if milliseconds, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); failed == nil {
			linger, failed = unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		}
	})
	if err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return time.Duration(milliseconds) * time.Millisecond, linger.Onoff != 0 && linger.Linger == 0
}

// Guards against a request that outlives a process that is killed or paused, and against later requests that are dropped early because an
// earlier one on their connection was to expire.
func TestExpiryLastsAsLongAsItsRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		var req fasthttp.Request
		for reader := bufio.NewReader(conn); req.Read(reader) == nil; {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	}()
	client := NewClient()
	defer client.Close()
	const limit = 800 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + listener.Addr().String() + "/")
	conn, err := client.acquireExpiring(ctx, &req)
	if err != nil {
		t.Fatal(err)
	}
	if timeout, drops := socketOptions(t, conn.raw); timeout <= 0 || timeout > limit || !drops {
		t.Errorf("under way: timeout %v, drops unsent data %v, want at most %v and true", timeout, drops, limit)
	}
	client.release(conn)
	if err := client.DoExpiring(ctx, &req, &resp); err != nil {
		t.Fatal(err)
	}
	if timeout, drops := socketOptions(t, conn.raw); timeout != 0 || drops {
		t.Errorf("after the answer: timeout %v, drops unsent data %v, want none", timeout, drops)
	}
	if err := client.DoExpiring(t.Context(), &req, &resp); !errors.Is(err, ErrNotSent) {
		t.Errorf("without a deadline: %v, want %v", err, ErrNotSent)
	}
}

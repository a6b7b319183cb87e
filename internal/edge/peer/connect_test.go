package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against waiting for the kernel's SYN retransmission when the first packet of a connection is lost.
func TestConnectRetriesALostFirstPacket(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	rawConn, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// With a backlog of 0 the kernel drops SYN packets while another connection waits to be accepted.
	if err := rawConn.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr)
	pending, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pending.Close() })
	time.AfterFunc(100*time.Millisecond, func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
	defer cancel()
	conn, err := connect(ctx, address.AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// Guards against a caller that waits and retries although nothing listens at the address.
func TestConnectDoesNotRetryARefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	began := time.Now()
	if _, err := connect(t.Context(), address); err == nil {
		t.Fatal("connected to a closed listener")
	}
	if took := time.Since(began); took > connectTimeout/2 {
		t.Errorf("connect took %v", took)
	}
}

// expiredContext is a context whose deadline has passed but which is not done yet.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// Guards against a busy loop of dials that time out immediately because the deadline of their context has passed.
func TestConnectEndsAfterTheDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	returned := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_, err := connect(expiredContext{ctx}, listener.Addr().(*net.TCPAddr).AddrPort())
		returned <- err
	}()
	select {
	case err := <-returned:
		if err == nil {
			t.Error("connected after the deadline")
		}
	case <-time.After(time.Second):
		t.Error("connect did not return")
	}
}

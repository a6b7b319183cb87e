package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// A run with link faults proves nothing if the links inject none: data must be blocked in the chosen directions and arrive complete
// afterwards, and new connections must pass where the fault exempts them.
func TestLinkBlocksAndDeliversLater(t *testing.T) {
	const timeout = 100 * time.Millisecond
	target := platformtest.UnusedAddress()
	echo, err := net.Listen("tcp", target.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		for conn, err := echo.Accept(); err == nil; conn, err = echo.Accept() {
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	address := platformtest.UnusedAddress()
	l, err := newLink(t.Context(), address, target)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	// passes reports whether a byte is echoed within the time.
	passes := func(conn net.Conn, within time.Duration) bool {
		_, _ = conn.Write([]byte{7})
		_ = conn.SetReadDeadline(time.Now().Add(within))
		n, _ := conn.Read(make([]byte, 1))
		return n == 1
	}
	old := dial()
	if !passes(old, time.Second) {
		t.Fatal("no byte passed a link without a fault")
	}
	for name, fault := range map[string]linkFault{
		"inward":  {blocked: [directionCount]bool{inward: true}},
		"outward": {blocked: [directionCount]bool{outward: true}, passNew: true},
		"silence": {blocked: [directionCount]bool{inward: true, outward: true}, passNew: true},
	} {
		l.setFault(fault)
		if passes(old, timeout) {
			t.Errorf("%s: a byte passed on an old connection", name)
		}
		if got := passes(dial(), timeout); got != fault.passNew {
			t.Errorf("%s: a byte passed on a new connection: %v", name, got)
		}
		l.clearFault()
		_ = old.SetReadDeadline(time.Now().Add(time.Second))
		if n, err := old.Read(make([]byte, 1)); n != 1 {
			t.Errorf("%s: the blocked byte was never delivered: %v", name, err)
		}
	}
	l.reset()
	if passes(old, timeout) {
		t.Error("a byte passed after a reset")
	}
}

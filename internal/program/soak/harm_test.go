package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// A check that a harmed link finds nothing says little if the link did no harm: bytes must be held on the ways that are cut, come
// whole after that, and new connections must pass where that is asked for.
func TestLinkHoldsWhatItIsToldTo(t *testing.T) {
	const held = 100 * time.Millisecond
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
	// passes says whether a byte goes there and back within the time.
	passes := func(conn net.Conn, within time.Duration) bool {
		_, _ = conn.Write([]byte{7})
		_ = conn.SetReadDeadline(time.Now().Add(within))
		n, _ := conn.Read(make([]byte, 1))
		return n == 1
	}
	old := dial()
	if !passes(old, time.Second) {
		t.Fatal("nothing passes a sound link")
	}
	for name, h := range map[string]harm{
		"inward":  {held: [ways]bool{inward: true}},
		"outward": {held: [ways]bool{outward: true}, newPass: true},
		"silence": {held: [ways]bool{inward: true, outward: true}, newPass: true},
	} {
		l.hurt(h)
		if passes(old, held) {
			t.Errorf("%s: a byte passed", name)
		}
		if got := passes(dial(), held); got != h.newPass {
			t.Errorf("%s: new connections pass: %v", name, got)
		}
		l.heal()
		_ = old.SetReadDeadline(time.Now().Add(time.Second))
		if n, err := old.Read(make([]byte, 1)); n != 1 {
			t.Errorf("%s: what was held never came: %v", name, err)
		}
	}
	l.reset()
	if passes(old, held) {
		t.Error("a byte passed after a reset")
	}
}

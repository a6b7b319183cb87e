package faults

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// way is the direction of bytes: up to the part behind a forwarder, or down from it.
type way int

const (
	up way = iota
	down
)

// trap waits for bytes that show that a step was reached, and stops them before they pass.
type trap struct {
	way    way
	marker []byte
	caught chan struct{}
	once   sync.Once
}

func newTrap(w way, marker string) *trap {
	return &trap{way: w, marker: []byte(marker), caught: make(chan struct{})}
}

// conduct is what a forwarder does with connections and bytes; the zero value passes everything on.
type conduct struct {
	// refuse closes all connections, those that come too.
	refuse bool
	// hold keeps the bytes of a direction; they are passed on once it ends.
	hold [2]bool
	// drop takes the bytes of a direction for nothing; the connections stay open.
	drop [2]bool
	// cutAfter, if above 0, passes so many bytes down and then cuts the connection.
	cutAfter int
}

// forwarder stands before one listener.
type forwarder struct {
	to       netip.AddrPort
	listener net.Listener
	group    conc.WaitGroup

	mu      sync.Mutex
	conduct conduct
	changed chan struct{}
	trap    *trap
	conns   map[net.Conn]struct{}
	closed  bool
}

func newForwarder(t *testing.T, at, to netip.AddrPort) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{to: to, listener: l, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	f.group.Go(f.accept)
	return f
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.set(conduct{refuse: true})
	f.group.Wait()
}

func (f *forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.to.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		if !f.keep(near, far) {
			continue
		}
		f.group.Go(func() { f.pass(far, near, up) })
		f.group.Go(func() { f.pass(near, far, down) })
	}
}

func (f *forwarder) keep(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range conns {
		if f.conduct.refuse {
			_ = conn.Close()
			continue
		}
		f.conns[conn] = struct{}{}
	}
	return !f.conduct.refuse
}

// set changes the conduct; connections are cut if it refuses them.
func (f *forwarder) set(c conduct) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conduct = c
	close(f.changed)
	f.changed = make(chan struct{})
	if c.refuse {
		f.cutLocked()
	}
}

// cut closes all connections; new ones are taken.
func (f *forwarder) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutLocked()
}

func (f *forwarder) cutLocked() {
	for conn := range f.conns {
		_ = conn.Close()
	}
	clear(f.conns)
}

func (f *forwarder) arm(t *trap) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trap = t
}

func (f *forwarder) pass(to, from net.Conn, w way) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !f.deliver(to, buffer[:n], w) {
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver passes bytes on as the conduct allows; false ends the connection.
func (f *forwarder) deliver(to net.Conn, data []byte, w way) bool {
	drop, left := f.gate(data, w)
	if drop {
		return true
	}
	if w == down && left > 0 && left <= len(data) {
		_, _ = to.Write(data[:left])
		return false
	}
	_, err := to.Write(data)
	return err == nil
}

// gate springs the trap, waits while the direction is held, and says whether the bytes are dropped and how
// many bytes are left before a cut.
func (f *forwarder) gate(data []byte, w way) (drop bool, left int) {
	f.mu.Lock()
	if f.trap != nil && f.trap.way == w && bytes.Contains(data, f.trap.marker) {
		f.spring()
	}
	for f.conduct.hold[w] && !f.closed {
		changed := f.changed
		f.mu.Unlock()
		<-changed
		f.mu.Lock()
	}
	defer f.mu.Unlock()
	left = f.conduct.cutAfter
	if w == down && left > 0 {
		f.conduct.cutAfter = max(1, left-len(data))
	}
	return f.conduct.drop[w], left
}

// spring holds the direction of the trap and tells who waits for it, unless another forwarder with the same
// trap was first.
func (f *forwarder) spring() {
	t := f.trap
	f.trap = nil
	t.once.Do(func() {
		f.conduct.hold[t.way] = true
		close(t.caught)
	})
}

// waitFor waits until check holds.
func waitFor(t *testing.T, what string, limit time.Duration, check func() bool) bool {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if check() {
			return true
		}
	}
	t.Errorf("%s: not within %v", what, limit)
	return false
}

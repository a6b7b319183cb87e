package faults

import (
	"bytes"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// lingering is how long the far side of a connection whose near side was hung up stays open after its last bytes.
const lingering = time.Second

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

// wait waits until the trap has caught something.
func (t *trap) wait(test *testing.T) bool {
	test.Helper()
	select {
	case <-t.caught:
		return true
	case <-time.After(stepLimit):
		test.Errorf("%q did not pass within %v", t.marker, stepLimit)
		return false
	}
}

// conduct is what a forwarder does with connections and bytes; the zero value passes everything on.
type conduct struct {
	// refuse closes all connections, those that come too.
	refuse bool
	// hold keeps the bytes of a direction; they are passed on once it ends.
	hold [2]bool
	// holdUpTo, if above 0, leaves connections alone that came after that number of them.
	holdUpTo int
	// drop takes the bytes of a direction for nothing; the connections stay open.
	drop [2]bool
	// twice passes bytes down twice, so that a surplus answer waits for the next call on the connection.
	twice bool
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
	// conns are open, near ones true; count is how many pairs there were.
	conns    map[net.Conn]bool
	count    int
	hungUpTo int
	closed   bool
}

func newForwarder(t *testing.T, at, to netip.AddrPort) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{to: to, listener: l, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
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
		number, ok := f.keep(near, far)
		if !ok {
			continue
		}
		f.group.Go(func() { f.pass(far, near, up, number) })
		f.group.Go(func() { f.pass(near, far, down, number) })
	}
}

// keep numbers a pair of connections; false if they were refused.
func (f *forwarder) keep(near, far net.Conn) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conduct.refuse {
		_ = near.Close()
		_ = far.Close()
		return 0, false
	}
	f.conns[near], f.conns[far] = true, false
	f.count++
	return f.count, true
}

// hangUp closes the near side of all connections and keeps what was held of them for the far side.
func (f *forwarder) hangUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conduct.holdUpTo, f.hungUpTo = f.count, f.count
	for conn, near := range f.conns {
		if near {
			_ = conn.Close()
		}
	}
}

func (f *forwarder) wasHungUp(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return number <= f.hungUpTo && !f.closed
}

// set changes the conduct; connections are cut if it refuses them, or if bytes of them were dropped before: no
// connection goes on without them.
func (f *forwarder) set(c conduct) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incomplete := f.conduct.drop != [2]bool{} && f.conduct.drop != c.drop
	f.conduct = c
	close(f.changed)
	f.changed = make(chan struct{})
	if c.refuse || incomplete {
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

func (f *forwarder) pass(to, from net.Conn, w way, number int) {
	defer func() {
		if w == up && f.wasHungUp(number) {
			time.Sleep(lingering)
		}
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !f.deliver(to, buffer[:n], w, number) {
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver passes bytes on as the conduct allows; false ends the connection.
func (f *forwarder) deliver(to net.Conn, data []byte, w way, number int) bool {
	now := f.gate(data, w, number)
	if now.drop[w] {
		return true
	}
	if left := now.cutAfter; w == down && left > 0 && left <= len(data) {
		_, _ = to.Write(data[:left])
		return false
	}
	if w == down && now.twice {
		data = slices.Concat(data, data)
	}
	_, err := to.Write(data)
	return err == nil
}

// gate springs the trap, waits while the direction is held, and returns the conduct for the bytes.
func (f *forwarder) gate(data []byte, w way, number int) conduct {
	f.mu.Lock()
	if f.trap != nil && f.trap.way == w && bytes.Contains(data, f.trap.marker) {
		f.spring()
	}
	for f.conduct.hold[w] && (f.conduct.holdUpTo == 0 || number <= f.conduct.holdUpTo) && !f.closed {
		changed := f.changed
		f.mu.Unlock()
		<-changed
		f.mu.Lock()
	}
	defer f.mu.Unlock()
	now := f.conduct
	if w == down && now.cutAfter > 0 {
		f.conduct.cutAfter = max(1, now.cutAfter-len(data))
	}
	return now
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

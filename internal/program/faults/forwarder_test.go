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

// lingerTime is how long the server side of a connection stays open after its last bytes once hangUp has closed the
// client side.
const lingerTime = time.Second

// direction is the direction of bytes: upstream is to the process behind a forwarder, downstream is from it.
type direction int

const (
	upstream direction = iota
	downstream
)

// breakpoint stops the bytes that contain marker before they are forwarded, and so holds a call at a step. It is hit once,
// even if several forwarders share it.
type breakpoint struct {
	direction direction
	marker    []byte
	hit       chan struct{}
	once      sync.Once
}

func newBreakpoint(dir direction, marker string) *breakpoint {
	return &breakpoint{direction: dir, marker: []byte(marker), hit: make(chan struct{})}
}

// wait reports whether the breakpoint was hit within stepTimeout, and otherwise fails the test.
func (bp *breakpoint) wait(t *testing.T) bool {
	t.Helper()
	select {
	case <-bp.hit:
		return true
	case <-time.After(stepTimeout):
		t.Errorf("no bytes with %q arrived within %v", bp.marker, stepTimeout)
		return false
	}
}

// forwarderMode is how a forwarder treats connections and bytes; the zero value forwards everything.
type forwarderMode struct {
	// refuse closes all open connections and every new one.
	refuse bool
	// hold delays the bytes of a direction until the mode changes.
	hold [2]bool
	// holdUpTo limits hold to the first holdUpTo connection pairs; 0 means no limit.
	holdUpTo int
	// drop discards the bytes of a direction; the connections stay open.
	drop [2]bool
	// duplicate sends downstream bytes twice, so that the next call on the connection finds a surplus answer.
	duplicate bool
	// cutAfter, if above 0, is the number of downstream bytes after which the connection is cut.
	cutAfter int
}

// forwarder is a TCP proxy in front of one listener that injects faults.
type forwarder struct {
	to       netip.AddrPort
	listener net.Listener
	group    conc.WaitGroup

	mu         sync.Mutex
	mode       forwarderMode
	changed    chan struct{}
	breakpoint *breakpoint
	// conns holds the open connections; the value is true on the client side. pairs counts all connection pairs so far.
	conns map[net.Conn]bool
	pairs int
	// hungUpTo is the number of the last pair whose client side hangUp closed.
	hungUpTo int
	closed   bool
}

func newForwarder(t *testing.T, address, to netip.AddrPort) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", address.String())
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
	f.set(forwarderMode{refuse: true})
	f.group.Wait()
}

func (f *forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", f.to.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		pair, ok := f.track(client, server)
		if !ok {
			continue
		}
		f.group.Go(func() { f.copyBytes(server, client, upstream, pair) })
		f.group.Go(func() { f.copyBytes(client, server, downstream, pair) })
	}
}

// track registers a connection pair and returns its number, or false if the mode refuses connections.
func (f *forwarder) track(client, server net.Conn) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode.refuse {
		_ = client.Close()
		_ = server.Close()
		return 0, false
	}
	f.conns[client], f.conns[server] = true, false
	f.pairs++
	return f.pairs, true
}

// hangUp closes the client side of all connections. Bytes that are held on them still reach the server later.
func (f *forwarder) hangUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode.holdUpTo, f.hungUpTo = f.pairs, f.pairs
	for conn, client := range f.conns {
		if client {
			_ = conn.Close()
		}
	}
}

func (f *forwarder) wasHungUp(pair int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return pair <= f.hungUpTo && !f.closed
}

// set changes the mode. It cuts all connections if the new mode refuses them, or if the old mode dropped bytes and the new
// one drops others: no connection may continue with bytes missing.
func (f *forwarder) set(mode forwarderMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incomplete := f.mode.drop != [2]bool{} && f.mode.drop != mode.drop
	f.mode = mode
	close(f.changed)
	f.changed = make(chan struct{})
	if mode.refuse || incomplete {
		f.cutLocked()
	}
}

// cut closes all connections; new ones are accepted.
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

func (f *forwarder) arm(bp *breakpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breakpoint = bp
}

func (f *forwarder) copyBytes(to, from net.Conn, dir direction, pair int) {
	defer func() {
		if dir == upstream && f.wasHungUp(pair) {
			time.Sleep(lingerTime)
		}
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !f.forward(to, buffer[:n], dir, pair) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes bytes as the mode allows and reports whether the connection stays open.
func (f *forwarder) forward(to net.Conn, data []byte, dir direction, pair int) bool {
	current := f.waitWhileHeld(data, dir, pair)
	if current.drop[dir] {
		return true
	}
	if remaining := current.cutAfter; dir == downstream && remaining > 0 && remaining <= len(data) {
		_, _ = to.Write(data[:remaining])
		return false
	}
	if dir == downstream && current.duplicate {
		data = slices.Concat(data, data)
	}
	_, err := to.Write(data)
	return err == nil
}

// waitWhileHeld hits the breakpoint if data contains its marker, waits while the direction is held, and returns the mode
// that applies to the bytes.
func (f *forwarder) waitWhileHeld(data []byte, dir direction, pair int) forwarderMode {
	f.mu.Lock()
	if f.breakpoint != nil && f.breakpoint.direction == dir && bytes.Contains(data, f.breakpoint.marker) {
		f.hitBreakpoint()
	}
	for f.mode.hold[dir] && (f.mode.holdUpTo == 0 || pair <= f.mode.holdUpTo) && !f.closed {
		changed := f.changed
		f.mu.Unlock()
		<-changed
		f.mu.Lock()
	}
	defer f.mu.Unlock()
	current := f.mode
	if dir == downstream && current.cutAfter > 0 {
		f.mode.cutAfter = max(1, current.cutAfter-len(data))
	}
	return current
}

// hitBreakpoint holds the breakpoint's direction and wakes its waiter, unless another forwarder with the same breakpoint was
// first.
func (f *forwarder) hitBreakpoint() {
	bp := f.breakpoint
	f.breakpoint = nil
	bp.once.Do(func() {
		f.mode.hold[bp.direction] = true
		close(bp.hit)
	})
}

// waitFor polls until condition holds, and fails the test after timeout.
func waitFor(t *testing.T, description string, timeout time.Duration, condition func() bool) bool {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	t.Errorf("%s: not within %v", description, timeout)
	return false
}

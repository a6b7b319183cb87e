package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// direction is the direction of data on a link.
type direction uint8

const (
	// inward data goes to the process behind the link, outward data comes from it.
	inward direction = iota
	outward
	directionCount
)

// linkFault describes how a link misbehaves. Blocked data is delivered later, as TCP retransmissions are after a network outage.
type linkFault struct {
	// delay is added to each chunk.
	delay time.Duration
	// blocked marks the directions in which no data passes.
	blocked [directionCount]bool
	// passNew exempts connections that were opened after the fault began.
	passNew bool
}

// link is a TCP proxy before one process. It forwards the connections of the other processes and can inject faults into them.
type link struct {
	listener *net.TCPListener
	target   netip.AddrPort
	cancel   context.CancelFunc
	work     conc.WaitGroup

	mu          sync.Mutex
	fault       linkFault
	connections map[*connection]struct{}
	// changed is closed when the fault changes.
	changed chan struct{}
}

// connection is one proxied connection.
type connection struct {
	client, server net.Conn
	// predatesFault says that the connection was open when the current fault began.
	predatesFault bool
}

// newLink listens on address and forwards connections to target until the link is closed or ctx ends.
func newLink(ctx context.Context, address, target netip.AddrPort) (*link, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{listener: listener, target: target, cancel: cancel, connections: map[*connection]struct{}{}, changed: make(chan struct{})}
	l.work.Go(func() {
		for {
			client, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			l.work.Go(func() { l.forward(ctx, client) })
		}
	})
	return l, nil
}

// close closes the link and all its connections.
func (l *link) close() {
	l.cancel()
	_ = l.listener.Close()
	l.work.Wait()
}

// setFault replaces the fault of the link.
func (l *link) setFault(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	for c := range l.connections {
		c.predatesFault = true
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// clearFault removes the fault of the link.
func (l *link) clearFault() { l.setFault(linkFault{}) }

// reset resets all connections of the link.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.reset()
	}
}

// reset closes both ends with a TCP reset, so that neither side sees an orderly close.
func (c *connection) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// forward dials the target and copies data in both directions until either side closes the connection.
func (l *link) forward(ctx context.Context, client *net.TCPConn) {
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", l.target.String())
	if err != nil {
		// The process behind the link is not running. Reset the connection, as its own address would refuse it.
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &connection{client: client, server: server}
	stop := context.AfterFunc(ctx, c.reset)
	defer stop()
	l.mu.Lock()
	l.connections[c] = struct{}{}
	l.mu.Unlock()
	var both conc.WaitGroup
	both.Go(func() { l.copyBytes(ctx, c, inward, client, server) })
	both.Go(func() { l.copyBytes(ctx, c, outward, server, client) })
	both.Wait()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
}

// chunkBytes is the size of a read, and thus the most data that a link buffers in each direction beside the kernel.
const chunkBytes = 16 << 10

// copyBytes copies data in one direction.
func (l *link) copyBytes(ctx context.Context, c *connection, to direction, from, into net.Conn) {
	defer func() {
		_ = from.Close()
		_ = into.Close()
	}()
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if !l.waitToPass(ctx, c, to) {
			return
		}
		if _, failed := into.Write(chunk[:n]); err != nil || failed != nil {
			return
		}
	}
}

// waitToPass waits until the fault lets a chunk pass. It returns false if the link was closed.
func (l *link) waitToPass(ctx context.Context, c *connection, to direction) bool {
	for {
		l.mu.Lock()
		exempt := l.fault.passNew && !c.predatesFault
		blocked, delay, changed := l.fault.blocked[to] && !exempt, l.fault.delay, l.changed
		l.mu.Unlock()
		if !blocked {
			return delay == 0 || ticker.Sleep(ctx, delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

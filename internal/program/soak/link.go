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

// way is a direction of bytes on a link.
type way uint8

const (
	// inward bytes go to the process behind the link, outward ones come from it.
	inward way = iota
	outward
	ways
)

// harm is what is wrong with a link. Bytes that are held come later, as packets that are sent again do after a cut.
type harm struct {
	// delay holds back each piece that is read.
	delay time.Duration
	// held says of each way that nothing passes.
	held [ways]bool
	// newPass lets connections that were opened after the harm began pass.
	newPass bool
}

// link carries the connections that other processes open to one process, and may do so badly.
type link struct {
	listener *net.TCPListener
	target   netip.AddrPort
	cancel   context.CancelFunc
	work     conc.WaitGroup

	mu    sync.Mutex
	harm  harm
	pipes map[*pipe]struct{}
	// changed is closed when the harm changes.
	changed chan struct{}
}

// pipe is one connection through a link.
type pipe struct {
	near, far net.Conn
	// old pipes were there when the present harm began.
	old bool
}

// newLink opens a link to the target at the address.
func newLink(ctx context.Context, address, target netip.AddrPort) (*link, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{listener: listener, target: target, cancel: cancel, pipes: map[*pipe]struct{}{}, changed: make(chan struct{})}
	l.work.Go(func() {
		for {
			near, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			l.work.Go(func() { l.carry(ctx, near) })
		}
	})
	return l, nil
}

// close ends the link with all its connections.
func (l *link) close() {
	l.cancel()
	_ = l.listener.Close()
	l.work.Wait()
}

// hurt sets what is wrong with the link from now on.
func (l *link) hurt(h harm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.harm = h
	for p := range l.pipes {
		p.old = true
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// heal ends what is wrong with the link.
func (l *link) heal() { l.hurt(harm{}) }

// reset breaks all connections of the link.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.reset()
	}
}

// reset closes both ends so that neither sees an orderly end.
func (p *pipe) reset() {
	for _, conn := range []net.Conn{p.near, p.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// carry carries one connection until either side ends it.
func (l *link) carry(ctx context.Context, near *net.TCPConn) {
	var dialer net.Dialer
	far, err := dialer.DialContext(ctx, "tcp", l.target.String())
	if err != nil {
		// The process behind the link is gone. Its own address would refuse the connection.
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	p := &pipe{near: near, far: far}
	stop := context.AfterFunc(ctx, p.reset)
	defer stop()
	l.mu.Lock()
	l.pipes[p] = struct{}{}
	l.mu.Unlock()
	var both conc.WaitGroup
	both.Go(func() { l.pump(ctx, p, inward, near, far) })
	both.Go(func() { l.pump(ctx, p, outward, far, near) })
	both.Wait()
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// pieceBytes is how much is read at once, and so how much may wait on a link beside what the system buffers.
const pieceBytes = 16 << 10

// pump carries the bytes of one way.
func (l *link) pump(ctx context.Context, p *pipe, to way, from, into net.Conn) {
	defer func() {
		_ = from.Close()
		_ = into.Close()
	}()
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if !l.pass(ctx, p, to) {
			return
		}
		if _, failed := into.Write(piece[:n]); err != nil || failed != nil {
			return
		}
	}
}

// pass waits until a piece may go on. It returns false if the link was closed.
func (l *link) pass(ctx context.Context, p *pipe, to way) bool {
	for {
		l.mu.Lock()
		spared := l.harm.newPass && !p.old
		held, delay, changed := l.harm.held[to] && !spared, l.harm.delay, l.changed
		l.mu.Unlock()
		if !held {
			return delay == 0 || ticker.Sleep(ctx, delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

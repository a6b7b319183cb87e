package harness

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// firstRetransmission is when TCP sends lost data again for the first time on a link of a millisecond; the time doubles with each loss.
	firstRetransmission = 200 * time.Millisecond
	chunkBytes          = 16 << 10
)

// Link is a proxy before a server. While it is cut no data passes and no new connection reaches the server. Data of open connections that was
// lost meanwhile is delivered as TCP does that: by the first retransmission after the end of the cut, also if its sender has closed the
// connection by then.
type Link struct {
	Address netip.AddrPort

	env     *Env
	target  string
	mu      sync.Mutex
	cut     bool
	healed  chan struct{}
	healAt  time.Time
	started time.Time
}

// NewLink starts a proxy before the target.
func (env *Env) NewLink(target string) (*Link, error) {
	l := &Link{Address: platformtest.UnusedAddress(), env: env, target: target, healed: make(chan struct{})}
	listener, err := (&net.ListenConfig{}).Listen(env.ctx, "tcp", l.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	env.Cleanups.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(client)
		}
	}()
	return l, nil
}

// Cut begins a cut.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.started = true, time.Now()
}

// Heal ends a cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.healAt = false, time.Now()
	close(l.healed)
	l.healed = make(chan struct{})
}

// state returns whether the link is cut, and a channel that is closed at the end of the cut.
func (l *Link) state() (bool, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.healed
}

func (l *Link) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	if cut, _ := l.state(); cut {
		// The handshake is lost, and the caller gives up on it: nothing of this connection ever reaches the server.
		l.discard(client)
		return
	}
	server, err := (&net.Dialer{}).DialContext(l.env.ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	go func() { l.copy(client, server); done <- struct{}{} }()
	go func() { l.copy(server, client); done <- struct{}{} }()
	<-done
	<-done
}

func (l *Link) discard(client net.Conn) {
	chunk := make([]byte, chunkBytes)
	for {
		if _, err := client.Read(chunk); err != nil {
			return
		}
	}
}

// copy forwards data in one direction until its sender closes the connection.
func (l *Link) copy(from, into net.Conn) {
	defer func() {
		if tcp, ok := into.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}()
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if !l.awaitDelivery(time.Now()) {
			return
		}
		if n > 0 {
			if _, failed := into.Write(chunk[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitDelivery waits until data that was sent now reaches the other side; false if the script ends before.
func (l *Link) awaitDelivery(sent time.Time) bool {
	cut, healed := l.state()
	if !cut {
		return true
	}
	select {
	case <-healed:
	case <-l.env.ctx.Done():
		return false
	}
	after := firstRetransmission
	for time.Since(sent) > after {
		after = 2*after + firstRetransmission
	}
	return l.env.Pause(after - time.Since(sent))
}

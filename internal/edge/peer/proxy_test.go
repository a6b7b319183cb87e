package peer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"
)

// proxy forwards connections to a server and tampers with the frames that the server sends.
type proxy struct {
	listener net.Listener
	wg       conc.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
	// silent are the connections to the client on which nothing is sent any more.
	silent []net.Conn
	// tamper returns the frames that replace f.
	tamper func(f frame) []frame
	// frozen, once closed, stops all data to the client while the connections stay open.
	frozen chan struct{}
}

func newProxy(t *testing.T, serverAddress netip.AddrPort, tamper func(frame) []frame) (*proxy, netip.AddrPort) {
	t.Helper()
	l, address := listen(t)
	p := &proxy{listener: l, tamper: tamper, frozen: make(chan struct{})}
	p.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", serverAddress.String())
			if err != nil {
				_ = conn.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn, server)
			p.mu.Unlock()
			p.wg.Go(func() { _, _ = io.Copy(server, conn) })
			p.wg.Go(func() { p.forward(conn, server) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.cut()
		p.wg.Wait()
	})
	return p, address
}

// cut closes all connections.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// silence stops all data to the client on the connections that are open, which stay so.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = slices.Clone(p.conns)
}

func (p *proxy) isSilent(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.silent, conn)
}

func (p *proxy) forward(client, server net.Conn) {
	defer func() { _ = client.Close() }()
	reader := newFrameReader(bufio.NewReader(server), defaultMaxFrame)
	for {
		f, err := reader.next()
		if err != nil {
			return
		}
		select {
		case <-p.frozen:
			_, _ = io.Copy(io.Discard, server)
			return
		default:
		}
		if p.isSilent(client) {
			continue
		}
		var buf bytes.Buffer
		for _, out := range p.tamper(f) {
			_ = appendFrame(&buf, msgpack.NewEncoder(nil), out)
		}
		if _, err := client.Write(buf.Bytes()); err != nil {
			return
		}
	}
}

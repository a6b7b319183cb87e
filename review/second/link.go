package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// link is a proxy through which the other gateways reach one. It can be cut, so that connections are reset and refused.
type link struct {
	ctx         context.Context
	address, to netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// newLink starts a link at the address.
func newLink(ctx context.Context, address, to netip.AddrPort) (*link, error) {
	l := &link{ctx: ctx, address: address, to: to, conns: map[net.Conn]bool{}}
	return l, l.heal()
}

// heal lets connections through again.
func (l *link) heal() error {
	var config net.ListenConfig
	listener, err := config.Listen(l.ctx, "tcp", l.address.String())
	if err != nil {
		return errors.Wrap(err, "link")
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go l.serve(listener)
	return nil
}

// cut resets the connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(l.conns)
}

func (l *link) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(listener, conn)
	}
}

// forward copies between a connection and a new one to the gateway until either ends.
func (l *link) forward(listener net.Listener, conn net.Conn) {
	var dialer net.Dialer
	other, err := dialer.DialContext(l.ctx, "tcp", l.to.String())
	if err != nil {
		_ = conn.Close()
		return
	}
	if !l.add(listener, conn, other) {
		return
	}
	var copies conc.WaitGroup
	for _, pair := range [][2]net.Conn{{conn, other}, {other, conn}} {
		copies.Go(func() {
			_, _ = io.Copy(pair[0], pair[1])
			_, _ = conn.Close(), other.Close()
		})
	}
	copies.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	delete(l.conns, other)
}

// add keeps the connections of a pair, or closes them and returns false if the link was cut since the listener accepted one of them.
func (l *link) add(listener net.Listener, conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		if l.listener != listener {
			_ = conn.Close()
			continue
		}
		l.conns[conn] = true
	}
	return l.listener == listener
}

package agent

import (
	"net"
	"os"
	"sync"
	"testing"
)

// processListener is the listener of an agent's simulated process. Its kill has the effect of SIGKILL on the network:
// from then on the process sends nothing, even while its goroutines still end.
//
// Ending the agent's context is not enough, since a handler may then answer before its connection is closed, and a
// killed process never answers. kill closes all connections before anything else ends.
type processListener struct {
	net.Listener

	mu     sync.Mutex
	killed bool
	conns  []net.Conn
}

// Accept returns the next connection. After the kill it returns closed connections.
func (l *processListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	if l.killed {
		_ = conn.Close()
	}
	return conn, nil
}

func (l *processListener) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = true
	_ = l.Close()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

// listen returns a listener on the kept port, or on a new port if it is nil.
func listen(t testing.TB, port *os.File) *processListener {
	t.Helper()
	var l net.Listener
	var err error
	if port == nil {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	} else {
		l, err = net.FileListener(port)
	}
	if err != nil {
		t.Fatal(err)
	}
	return &processListener{Listener: l}
}

// keepPort keeps the port open for a process that is restarted at the same address. If the port were free in between,
// any other connection on the machine could take it.
func (h *harness) keepPort(t testing.TB) *os.File {
	t.Helper()
	port, err := h.listener.Listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = port.Close() })
	return port
}

package agent

import (
	"net"
	"os"
	"sync"
	"testing"
)

// processListener is the listener of one process of an agent, which a test can kill as SIGKILL does: from that
// moment the process writes nothing more, whatever it does while its goroutines end.
//
// Guard: the end of a context lets a handler answer, and the answer may leave before the connection is closed. A
// killed process never answers. All connections are closed first, and nothing else ends before.
type processListener struct {
	net.Listener

	mu     sync.Mutex
	killed bool
	conns  []net.Conn
}

// Accept returns the next connection, closed already if it comes after the kill.
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

// listen returns a listener on the port, or on a new one for nil.
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

// holdPort keeps the port for a process that is started anew at the address. A port that is free meanwhile
// may be taken by any other connection of the machine.
func (b *bench) holdPort(t testing.TB) *os.File {
	t.Helper()
	port, err := b.listener.Listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = port.Close() })
	return port
}

package callerconn

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const testMemory = 512_000_000

func newTestAccount(descriptors int) *Account {
	return NewAccount("callers", Limits(testMemory, descriptors, 1<<20), prometheus.NewRegistry(), zerolog.Nop())
}

// failingListener fails to accept as often as failures says.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against a listener that ends for good when the process has no descriptor left for a moment.
func TestListenerOutlivesAcceptErrors(t *testing.T) {
	inner := listenLoopback(t)
	l := NewListener(&failingListener{Listener: inner, failures: 3}, newTestAccount(4096), zerolog.Nop())
	dial(t, inner)
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	_ = inner.Close()
	if _, err := l.Accept(); err == nil {
		t.Error("a closed listener accepts")
	}
}

// Guards against a crowd of connections without a request that keeps others out: the longest idle one is closed.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	inner := listenLoopback(t)
	l := NewListener(inner, newTestAccount(0), zerolog.Nop())
	var clients []net.Conn
	for range minConnections + 1 {
		clients = append(clients, dial(t, inner))
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		go func() {
			// A server closes the connection whose read fails.
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}()
	}
	_ = clients[0].SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := clients[0].Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("the first connection is open: %v", err)
	}
	_ = clients[1].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := clients[1].Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("the second connection: %v", err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// accepted returns both ends of a connection of the account.
func accepted(t *testing.T, account *Account) (client net.Conn, server *callerConn) {
	t.Helper()
	inner := listenLoopback(t)
	client = dial(t, inner)
	conn, err := NewListener(inner, account, zerolog.Nop()).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return client, conn.(*callerConn)
}

// Guards against reading into the next request, which would be decoded before it is accounted for.
func TestReadEndsWithTheRequest(t *testing.T) {
	const (
		first  = "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		second = "POST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy"
		third  = "GET /3 HTTP/1.1\r\n\r\n"
	)
	client, server := accepted(t, newTestAccount(4096))
	if _, err := io.WriteString(client, first+second+third); err != nil {
		t.Fatal(err)
	}
	_ = server.SetReadDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 1<<10)
	for _, want := range []string{first, second, third} {
		var got []byte
		for len(got) == 0 || !server.body.done() || server.ready > 0 {
			n, err := server.Read(buffer)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, buffer[:n]...)
		}
		if string(got) != want {
			t.Errorf("read %q, want %q", got, want)
		}
	}
}

// Guards against a partial head that is given more time than the server allows for a request.
func TestHeadKeepsTheShorterDeadline(t *testing.T) {
	client, server := accepted(t, newTestAccount(4096))
	if _, err := io.WriteString(client, "GET / HT"); err != nil {
		t.Fatal(err)
	}
	_ = server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	buffer := make([]byte, 1<<10)
	// The error follows the first byte.
	if n, err := server.Read(buffer); n != 1 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	if _, err := server.Read(buffer); !isTimeout(err) {
		t.Errorf("got %v", err)
	}
}

// Guards against an account that keeps what a closed connection or an answered request held.
func TestAccountIsEmptyAfterConnections(t *testing.T) {
	account := newTestAccount(4096)
	client, server := accepted(t, account)
	if _, err := io.WriteString(client, "POST /1 HTTP/1.1\r\nContent-Length: 100\r\n\r\n0123456789"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAtLeast(server, make([]byte, 1<<10), 50); err != nil {
		t.Fatal(err)
	}
	if held := account.callers.Held(); held <= connectionBytes+activeBytes {
		t.Errorf("a request that is being read holds %d bytes", held)
	}
	_ = server.Close()
	_ = server.Close()
	if account.callers.Held() != 0 || account.callers.Len() != 0 {
		t.Errorf("%d bytes of %d callers are held", account.callers.Held(), account.callers.Len())
	}
}

package peer

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Guards against abandoning an attempt to connect that succeeds late, as on a busy host, in favour of one that doesn't.
func TestEarlierAttemptToConnectIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 4 * connectTimeout
		local, remote := net.Pipe()
		defer func() { _ = remote.Close() }()
		var attempts atomic.Int32
		conn, err := dialRepeatedly(t.Context(), func(ctx context.Context) (net.Conn, error) {
			if attempts.Add(1) > 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			timer := time.NewTimer(delay)
			defer timer.Stop()
			select {
			case <-timer.C:
				return local, nil
			case <-ctx.Done():
				return nil, os.ErrDeadlineExceeded
			}
		})
		if err != nil || conn != local {
			t.Fatalf("%v, error %v", conn, err)
		}
		_ = conn.Close()
		if got := attempts.Load(); got != 3 {
			t.Errorf("%d attempts, want one at once, one after %v and one after another %v", got, connectTimeout, 2*connectTimeout)
		}
	})
}

// Guards against connections that stay open because two attempts succeeded.
func TestUnusedConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remotes := make(chan net.Conn, maxConnectAttempts)
		conn, err := dialRepeatedly(t.Context(), func(context.Context) (net.Conn, error) {
			local, remote := net.Pipe()
			remotes <- remote
			time.Sleep(3 * connectTimeout / 2)
			return local, nil
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if len(remotes) != 2 {
			t.Fatalf("%d attempts", len(remotes))
		}
		<-remotes
		unused := <-remotes
		if _, err := unused.Read(make([]byte, 1)); err == nil {
			t.Error("the second connection is open")
		}
	})
}

// Guards against requests that are sent on a connection which the dial timer has closed at the moment at which the handshake succeeded.
func TestHandshakeThatEndsTooLateFails(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = local.Close(); _ = remote.Close() }()
	ctx, cancel := context.WithCancelCause(t.Context())
	conn, err := authenticate(ctx, local, defaultSettings(), func(net.Conn, *frameReader) (identity, error) {
		cancel(ErrDialTimeout)
		return identity{}, nil
	})
	if conn != nil || !errors.Is(err, ErrDialTimeout) {
		t.Errorf("connection %v, error %v", conn, err)
	}
}

// A server that accepts connections and answers nothing. The error must name the timer that ended the dial, and connecting and the
// handshake together must not take longer than the dial timeout.
func TestUnansweredHandshakeEndsWithTheDialTimeout(t *testing.T) {
	l, address := listen(t)
	var accepts conc.WaitGroup
	accepts.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	})
	defer accepts.Wait()
	defer func() { _ = l.Close() }()
	client := newTestClient(t, testSecret, WithDialTimeout(200*time.Millisecond))
	_, err := client.dial(address)
	if !errors.Is(err, ErrDialTimeout) {
		t.Errorf("the dial ended with %v", err)
	}
}

// firstRefused is a listener whose first accepted connection is closed at once, like one whose handshake took the peer too long.
type firstRefused struct {
	net.Listener
	once sync.Once
}

func (l *firstRefused) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.once.Do(func() { _ = conn.Close() })
	}
	return conn, err
}

// Guards against a dial that fails once in a busy process and fails all requests that wait for it. In a process that isn't busy the
// caller must hear of it at once.
func TestBusyProcessRepeatsAHandshake(t *testing.T) {
	for _, busy := range []bool{true, false} {
		l, address := listen(t)
		ctx, cancel := context.WithCancel(t.Context())
		server := NewServer(ctx, &firstRefused{Listener: l}, (&testPeers{}).newRegistry(), testSecret)
		client := newTestClient(t, testSecret, func(s *settings) { s.busy = func() bool { return busy } })
		_, err := Call[text, text](t.Context(), client, address, methodEcho, text{})
		if busy && err != nil || !busy && !errors.Is(err, ErrUnsent) {
			t.Errorf("busy %v: error %v", busy, err)
		}
		cancel()
		_ = server.Close()
	}
}

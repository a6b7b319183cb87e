package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/socket"
)

// lateReads is a listener whose first accepted connection delivers what it receives after a delay, like a reader on a busy host. The
// other direction isn't delayed.
type lateReads struct {
	net.Listener
	delay time.Duration
	once  sync.Once
}

func (l *lateReads) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	late := &lateConn{Conn: conn}
	l.once.Do(func() { late.delay = l.delay })
	return late, nil
}

// lateConn delays one read, the first after the handshake.
type lateConn struct {
	net.Conn
	delay time.Duration
	reads int
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	// The handshake takes two reads.
	if c.reads++; c.reads == 3 {
		time.Sleep(c.delay)
	}
	return n, err
}

// Guards against losing all requests of a connection because the goroutine that reads it got no processor time for longer than the
// heartbeat timeout, while the process sent its heartbeats and the peer waited.
func TestLateReaderLosesNoRequest(t *testing.T) {
	l, address := listen(t)
	peers := &testPeers{handlerStarted: make(chan struct{}, 1000)}
	ctx, cancel := context.WithCancel(t.Context())
	options := []Option{WithHeartbeat(20*time.Millisecond, 300*time.Millisecond)}
	server := NewServer(ctx, &lateReads{Listener: l, delay: 600 * time.Millisecond}, peers.newRegistry(), testSecret, options...)
	client := newTestClient(t, testSecret, options...)
	defer func() { cancel(); _ = server.Close() }()
	if _, err := Call[text, text](t.Context(), client, address, methodEcho, text{Text: "late"}); err != nil {
		t.Error(err)
	}
}

// Guards against a suspended process that, when it resumes, takes its own first write for a sign that it was running all the time, and
// acts on old frames.
func TestResumedWriterDoesNotHideTheSuspension(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = local.Close(); _ = remote.Close() }()
	conn := newProgressConn(local, defaultSettings())
	conn.startHeartbeats()
	suspended := time.Now().Add(-time.Minute)
	conn.lastRead, conn.lastReturn, conn.lastAwake, conn.lastWrite = suspended, suspended, suspended, suspended
	if _, err := conn.Write([]byte("heartbeat")); !errors.Is(err, ErrFrozen) {
		t.Errorf("the write ended with %v", err)
	}
	var sender conc.WaitGroup
	sender.Go(func() { _, _ = remote.Write([]byte("old")) })
	if n, err := conn.Read(make([]byte, 10)); n != 0 || !errors.Is(err, ErrFrozen) {
		t.Errorf("%d bytes, error %v", n, err)
	}
	_ = local.Close()
	sender.Wait()
}

// Guards against losing all requests of a connection because none of its goroutines got processor time in a process that was busy, and
// against acting on old frames if the process was suspended, or if the peer has closed the connection.
func TestBusyProcessKeepsAnOpenConnection(t *testing.T) {
	for _, test := range []struct {
		name      string
		suspended bool
		closed    bool
		want      error
	}{
		{name: "busy"},
		{name: "suspended", suspended: true, want: ErrFrozen},
		{name: "busy, and the peer has closed the connection", closed: true, want: ErrFrozen},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, address := listen(t)
			defer func() { _ = l.Close() }()
			remote, err := net.Dial("tcp", address.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = remote.Close() }()
			local, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = local.Close() }()
			conn := newProgressConn(local, defaultSettings())
			conn.startHeartbeats()
			before := time.Now().Add(-time.Minute)
			conn.lastRead, conn.lastReturn, conn.lastAwake, conn.lastWrite = before, before, before, before
			conn.processTime = processTimeSample{at: before, used: processTime()}
			if !test.suspended {
				conn.processTime.used -= 30 * time.Second
			}
			if _, err := remote.Write([]byte("late")); err != nil {
				t.Fatal(err)
			}
			if test.closed {
				_ = remote.Close()
				for socket.IsOpen(local) {
					time.Sleep(time.Millisecond)
				}
			}
			if _, err := conn.Read(make([]byte, 10)); !errors.Is(err, test.want) {
				t.Errorf("the read ended with %v", err)
			}
		})
	}
}

// Guards against acting on old frames when the goroutines of the connection ran, but sent nothing for longer than the peer waits.
func TestProcessThatSentNothingIsFrozen(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = local.Close(); _ = remote.Close() }()
	conn := newProgressConn(local, defaultSettings())
	conn.startHeartbeats()
	conn.lastWrite = time.Now().Add(-time.Minute)
	if _, err := conn.Write([]byte("heartbeat")); !errors.Is(err, ErrFrozen) {
		t.Errorf("the write ended with %v", err)
	}
}

// A peer that sends nothing is given up after the timeout, and not before.
func TestSilentPeerIsGivenUpAfterTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer func() { _ = local.Close(); _ = remote.Close() }()
		s := defaultSettings()
		s.busy = func() bool { return false }
		conn := newProgressConn(local, s)
		started := time.Now()
		_, err := conn.Read(make([]byte, 10))
		if took := time.Since(started); !errors.Is(err, ErrSilent) || took != defaultHeartbeatTimeout {
			t.Errorf("%v after %v", err, took)
		}
	})
}

// Guards against two heartbeat intervals of silence, most of the time that a peer waits, when a frame was sent right after a tick.
func TestHeartbeatFollowsAFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		ctx, cancel := context.WithCancel(t.Context())
		s := defaultSettings()
		s.busy = func() bool { return false }
		progress := newProgressConn(local, s)
		conn := newFrameConn(ctx, progress, newFrameReader(progress, s.maxFrame), identity{}, s)
		var work conc.WaitGroup
		work.Go(func() { _, _ = conn.run(func(frame) error { return nil }, func() int { return 0 }) })
		work.Go(func() {
			time.Sleep(10*s.heartbeat + s.heartbeat/100)
			_ = conn.send(ctx, queuedFrame{frame: frame{Kind: kindData}})
		})
		// The other side sends enough for the connection to stay open.
		work.Go(func() {
			for ctx.Err() == nil {
				_, _ = remote.Write([]byte{0, 0, 0, 5, 0x94, byte(kindHeartbeat), 0, 0, 0xc4})
				time.Sleep(s.heartbeat)
			}
		})
		last, longest := time.Now(), time.Duration(0)
		buf := make([]byte, 100)
		for started := time.Now(); time.Since(started) < 20*s.heartbeat; {
			if _, err := remote.Read(buf); err != nil {
				if !errors.Is(err, io.EOF) {
					t.Error(err)
				}
				break
			}
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
		if limit := s.heartbeat * 3 / 2; longest > limit {
			t.Errorf("the peer received nothing for %v, limit %v", longest, limit)
		}
		cancel()
		_ = remote.Close()
		work.Wait()
	})
}

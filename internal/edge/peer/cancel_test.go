package peer

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Guards against a cancelled request that waits for a stalled connection. The peer's host has stopped reading and the send queue
// is full when the deadline of a sent request passes. The caller must get its error immediately, and not when the connection
// breaks seconds later. If the host resumes, it must receive the cancellation.
func TestAbandonDoesNotWaitForStalledConnection(t *testing.T) {
	local, remote := net.Pipe()
	settings := defaultSettings()
	settings.heartbeat, settings.heartbeatTimeout, settings.writeTimeout = time.Hour, time.Hour, time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	var work conc.WaitGroup
	defer work.Wait()
	defer cancel()
	progress := newProgressConn(local, settings)
	c := newClientConn(newFrameConn(ctx, progress, newFrameReader(bufio.NewReader(progress), settings.maxFrame), identity{}, settings))
	work.Go(c.run)
	s := startTestStream(ctx, t, c)
	for s.sentID() == 0 {
		time.Sleep(time.Millisecond) // until the writer has dequeued the frame and blocks
	}
	for len(c.queue) < queueLength {
		startTestStream(ctx, t, c)
	}
	requestCtx, cancelRequest := context.WithCancel(ctx)
	s.ctx = requestCtx
	cancelRequest()
	abandoned := make(chan error, 1)
	work.Go(func() { abandoned <- s.await(func() bool { return false }) })
	select {
	case err := <-abandoned:
		if !errors.Is(err, ErrLost) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the cancelled request waits for the connection")
	}
	reader := newFrameReader(bufio.NewReader(remote), settings.maxFrame)
	for {
		f, err := reader.next()
		if err != nil {
			t.Fatal(err)
		}
		if f.Kind == kindCancel {
			if f.StreamID != s.sentID() {
				t.Errorf("cancelled stream %d", f.StreamID)
			}
			return
		}
	}
}

// startTestStream queues a request on the connection.
func startTestStream(ctx context.Context, t *testing.T, c *clientConn) *clientStream {
	t.Helper()
	if !c.reserve() {
		t.Fatal("the connection accepts no request")
	}
	return startStream(ctx, c, []byte("x"))
}

// sentID returns the stream ID, or 0 until the request frame is about to be written.
func (s *clientStream) sentID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

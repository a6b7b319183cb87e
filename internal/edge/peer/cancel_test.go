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

// An agent's host stands still, so that nothing of a connection is taken any more and its queue is full. The deadline of a
// caller whose request was sent passes. The caller must be answered then, and not when the connection breaks seconds later; and
// where the host goes on, it must learn that the request was given up on.
func TestGivingUpDoesNotWaitForAStandingConnection(t *testing.T) {
	near, far := net.Pipe()
	s := defaultSettings()
	s.heartbeat, s.heartbeatTimeout, s.writeTimeout = time.Hour, time.Hour, time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	var work conc.WaitGroup
	defer work.Wait()
	defer cancel()
	progress := newProgressConn(near, s)
	c := newChannel(newLink(ctx, progress, newFrameReader(bufio.NewReader(progress), s.maxFrame), identity{}, s))
	work.Go(c.run)
	out := startOn(ctx, t, c)
	for out.sentStream() == 0 {
		time.Sleep(time.Millisecond) // until the writer has taken the frame, and stands
	}
	for len(c.out) < queueLength {
		startOn(ctx, t, c)
	}
	deadline, pass := context.WithCancel(ctx)
	out.ctx = deadline
	pass()
	gaveUp := make(chan error, 1)
	work.Go(func() { gaveUp <- out.await(func() bool { return false }) })
	select {
	case err := <-gaveUp:
		if !errors.Is(err, ErrLost) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("giving up waits for the connection")
	}
	reader := newFrameReader(bufio.NewReader(far), s.maxFrame)
	for {
		f, err := reader.next()
		if err != nil {
			t.Fatal(err)
		}
		if f.Kind == kindCancel {
			if f.Stream != out.sentStream() {
				t.Errorf("cancelled stream %d", f.Stream)
			}
			return
		}
	}
}

// startOn queues a request on the channel.
func startOn(ctx context.Context, t *testing.T, c *channel) *outbound {
	t.Helper()
	if !c.reserve() {
		t.Fatal("the channel takes no request")
	}
	return start(ctx, c, []byte("x"))
}

// sentStream returns the stream, 0 until the frame is about to be written.
func (o *outbound) sentStream() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stream
}

package peer

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"
)

// queuedFrame is a frame in the send queue of a connection.
type queuedFrame struct {
	frame frame
	// assignID, if set, is called right before the frame is written, and sets its stream ID. The frame is dropped if it
	// returns false.
	assignID func(f *frame) bool
}

// frameConn sends and receives the frames of an authenticated connection, and sends heartbeats.
// Its reading goroutine never waits for a stream, so that a slow reader of one answer doesn't block the others.
type frameConn struct {
	identity
	netConn  *progressConn
	reader   *frameReader
	settings settings
	opened   time.Time
	// writeMu is held while frames are written.
	writeMu  sync.Mutex
	queue    chan queuedFrame
	overflow overflowQueue
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// overflowQueue holds frames that were sent by sendAsync while the send queue was full: at most one for each open stream.
type overflowQueue struct {
	mu     sync.Mutex
	frames []frame
}

func (q *overflowQueue) put(f frame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.frames = append(q.frames, f)
}

func (q *overflowQueue) take() []frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames = nil
	return frames
}

func newFrameConn(ctx context.Context, conn *progressConn, reader *frameReader, id identity, s settings) *frameConn {
	ctx, cancel := context.WithCancelCause(ctx)
	reader.limit = s.maxFrame
	conn.startHeartbeats()
	return &frameConn{
		identity: id,
		netConn:  conn,
		reader:   reader,
		settings: s,
		opened:   time.Now(),
		queue:    make(chan queuedFrame, queueLength),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// run sends and receives frames until the connection ends. It calls dispatch for each received frame except heartbeats. It returns the
// cause of the end, and the number of requests that were open then.
func (c *frameConn) run(dispatch func(frame) error, openRequests func() int) (int, error) {
	stop := context.AfterFunc(c.ctx, func() { _ = c.netConn.Close() })
	defer stop()
	requests := sync.OnceValue(openRequests)
	end := func(cause error) {
		_ = requests() // counted before the requests fail
		c.cancel(cause)
	}
	wg := conc.NewWaitGroup()
	wg.Go(func() { end(c.write()) })
	wg.Go(func() { end(c.sendHeartbeats()) })
	end(c.read(dispatch))
	_ = c.netConn.Close()
	wg.Wait()
	return requests(), context.Cause(c.ctx)
}

func (c *frameConn) read(dispatch func(frame) error) error {
	for {
		f, err := c.reader.next()
		if err != nil {
			return err
		}
		if f.ConnectionID != c.connectionID {
			return errors.Wrapf(ErrProtocol, "frame of connection %016x on %016x", f.ConnectionID, c.connectionID)
		}
		if f.Kind == kindHeartbeat {
			continue
		}
		if err := dispatch(f); err != nil {
			return err
		}
	}
}

// write sends the queued frames, combined into few system calls.
func (c *frameConn) write() error {
	ticker := time.NewTicker(c.settings.heartbeat)
	defer ticker.Stop()
	batch := batch{conn: c, encoder: msgpack.NewEncoder(nil)}
	for {
		select {
		case <-c.ctx.Done():
			return context.Cause(c.ctx)
		case q := <-c.queue:
			if err := batch.send(q); err != nil {
				return err
			}
		case <-ticker.C:
			if err := batch.flush(); err != nil {
				return err
			}
		}
	}
}

// sendHeartbeats sends a heartbeat at the end of each interval unless something was written in its second half, so that the peer never
// waits for longer than one and a half intervals.
//
// It has a goroutine of its own: on a busy host the writer may wait for its turn for seconds while it encodes frames, and the peer would
// give the connection up.
func (c *frameConn) sendHeartbeats() error {
	var heartbeat bytes.Buffer
	if err := appendFrame(&heartbeat, msgpack.NewEncoder(nil), frame{Kind: kindHeartbeat, ConnectionID: c.connectionID}); err != nil {
		return err
	}
	ticker := time.NewTicker(c.settings.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return context.Cause(c.ctx)
		case <-ticker.C:
		}
		if err := c.netConn.confirmAwake(time.Now()); err != nil {
			return err
		}
		if c.netConn.sinceWrite() < c.settings.heartbeat/2 {
			continue
		}
		if !c.writeMu.TryLock() {
			c.netConn.recordWrite(time.Now()) // the frames that are being written take the place of a heartbeat
			continue
		}
		_, err := c.netConn.Write(heartbeat.Bytes())
		c.writeMu.Unlock()
		if err != nil {
			return errors.Wrap(err, "write heartbeat")
		}
	}
}

// send queues a frame. If the queue is full, it blocks until there is room or until ctx or the connection ends.
func (c *frameConn) send(ctx context.Context, q queuedFrame) error {
	select {
	case c.queue <- q:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-c.ctx.Done():
		return context.Cause(c.ctx)
	}
}

// sendAsync queues a frame without blocking. If the queue is full, the frame is written with the next batch, at the latest at
// the next heartbeat tick once the writer makes progress again.
//
// Guards against a cancelled request, and with it its caller, that waits for room in the queue of a stalled connection until
// the connection breaks.
func (c *frameConn) sendAsync(f frame) {
	select {
	case c.queue <- queuedFrame{frame: f}:
	default:
		c.overflow.put(f)
	}
}

// batch collects frames that are written with one system call.
type batch struct {
	conn    *frameConn
	buf     bytes.Buffer
	encoder *msgpack.Encoder
}

func (b *batch) send(q queuedFrame) error {
	for {
		if err := b.add(q); err != nil {
			return err
		}
		if b.buf.Len() >= bufferSize {
			return b.flush()
		}
		select {
		case q = <-b.conn.queue:
		default:
			return b.flush()
		}
	}
}

func (b *batch) add(q queuedFrame) error {
	q.frame.ConnectionID = b.conn.connectionID
	if q.assignID != nil && !q.assignID(&q.frame) {
		return nil
	}
	return appendFrame(&b.buf, b.encoder, q.frame)
}

func (b *batch) flush() error {
	for _, f := range b.conn.overflow.take() {
		if err := b.add(queuedFrame{frame: f}); err != nil {
			return err
		}
	}
	if b.buf.Len() == 0 {
		return nil
	}
	b.conn.writeMu.Lock()
	_, err := b.conn.netConn.Write(b.buf.Bytes())
	b.conn.writeMu.Unlock()
	if b.buf.Cap() > 4*bufferSize {
		b.buf = bytes.Buffer{}
	}
	b.buf.Reset()
	return errors.Wrap(err, "write frames")
}

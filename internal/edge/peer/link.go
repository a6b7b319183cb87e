package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"
)

// outgoing is a frame that waits for the writer of its connection.
type outgoing struct {
	frame frame
	// claim, if set, is called right before the frame is written, and may fill it in;
	// the frame is dropped if it returns false.
	claim func(f *frame) bool
}

// link is one authenticated connection: a writer with heartbeats and a reader.
// The reader never waits for a stream, so that a slow reader of one answer holds up no other.
type link struct {
	identity
	conn     net.Conn
	reader   *frameReader
	settings settings
	out      chan outgoing
	late     late
	ctx      context.Context
	end      context.CancelCauseFunc
}

// late holds frames that found the queue full and whose sender doesn't wait: at most one for each open stream.
type late struct {
	mu     sync.Mutex
	frames []frame
}

func (l *late) put(f frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frames = append(l.frames, f)
}

func (l *late) take() []frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frames := l.frames
	l.frames = nil
	return frames
}

// progressConn sets a new deadline for each read and each bounded write, so that a long frame may
// take its time as long as bytes move, and a peer that stands still is noticed.
type progressConn struct {
	net.Conn
	readTimeout, writeTimeout time.Duration
	// received is when bytes came last.
	received time.Time
}

func newProgressConn(conn net.Conn, s settings) *progressConn {
	return &progressConn{
		Conn:         conn,
		readTimeout:  s.heartbeatTimeout,
		writeTimeout: s.writeTimeout,
		received:     time.Now(),
	}
}

// Read fails also when bytes are there, but this process did not look for longer than the timeout: it
// was frozen. The other side has given the connection up by then and told its callers that their
// requests may have run; the frames that waited in the socket must not start them now, with a
// deadline counted from the wake-up.
func (c *progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	now := time.Now()
	if silence := now.Sub(c.received); silence > c.readTimeout {
		return 0, errors.Wrapf(ErrFrozen, "nothing was read for %s", silence)
	}
	c.received = now
	return n, err
}

func (c *progressConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+bufferSize)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func newLink(ctx context.Context, conn net.Conn, reader *frameReader, id identity, s settings) *link {
	ctx, end := context.WithCancelCause(ctx)
	reader.limit = s.maxFrame
	return &link{
		identity: id,
		conn:     conn,
		reader:   reader,
		settings: s,
		out:      make(chan outgoing, queueLength),
		ctx:      ctx,
		end:      end,
	}
}

// run serves the connection until it ends; dispatch is called for each frame but heartbeats.
func (l *link) run(dispatch func(frame) error) error {
	stop := context.AfterFunc(l.ctx, func() { _ = l.conn.Close() })
	defer stop()
	wg := conc.NewWaitGroup()
	wg.Go(func() { l.end(l.write()) })
	l.end(l.read(dispatch))
	_ = l.conn.Close()
	wg.Wait()
	return context.Cause(l.ctx)
}

func (l *link) read(dispatch func(frame) error) error {
	for {
		f, err := l.reader.next()
		if err != nil {
			return err
		}
		if f.Incarnation != l.incarnation {
			return errors.Wrapf(ErrProtocol, "frame of connection %016x on %016x", f.Incarnation, l.incarnation)
		}
		if f.Kind == kindHeartbeat {
			continue
		}
		if err := dispatch(f); err != nil {
			return err
		}
	}
}

// write sends queued frames, as many in one system call as are waiting, and heartbeats when quiet.
func (l *link) write() error {
	ticker := time.NewTicker(l.settings.heartbeat)
	defer ticker.Stop()
	batch := batch{link: l, encoder: msgpack.NewEncoder(nil)}
	quiet := true
	for {
		select {
		case <-l.ctx.Done():
			return context.Cause(l.ctx)
		case o := <-l.out:
			quiet = false
			if err := batch.send(o); err != nil {
				return err
			}
		case <-ticker.C:
			if err := batch.heartbeat(quiet); err != nil {
				return err
			}
			quiet = true
		}
	}
}

// send queues a frame. It waits while the queue is full, until ctx or the connection ends.
func (l *link) send(ctx context.Context, o outgoing) error {
	select {
	case l.out <- o:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-l.ctx.Done():
		return context.Cause(l.ctx)
	}
}

// post hands a frame to the writer without waiting.
//
// Guard: the other side stands still, and the queue is full. A request whose caller has given up would wait to tell the other
// side so until the connection breaks, and its caller as long. The writer sends the frame when it gets on, or a heartbeat's
// time later if it had just emptied the queue.
func (l *link) post(f frame) {
	select {
	case l.out <- outgoing{frame: f}:
	default:
		l.late.put(f)
	}
}

// batch collects the frames of one system call.
type batch struct {
	link    *link
	buf     bytes.Buffer
	encoder *msgpack.Encoder
}

func (b *batch) send(o outgoing) error {
	for {
		if err := b.add(o); err != nil {
			return err
		}
		if b.buf.Len() >= bufferSize {
			return b.flush()
		}
		select {
		case o = <-b.link.out:
		default:
			return b.flush()
		}
	}
}

func (b *batch) add(o outgoing) error {
	o.frame.Incarnation = b.link.incarnation
	if o.claim != nil && !o.claim(&o.frame) {
		return nil
	}
	return appendFrame(&b.buf, b.encoder, o.frame)
}

func (b *batch) heartbeat(quiet bool) error {
	if !quiet {
		return b.flush()
	}
	if err := b.add(outgoing{frame: frame{Kind: kindHeartbeat}}); err != nil {
		return err
	}
	return b.flush()
}

func (b *batch) flush() error {
	for _, f := range b.link.late.take() {
		if err := b.add(outgoing{frame: f}); err != nil {
			return err
		}
	}
	if b.buf.Len() == 0 {
		return nil
	}
	_, err := b.link.conn.Write(b.buf.Bytes())
	if b.buf.Cap() > 4*bufferSize {
		b.buf = bytes.Buffer{}
	}
	b.buf.Reset()
	return errors.Wrap(err, "write frames")
}

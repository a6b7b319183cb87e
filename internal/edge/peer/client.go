package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Client sends requests to other processes. It keeps one connection to each.
type Client struct {
	secret   []byte
	settings settings
	ctx      context.Context
	wg       *conc.WaitGroup

	mu     sync.Mutex
	conns  map[netip.AddrPort]*sharedConn
	closed bool
	// dialFailures holds the addresses whose last dial failed, for the debug state.
	dialFailures map[netip.AddrPort]dialFailure
}

// sharedConn is a connection that is open or being opened. All requests to its address share it.
type sharedConn struct {
	ready chan struct{} // closed when conn or err is set
	conn  *clientConn
	err   error
}

// NewClient returns a client whose connections are closed when ctx ends.
func NewClient(ctx context.Context, secret []byte, opts ...ClientOption) *Client {
	c := &Client{
		secret:       secret,
		settings:     defaultSettings(),
		ctx:          ctx,
		wg:           conc.NewWaitGroup(),
		conns:        make(map[netip.AddrPort]*sharedConn),
		dialFailures: make(map[netip.AddrPort]dialFailure),
	}
	for _, opt := range opts {
		opt(&c.settings)
	}
	return c
}

// Wait blocks until the client's context has ended and all connections are closed.
func (c *Client) Wait() {
	<-c.ctx.Done()
	c.close()
	c.wg.Wait()
}

// close prevents new connections, so that no goroutine joins the wait group while Wait blocks on it.
func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// acquire returns an open connection on which one request is reserved.
func (c *Client) acquire(ctx context.Context, to netip.AddrPort) (*clientConn, error) {
	for {
		shared, err := c.connTo(to)
		if err != nil {
			return nil, err
		}
		select {
		case <-shared.ready:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		if shared.err != nil {
			return nil, shared.err
		}
		if shared.conn.reserve() {
			return shared.conn, nil
		}
		c.removeConn(to, shared)
	}
}

func (c *Client) connTo(to netip.AddrPort) (*sharedConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.ctx.Err() != nil {
		return nil, errors.Wrap(ErrClosed, "client")
	}
	if shared, ok := c.conns[to]; ok {
		return shared, nil
	}
	shared := &sharedConn{ready: make(chan struct{})}
	c.conns[to] = shared
	c.wg.Go(func() { c.runConn(to, shared) })
	return shared, nil
}

func (c *Client) removeConn(to netip.AddrPort, shared *sharedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[to] == shared {
		delete(c.conns, to)
	}
}

func (c *Client) runConn(to netip.AddrPort, shared *sharedConn) {
	defer c.removeConn(to, shared)
	transport, err := c.dial(to)
	c.recordDial(to, err)
	if err != nil {
		shared.err = errors.Wrapf(err, "connect to %s", to)
		close(shared.ready)
		return
	}
	shared.conn = newClientConn(transport)
	close(shared.ready)
	shared.conn.run()
}

// connect opens a TCP connection. It retries attempts that time out, up to maxConnectAttempts in total, doubling the timeout after
// each one.
//
// Guards against the kernel's SYN retransmission delay of a second when the first packet to a booting host is lost. The limit on
// attempts prevents a busy loop: after the deadline of ctx has passed but before ctx is done, each dial times out immediately.
func connect(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	for attempt := 1; ; attempt++ {
		conn, err := dialer.DialContext(ctx, "tcp", to.String())
		var netErr net.Error
		if err == nil || attempt == maxConnectAttempts || ctx.Err() != nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return conn, err
		}
		dialer.Timeout *= 2
	}
}

func (c *Client) dial(to netip.AddrPort) (*frameConn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.settings.dialTimeout)
	defer cancel()
	conn, err := connect(ctx, to)
	if err != nil {
		return nil, err
	}
	if c.settings.tls != nil {
		conn = tls.Client(conn, c.settings.tlsFor(to))
	}
	transport, err := establish(c.ctx, conn, c.settings, func(conn net.Conn, reader *frameReader) (identity, error) {
		return clientHandshake(conn, reader, c.secret)
	})
	if err != nil {
		_ = conn.Close()
	}
	return transport, err
}

// establish runs the handshake, for at most the dial timeout.
func establish(
	ctx context.Context, conn net.Conn, s settings, handshake func(net.Conn, *frameReader) (identity, error),
) (*frameConn, error) {
	timeout := time.AfterFunc(s.dialTimeout, func() { _ = conn.Close() })
	defer timeout.Stop()
	progress := newProgressConn(conn, s)
	reader := newFrameReader(bufio.NewReaderSize(progress, readBufferSize), maxHandshakeFrame)
	id, err := handshake(progress, reader)
	if err != nil {
		return nil, err
	}
	return newFrameConn(ctx, progress, reader, id, s), nil
}

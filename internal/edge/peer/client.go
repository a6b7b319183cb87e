package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"

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

// maxBusyDials is how often a dial that fails while this process is busy is repeated for a request.
const maxBusyDials = 3

// acquire returns an open connection on which one request is reserved.
func (c *Client) acquire(ctx context.Context, to netip.AddrPort) (*clientConn, error) {
	for dials := 1; ; {
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
			// In a busy process, or before one, a handshake may take longer than either side waits.
			if dials == maxBusyDials || !c.settings.busy() || !isHandshakeTimeout(shared.err) {
				return nil, shared.err
			}
			dials++
			c.removeConn(to, shared)
			continue
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

func (c *Client) dial(to netip.AddrPort) (*frameConn, error) {
	ctx, cancel := c.settings.dialContext(c.ctx)
	defer cancel()
	conn, err := connect(ctx, to)
	if err != nil {
		return nil, err
	}
	if c.settings.tls != nil {
		conn = tls.Client(conn, c.settings.tlsFor(to))
	}
	authenticated, err := authenticate(ctx, conn, c.settings, func(conn net.Conn, reader *frameReader) (identity, error) {
		return clientHandshake(conn, reader, c.secret)
	})
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	return authenticated.start(c.ctx, c.settings), nil
}

// isHandshakeTimeout reports whether a dial failed because this side or, seen as the end of the connection, the peer waited too long.
func isHandshakeTimeout(err error) bool {
	for _, cause := range []error{ErrDialTimeout, io.EOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

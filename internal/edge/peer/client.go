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

// Client sends requests to other processes over one connection to each.
type Client struct {
	secret   []byte
	settings settings
	ctx      context.Context
	wg       *conc.WaitGroup

	mu     sync.Mutex
	peers  map[netip.AddrPort]*dialling
	closed bool
	// failed holds the addresses whose last dial failed, for the dump.
	failed map[netip.AddrPort]failure
}

// dialling is a connection that is open or being opened; callers share it.
type dialling struct {
	ready   chan struct{} // closed when channel or err is set
	channel *channel
	err     error
}

// NewClient returns a client whose connections end with ctx.
func NewClient(ctx context.Context, secret []byte, opts ...ClientOption) *Client {
	c := &Client{
		secret:   secret,
		settings: defaultSettings(),
		ctx:      ctx,
		wg:       conc.NewWaitGroup(),
		peers:    make(map[netip.AddrPort]*dialling),
		failed:   make(map[netip.AddrPort]failure),
	}
	for _, opt := range opts {
		opt(&c.settings)
	}
	return c
}

// Wait returns when all connections have ended, after the client's context has.
func (c *Client) Wait() {
	<-c.ctx.Done()
	c.close()
	c.wg.Wait()
}

// close makes sure that no goroutine is counted in while Wait waits.
func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// acquire returns an open connection with one stream reserved on it.
func (c *Client) acquire(ctx context.Context, to netip.AddrPort) (*channel, error) {
	for {
		d, err := c.dialling(to)
		if err != nil {
			return nil, err
		}
		select {
		case <-d.ready:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		if d.err != nil {
			return nil, d.err
		}
		if d.channel.reserve() {
			return d.channel, nil
		}
		c.forget(to, d)
	}
}

func (c *Client) dialling(to netip.AddrPort) (*dialling, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.ctx.Err() != nil {
		return nil, errors.Wrap(ErrClosed, "client")
	}
	if d, ok := c.peers[to]; ok {
		return d, nil
	}
	d := &dialling{ready: make(chan struct{})}
	c.peers[to] = d
	c.wg.Go(func() { c.serve(to, d) })
	return d, nil
}

func (c *Client) forget(to netip.AddrPort, d *dialling) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[to] == d {
		delete(c.peers, to)
	}
}

func (c *Client) serve(to netip.AddrPort, d *dialling) {
	defer c.forget(to, d)
	l, err := c.dial(to)
	c.remember(to, err)
	if err != nil {
		d.err = errors.Wrapf(err, "connect to %s", to)
		close(d.ready)
		return
	}
	d.channel = newChannel(l)
	close(d.ready)
	d.channel.run()
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

func (c *Client) dial(to netip.AddrPort) (*link, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.settings.dialTimeout)
	defer cancel()
	conn, err := connect(ctx, to)
	if err != nil {
		return nil, err
	}
	if c.settings.tls != nil {
		conn = tls.Client(conn, c.settings.tlsFor(to))
	}
	l, err := establish(c.ctx, conn, c.settings, func(conn net.Conn, reader *frameReader) (identity, error) {
		return greet(conn, reader, c.secret)
	})
	if err != nil {
		_ = conn.Close()
	}
	return l, err
}

// establish runs the handshake within the dial timeout.
func establish(
	ctx context.Context, conn net.Conn, s settings, shake func(net.Conn, *frameReader) (identity, error),
) (*link, error) {
	timeout := time.AfterFunc(s.dialTimeout, func() { _ = conn.Close() })
	defer timeout.Stop()
	progress := newProgressConn(conn, s)
	reader := newFrameReader(bufio.NewReaderSize(progress, readBufferSize), maxHandshakeFrame)
	id, err := shake(progress, reader)
	if err != nil {
		return nil, err
	}
	return newLink(ctx, progress, reader, id, s), nil
}

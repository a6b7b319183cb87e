// Package exchange makes HTTP calls over pooled connections with fasthttp's codec. Unlike fasthttp's
// own client it ends a call when its context ends, never sends a request twice, and reports for
// every failure whether the request may have reached the server.
package exchange

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Errors of a call. Every error that a Client returns wraps one of them.
var (
	// ErrNotSent: no byte of the request was sent, so it can't have run.
	ErrNotSent = errors.New("request not sent")
	// ErrAnswerLost: the request was sent at least in part, and its complete answer was not received.
	ErrAnswerLost = errors.New("answer lost")
)

// Defaults of a client.
const (
	// DefaultDialTimeout leaves time for one retransmission of a lost SYN, which comes after a second.
	DefaultDialTimeout = 2 * time.Second
	// DefaultIdleTimeout is below the 60 s after which common servers close idle connections.
	DefaultIdleTimeout = 20 * time.Second
	// DefaultMaxBody is the largest body, in bytes, of an answer that is read into memory.
	DefaultMaxBody = 4 << 20
	// DefaultMemory is the memory, in bytes, for all answers of a process that are read at the same time.
	DefaultMemory = 8 << 20
	// DefaultMaxIdle is the number of idle connections that are kept per server.
	DefaultMaxIdle = 64
)

// Client makes HTTP calls and keeps idle connections for later ones. It is safe for concurrent use.
type Client struct {
	dialTimeout time.Duration
	idleTimeout time.Duration
	maxBody     int
	maxIdle     int
	dialer      net.Dialer
	memory      *Memory
	onTooLarge  func(*AnswerTooLargeError)
	onMalformed func(*MalformedError)

	mutex  sync.Mutex
	closed bool
	// idle holds the idle connections by connection.key; the last one of a key was used last.
	idle map[string][]*connection
	// sweeper calls sweep; it is nil while there are no idle connections.
	sweeper *time.Timer
}

// Option configures a client.
type Option func(*Client)

// WithDialTimeout bounds the time to open a connection, the TLS handshake included.
func WithDialTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.dialTimeout = timeout }
}

// WithIdleTimeout sets how long an idle connection may be reused.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.idleTimeout = timeout }
}

// WithKeepAlive sets the TCP keep-alive probes on open connections. A connection that a network partition interrupts is not closed, and
// without probes a call that may take long would wait on it forever.
func WithKeepAlive(config net.KeepAliveConfig) Option {
	return func(c *Client) { c.dialer.KeepAliveConfig = config }
}

// WithMaxBody sets the largest body, in bytes, of an answer that Do and Stream.ReadBody read.
func WithMaxBody(limit int) Option {
	return func(c *Client) { c.maxBody = limit }
}

// WithMemory sets the memory for answers, which several clients can share. Without it a client has DefaultMemory for itself.
func WithMemory(memory *Memory) Option {
	return func(c *Client) { c.memory = memory }
}

// WithTooLargeObserver sets a function that is called for each answer that was ended because it is too large. It must not block.
func WithTooLargeObserver(observe func(*AnswerTooLargeError)) Option {
	return func(c *Client) { c.onTooLarge = observe }
}

// WithMalformedObserver sets a function that is called for each answer that is malformed. It must not block.
func WithMalformedObserver(observe func(*MalformedError)) Option {
	return func(c *Client) { c.onMalformed = observe }
}

// NewClient returns a client that has no connections yet.
func NewClient(opts ...Option) *Client {
	client := &Client{
		dialTimeout: DefaultDialTimeout,
		idleTimeout: DefaultIdleTimeout,
		maxBody:     DefaultMaxBody,
		maxIdle:     DefaultMaxIdle,
		idle:        make(map[string][]*connection),
		onTooLarge:  func(*AnswerTooLargeError) {},
		onMalformed: func(*MalformedError) {},
	}
	for _, opt := range opts {
		opt(client)
	}
	if client.memory == nil {
		client.memory = NewMemory(DefaultMemory)
	}
	return client
}

// Do sends the request and reads the complete answer. It doesn't follow redirects. The answer counts as buffered until Do returns, and its
// body stays valid when the response is released.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	return c.do(ctx, req, resp, c.acquire)
}

// DoExpiring is Do for a request that must not reach the server after the deadline of the context, which it needs. A network may hold it up
// while this process is killed or paused and can't reset the connection, so that the kernel has to drop it.
func (c *Client) DoExpiring(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	return c.do(ctx, req, resp, c.acquireExpiring)
}

func (c *Client) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, connect connector) error {
	trip, err := c.start(ctx, req, resp, connect)
	if err != nil {
		return err
	}
	stream := &Stream{trip: trip, resp: resp, body: resp.BodyStream()}
	content, body, err := stream.readJoined()
	trip.finish(err == nil)
	if err != nil {
		return err
	}
	defer body.Release()
	resp.SetBodyRaw(content)
	return nil
}

// Open sends the request and returns once the header of the answer has arrived. The stream must be closed.
func (c *Client) Open(ctx context.Context, req *fasthttp.Request) (*Stream, error) {
	return c.open(ctx, req, c.acquire)
}

// OpenNew is Open on a new connection. An idle one may have gone silent, which shows only once a request is sent on it.
func (c *Client) OpenNew(ctx context.Context, req *fasthttp.Request) (*Stream, error) {
	return c.open(ctx, req, c.connect)
}

func (c *Client) open(ctx context.Context, req *fasthttp.Request, connect connector) (*Stream, error) {
	resp := fasthttp.AcquireResponse()
	trip, err := c.start(ctx, req, resp, connect)
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	return &Stream{trip: trip, resp: resp, body: resp.BodyStream()}, nil
}

// Close closes the idle connections; calls that are running end with their contexts.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	if c.sweeper != nil {
		c.sweeper.Stop()
	}
	for key, connections := range c.idle {
		for _, conn := range connections {
			conn.close()
		}
		delete(c.idle, key)
	}
}

// roundTrip is one request and its answer on a connection.
type roundTrip struct {
	client *Client
	conn   *connection
	// stop stops the context from aborting the connection; it returns false if the context ended first.
	stop func() bool
	ctx  context.Context
	// reusable is set if both sides keep the connection open after the answer.
	reusable bool
}

// connector returns a connection for a request.
type connector func(context.Context, *fasthttp.Request) (*connection, error)

// start sends the request and reads the header of the answer.
func (c *Client) start(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, connect connector) (*roundTrip, error) {
	conn, err := connect(ctx, req)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	trip := &roundTrip{client: c, conn: conn, ctx: ctx}
	trip.stop = context.AfterFunc(ctx, conn.abort)
	if err := conn.send(req); err != nil {
		trip.finish(false)
		if conn.bytesSent == 0 {
			return nil, errors.Wrapf(ErrNotSent, "%v", trip.cause(err))
		}
		return nil, errors.Wrapf(ErrAnswerLost, "sending: %v", trip.cause(err))
	}
	resp.StreamBody = true
	resp.SkipBody = req.Header.IsHead()
	if err := trip.readHead(resp); err != nil {
		trip.finish(false)
		return nil, err
	}
	trip.reusable = !req.ConnectionClose() && !resp.ConnectionClose()
	return trip, nil
}

// readHead reads the head of the answer.
func (t *roundTrip) readHead(resp *fasthttp.Response) error {
	err := t.conn.awaitHead()
	if err == nil {
		err = t.decodeHead(resp)
	}
	var malformed *MalformedError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bufio.ErrBufferFull):
		return t.client.tooLarge(t.conn, BoundHeader, t.conn.bytesReceived, t.conn.reader.Size())
	case errors.As(err, &malformed):
		t.client.onMalformed(malformed)
		return malformed
	default:
		return errors.Wrapf(ErrAnswerLost, "reading: %v", t.cause(err))
	}
}

// decodeHead decodes a head that has been received and checked. What the library can't read either, such as two lengths, is malformed.
func (t *roundTrip) decodeHead(resp *fasthttp.Response) error {
	err := resp.Read(t.conn.reader)
	var headTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case err == nil || t.ctx.Err() != nil:
		return err
	case errors.As(err, &headTooLarge):
		return bufio.ErrBufferFull
	default:
		return &MalformedError{Server: t.conn.key, Fault: fmt.Sprintf("%.100v", err)}
	}
}

// finish returns the connection to the pool if the complete answer was read and the connection can be reused, and closes it otherwise. The
// connection of a call that was given up is reset: the kernel would otherwise go on to send the request, and a server behind a network that
// was cut would get it seconds later.
func (t *roundTrip) finish(complete bool) {
	inTime := t.stop()
	switch {
	case inTime && complete && t.conn.clearExpiry() == nil && t.reusable && !t.conn.hasUnread():
		t.client.release(t.conn)
	case inTime:
		t.conn.close()
	default:
		t.conn.reset()
	}
}

// cause returns the context's error if the context has ended: err then only says that the connection was aborted.
func (t *roundTrip) cause(err error) error {
	if t.ctx.Err() != nil {
		return t.ctx.Err()
	}
	return err
}

// acquire returns an idle connection that is still open, or dials a new one.
func (c *Client) acquire(ctx context.Context, req *fasthttp.Request) (*connection, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	key := connectionKey(req)
	for {
		conn := c.takeIdle(key)
		if conn == nil {
			return c.connect(ctx, req)
		}
		if conn.usable(c.idleTimeout) {
			return conn, nil
		}
		conn.close()
	}
}

// ErrNoDeadline is returned by DoExpiring for a context without a deadline.
var ErrNoDeadline = errors.New("context has no deadline")

// acquireExpiring is acquire for a request that expires with the context.
func (c *Client) acquireExpiring(ctx context.Context, req *fasthttp.Request) (*connection, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, ErrNoDeadline
	}
	conn, err := c.acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := conn.expireAt(deadline); err != nil {
		conn.close()
		return nil, err
	}
	return conn, nil
}

// connect dials a new connection.
func (c *Client) connect(ctx context.Context, req *fasthttp.Request) (*connection, error) {
	address, secure := target(req)
	return c.dial(ctx, connectionKey(req), address, secure)
}

// connectionKey returns the key under which connections to the request's server are kept.
func connectionKey(req *fasthttp.Request) string {
	address, _ := target(req)
	return string(req.URI().Scheme()) + "://" + address
}

// target returns the server's address with its port, and whether the connection uses TLS.
func target(req *fasthttp.Request) (string, bool) {
	uri := req.URI()
	address := string(uri.Host())
	secure := string(uri.Scheme()) == "https"
	if _, _, err := net.SplitHostPort(address); err == nil {
		return address, secure
	}
	port := "80"
	if secure {
		port = "443"
	}
	return net.JoinHostPort(address, port), secure
}

func (c *Client) dial(ctx context.Context, key, address string, secure bool) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	socket := raw
	if secure {
		host, _, splitErr := net.SplitHostPort(address)
		if splitErr != nil {
			host = address
		}
		tlsConn := tls.Client(raw, &tls.Config{ServerName: host, MinVersion: tls.VersionTLS12})
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return nil, errors.Wrapf(errors.Wrapf(err, "handshake %s", address), "close: %v", raw.Close())
		}
		socket = tlsConn
	}
	conn := &connection{key: key, raw: raw, socket: socket}
	conn.reader = bufio.NewReader(conn)
	return conn, nil
}

// takeIdle removes the connection from the pool that was used last for the key; nil if there is none.
func (c *Client) takeIdle(key string) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	connections := c.idle[key]
	if len(connections) == 0 {
		return nil
	}
	last := len(connections) - 1
	conn := connections[last]
	c.idle[key] = connections[:last]
	return conn
}

// release returns a connection to the pool, or closes it if the pool is full or the client is closed.
func (c *Client) release(conn *connection) {
	conn.idleSince = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || len(c.idle[conn.key]) >= c.maxIdle {
		conn.close()
		return
	}
	c.idle[conn.key] = append(c.idle[conn.key], conn)
	if c.sweeper == nil {
		c.sweeper = time.AfterFunc(sweepInterval, c.sweep)
	}
}

// sweepInterval is how often idle connections are checked. What a server sends on one meanwhile fills the kernel's buffers only.
const sweepInterval = 500 * time.Millisecond

// sweep closes the idle connections that can't be used any more: they are too old, closed, or carry data that belongs to no request.
func (c *Client) sweep() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key, connections := range c.idle {
		usable := connections[:0]
		for _, conn := range connections {
			if conn.usable(c.idleTimeout) {
				usable = append(usable, conn)
			} else {
				conn.close()
			}
		}
		clear(connections[len(usable):])
		if c.idle[key] = usable; len(usable) == 0 {
			delete(c.idle, key)
		}
	}
	c.sweeper = nil
	if len(c.idle) > 0 {
		c.sweeper = time.AfterFunc(sweepInterval, c.sweep)
	}
}

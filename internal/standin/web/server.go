// Package web is the HTTP server of the stand-ins. It stops with its context, and can cut connections
// or drop responses, as a failing server does.
package web

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// PathFaults and PathState are served by all stand-ins.
const (
	PathFaults = "/standin/faults"
	PathState  = "/standin/state"
)

const (
	// maxBodyBytes is the size limit of a request body. It exceeds the platform's limit of one megabyte per value.
	maxBodyBytes = 16 << 20
	// workerIdleTime is how long workers of the HTTP library may outlive the server. It is short because tests check for
	// leaked goroutines.
	workerIdleTime = 50 * time.Millisecond
)

// Server serves an app on a listener until its context ends.
type Server struct {
	listener *trackingListener
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
}

// NewApp returns an app whose handlers may keep strings and bytes of a request.
func NewApp() *fiber.App {
	return fiber.New(fiber.Config{Immutable: true, BodyLimit: maxBodyBytes})
}

// NewServer returns a server that Serve starts. It stops when ctx ends.
func NewServer(ctx context.Context, listener net.Listener) *Server {
	ctx, cancel := context.WithCancel(ctx)
	server := &Server{
		listener: &trackingListener{Listener: listener, open: make(map[net.Conn]struct{})},
		ctx:      ctx,
		cancel:   cancel,
	}
	server.group.Go(func() {
		<-ctx.Done()
		_ = server.listener.Close()
		server.CutConnections()
	})
	return server
}

// Serve starts serving the app and returns immediately.
func (s *Server) Serve(app *fiber.App) {
	httpServer := &fasthttp.Server{
		Handler:               app.Handler(),
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		MaxIdleWorkerDuration: workerIdleTime,
		Logger:                silentLogger{},
	}
	s.group.Go(func() {
		// Serve returns only when the listener is closed, which is expected.
		_ = httpServer.Serve(s.listener)
	})
}

// Context returns the context that ends with the server.
func (s *Server) Context() context.Context {
	return s.ctx
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr {
	return s.listener.Addr()
}

// URL returns the base URL of the server.
func (s *Server) URL() string {
	return "http://" + s.listener.Addr().String()
}

// CutConnections closes all open connections, as a crash does.
func (s *Server) CutConnections() {
	for _, conn := range s.listener.connections() {
		_ = conn.Close()
	}
}

// CutOtherConnections closes all connections except that of the request, which can still be answered.
func (s *Server) CutOtherConnections(c fiber.Ctx) {
	own := c.RequestCtx().Conn()
	for _, conn := range s.listener.connections() {
		if conn != own {
			_ = conn.Close()
		}
	}
}

// Close stops the server and waits until it has stopped.
func (s *Server) Close() {
	s.cancel()
	s.group.Wait()
}

// CutAnswer closes the connection of the request without a response.
func CutAnswer(c fiber.Ctx) error {
	request := c.RequestCtx()
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) { _ = conn.Close() })
	return nil
}

// Decode reads the JSON body of the request. On failure it responds with status 400 and returns false.
func Decode(c fiber.Ctx, into any) bool {
	if err := json.Unmarshal(c.Body(), into); err != nil {
		c.Status(http.StatusBadRequest)
		_ = c.SendString(err.Error())
		return false
	}
	return true
}

// trackingListener keeps track of its open connections.
type trackingListener struct {
	net.Listener
	mutex  sync.Mutex
	closed bool
	open   map[net.Conn]struct{}
}

// Close implements net.Listener.
func (l *trackingListener) Close() error {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		// The connection was accepted after the listener was closed and may have missed CutConnections.
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.open[tracked] = struct{}{}
	return tracked, nil
}

func (l *trackingListener) connections() []net.Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open := make([]net.Conn, 0, len(l.open))
	for conn := range l.open {
		open = append(open, conn)
	}
	return open
}

// trackedConn removes itself from its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *trackingListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// silentLogger discards the messages of the HTTP library about connections that were cut on purpose.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

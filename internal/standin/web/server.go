// Package web serves the HTTP side of the stand-ins: it ends with its context, and can cut all
// connections or withhold an answer as a failing server would.
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

// PathFaults and PathState are common to all stand-ins.
const (
	PathFaults = "/standin/faults"
	PathState  = "/standin/state"
)

const (
	// maxBody is above the platform's megabyte of a value.
	maxBody = 16 << 20
	// idleWorker is how long the library's workers outlive the server's end; tests look for leaks.
	idleWorker = 50 * time.Millisecond
)

// Server serves an app on a listener until its context ends.
type Server struct {
	listener *trackingListener
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
}

// NewApp returns an app whose strings and bytes may be kept by handlers.
func NewApp() *fiber.App {
	return fiber.New(fiber.Config{Immutable: true, BodyLimit: maxBody})
}

// NewServer returns a server that ends with the context and is still to be started by Serve.
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

// Serve starts to answer; it returns at once.
func (s *Server) Serve(app *fiber.App) {
	engine := &fasthttp.Server{
		Handler:               app.Handler(),
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		MaxIdleWorkerDuration: idleWorker,
		Logger:                silentLogger{},
	}
	s.group.Go(func() {
		// The listener's end is the only way out, and is no error.
		_ = engine.Serve(s.listener)
	})
}

// Context ends with the server.
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

// CutConnections closes all open connections at once, as a crash does.
func (s *Server) CutConnections() {
	for _, conn := range s.listener.connections() {
		_ = conn.Close()
	}
}

// CutOthers closes all connections but that of the request, which can still be answered.
func (s *Server) CutOthers(c fiber.Ctx) {
	own := c.RequestCtx().Conn()
	for _, conn := range s.listener.connections() {
		if conn != own {
			_ = conn.Close()
		}
	}
}

// Close ends the server and waits for it.
func (s *Server) Close() {
	s.cancel()
	s.group.Wait()
}

// CutAnswer closes the connection of the request without an answer.
func CutAnswer(c fiber.Ctx) error {
	request := c.RequestCtx()
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) { _ = conn.Close() })
	return nil
}

// Decode reads the JSON body of the request; on failure it has answered 400 and returns false.
func Decode(c fiber.Ctx, into any) bool {
	if err := json.Unmarshal(c.Body(), into); err != nil {
		c.Status(http.StatusBadRequest)
		_ = c.SendString(err.Error())
		return false
	}
	return true
}

// trackingListener knows its open connections.
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
		// The connection came between the listener's end and the cut of the open connections.
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

// trackedConn leaves its listener's set when it is closed.
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

// silentLogger drops what the HTTP library says about connections that faults cut on purpose.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

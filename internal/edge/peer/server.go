package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// Server serves the requests of other processes until its context ends or it is closed.
type Server struct {
	listener net.Listener
	registry *Registry
	secret   []byte
	settings settings
	ctx      context.Context
	cancel   context.CancelFunc
	wg       *conc.WaitGroup

	mu       sync.Mutex
	draining bool
	running  int
	drained  chan struct{} // closed when draining and no request is running
	conns    map[*serverConn]struct{}
	// handshakes are the connections whose handshake isn't complete, in the order of their arrival.
	handshakes []net.Conn
	// rejected counts the failed handshakes and lastRejected describes the last one, for the debug state.
	rejected     int
	lastRejected string
}

// NewServer starts a server on the listener and takes ownership of it.
func NewServer(ctx context.Context, l net.Listener, r *Registry, secret []byte, opts ...ServerOption) *Server {
	s := &Server{
		listener: l,
		registry: r,
		secret:   secret,
		settings: defaultSettings(),
		wg:       conc.NewWaitGroup(),
		drained:  make(chan struct{}),
		conns:    make(map[*serverConn]struct{}),
	}
	for _, opt := range opts {
		opt(&s.settings)
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	context.AfterFunc(s.ctx, func() { _ = l.Close() })
	s.wg.Go(s.serve)
	return s
}

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.wg.Go(func() { s.serveConn(conn) })
		case errors.Is(err, net.ErrClosed) || s.ctx.Err() != nil:
			return
		default:
			// On a host without free file descriptors Accept fails immediately. The pause prevents a busy loop.
			ticker.Sleep(s.ctx, s.settings.heartbeat/10)
		}
	}
}

func (s *Server) serveConn(conn net.Conn) {
	stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	wrapped := conn
	if s.settings.tls != nil {
		wrapped = tls.Server(conn, s.settings.tls)
	}
	s.beginHandshake(conn)
	authenticated, err := s.authenticate(wrapped)
	s.endHandshake(conn)
	if err != nil {
		s.recordRejection(conn.RemoteAddr(), err)
		return
	}
	served := newServerConn(s, authenticated.start(s.ctx, s.settings))
	s.addConn(served)
	defer s.removeConn(served)
	served.run()
}

func (s *Server) authenticate(conn net.Conn) (*authenticatedConn, error) {
	ctx, cancel := s.settings.dialContext(s.ctx)
	defer cancel()
	return authenticate(ctx, conn, s.settings, func(conn net.Conn, reader *frameReader) (identity, error) {
		return serverHandshake(conn, reader, s.secret, s.registry.incarnation)
	})
}

// maxHandshakes bounds the connections whose handshake isn't complete: whoever reaches the listener can open them without the secret.
const maxHandshakes = 64

// beginHandshake closes the connection that has been without a complete handshake for longest if there are too many.
func (s *Server) beginHandshake(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes = append(s.handshakes, conn)
	if len(s.handshakes) > maxHandshakes {
		_ = s.handshakes[0].Close()
		s.handshakes = slices.Delete(s.handshakes, 0, 1)
	}
}

func (s *Server) endHandshake(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes = slices.DeleteFunc(s.handshakes, func(other net.Conn) bool { return other == conn })
}

func (s *Server) recordRejection(from net.Addr, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected++
	s.lastRejected = fmt.Sprintf("%s: %v", from, err)
}

func (s *Server) addConn(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) removeConn(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// beginRequest counts a request as running. It returns false if the server is draining.
func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.running++
	return true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.draining && s.running == 0 {
		close(s.drained)
	}
}

// Drain refuses new requests, waits until the running ones are answered, and closes the server. If ctx ends before that, it
// returns the context's error, and the running requests continue.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		if s.running == 0 {
			close(s.drained)
		}
	}
	s.mu.Unlock()
	select {
	case <-s.drained:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain peer server")
	}
	_ = s.listener.Close()
	s.sendGoAway(ctx)
	return s.Close()
}

// sendGoAway asks all clients to close their connections, and waits up to the close timeout for them to do so. If the server
// closed a socket with unread bytes of the client, the kernel would reset the connection, and the client could lose the rest
// of an answer. A client closes the connection only after it has read all answers.
func (s *Server) sendGoAway(ctx context.Context) {
	ctx, cancel := ticker.WithAwakeTimeout(ctx, s.settings.closeTimeout, context.DeadlineExceeded)
	defer cancel()
	for _, conn := range s.connections() {
		_ = conn.send(ctx, queuedFrame{frame: frame{Kind: kindGoAway}})
	}
	for _, conn := range s.connections() {
		select {
		case <-conn.ctx.Done():
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) connections() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*serverConn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	return conns
}

// Close closes all connections, cancels the running requests, and waits for their goroutines.
func (s *Server) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

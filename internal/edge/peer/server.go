package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// Server answers the requests of other processes until its context ends.
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
	idle     chan struct{} // closed when draining and nothing runs
	sessions map[*session]struct{}
	// rejected and lastRejected tell of failed handshakes, for the dump.
	rejected     int
	lastRejected string
}

// NewServer starts to serve on the listener, which it owns.
func NewServer(ctx context.Context, l net.Listener, r *Registry, secret []byte, opts ...ServerOption) *Server {
	s := &Server{
		listener: l,
		registry: r,
		secret:   secret,
		settings: defaultSettings(),
		wg:       conc.NewWaitGroup(),
		idle:     make(chan struct{}),
		sessions: make(map[*session]struct{}),
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
			// A host out of file descriptors fails here at once and again; a pause keeps it from spinning.
			ticker.Sleep(s.ctx, s.settings.heartbeat/10)
		}
	}
}

func (s *Server) serveConn(conn net.Conn) {
	stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	inner := conn
	if s.settings.tls != nil {
		inner = tls.Server(conn, s.settings.tls)
	}
	l, err := establish(s.ctx, inner, s.settings, func(conn net.Conn, reader *frameReader) (identity, error) {
		return accept(conn, reader, s.secret, s.registry.process)
	})
	if err != nil {
		s.reject(conn.RemoteAddr(), err)
		return
	}
	session := newSession(s, l)
	s.add(session)
	defer s.remove(session)
	session.run()
}

func (s *Server) reject(from net.Addr, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected++
	s.lastRejected = fmt.Sprintf("%s: %v", from, err)
}

func (s *Server) add(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = struct{}{}
}

func (s *Server) remove(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// begin counts a request in; it returns false when the server is leaving.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.running++
	return true
}

func (s *Server) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.draining && s.running == 0 {
		close(s.idle)
	}
}

// Drain refuses new requests, waits until the running ones have been answered, and closes.
// It returns the context's error if that ends first; nothing is cut off in that case either.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		if s.running == 0 {
			close(s.idle)
		}
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain peer server")
	}
	_ = s.listener.Close()
	s.sayGoodbye(ctx)
	return s.Close()
}

// sayGoodbye asks all clients to close, and waits for them for a moment. A socket that is closed
// while bytes of the client are unread is reset, and the reset can destroy an answer's tail that the
// client has not read yet; a client closes only after it has read all of them.
func (s *Server) sayGoodbye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.closeTimeout)
	defer cancel()
	for _, session := range s.snapshot() {
		_ = session.send(ctx, outgoing{frame: frame{Kind: kindGoAway}})
	}
	for _, session := range s.snapshot() {
		select {
		case <-session.ctx.Done():
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) snapshot() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]*session, 0, len(s.sessions))
	for session := range s.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// Close ends all connections and running requests at once and waits for their goroutines.
func (s *Server) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

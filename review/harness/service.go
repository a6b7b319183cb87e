package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Call is a request that a service ran.
type Call struct {
	Service, Method, Target, ContentType string
	Body                                 []byte
}

// Service is a stand-in for a server of a plain service.
type Service struct {
	ID string

	env   *Env
	mu    sync.Mutex
	calls map[string]Call
}

// StartService starts a server of the plain service and registers it.
func (env *Env) StartService(id, zone string) (*Service, error) {
	s := &Service{ID: id, env: env, calls: map[string]Call{}}
	listener, err := (&net.ListenConfig{}).Listen(env.ctx, "tcp", platformtest.UnusedAddress().String())
	if err != nil {
		return nil, errors.Wrap(err, id)
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	env.Cleanups.Cleanup(func() { _ = server.Close() })
	env.Store.Put("servers", id, map[string]any{
		"service": ServicePool, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
	})
	return s, nil
}

// Ran returns the request with the ID as it reached the server; false if it didn't.
func (s *Service) Ran(id string) (Call, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call, ok := s.calls[id]
	return call, ok
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.calls[id] = Call{Service: s.ID, Method: r.Method, Target: r.URL.RequestURI(), ContentType: r.Header.Get("Content-Type"), Body: body}
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", platformtest.Signature(s.ID, id))
	w.Header().Set("X-Server-Load", "1,0,6")
	_, _ = fmt.Fprintf(w, "%s answers %s", s.ID, id)
}

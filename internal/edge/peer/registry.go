package peer

import (
	"context"
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// handler serves one request and returns the encoded body of the end message.
type handler func(ctx context.Context, body []byte, out Sink) ([]byte, error)

// Registry holds the methods that a process serves. All methods must be registered before the server starts.
type Registry struct {
	handlers    map[Method]handler
	incarnation uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{handlers: make(map[Method]handler), incarnation: binary.BigEndian.Uint64(newNonce())}
}

// Incarnation returns the random incarnation of the process that serves these methods. The server sends it in the handshake,
// so that clients can distinguish the process from a restarted one at the same address.
func (r *Registry) Incarnation() uint64 { return r.incarnation }

// Handle registers a method whose answer is a single message.
func Handle[Q, A any](r *Registry, m Method, h func(ctx context.Context, q Q) (A, error)) {
	HandleStream(r, m, func(ctx context.Context, q Q, _ Sink) (A, error) { return h(ctx, q) })
}

// HandleStream registers a method whose answer is a head, any number of bytes and an end message.
func HandleStream[Q, E any](r *Registry, m Method, h func(ctx context.Context, q Q, out Sink) (E, error)) {
	r.handlers[m] = func(ctx context.Context, body []byte, out Sink) ([]byte, error) {
		var q Q
		if err := msgpack.Unmarshal(body, &q); err != nil {
			return nil, verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0,
				"message of method %s: %v", m, err)
		}
		end, err := h(ctx, q, out)
		if err != nil {
			return nil, err
		}
		encoded, err := marshal(end)
		return encoded, errors.Wrapf(err, "encode the answer of method %s", m)
	}
}

func (r *Registry) lookup(m Method) (handler, error) {
	if h, ok := r.handlers[m]; ok {
		return h, nil
	}
	return nil, verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0,
		"method %s is not served here", m)
}

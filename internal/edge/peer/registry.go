package peer

import (
	"context"
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// handler serves one request and returns the encoded closing message.
type handler func(ctx context.Context, body []byte, out Sink) ([]byte, error)

// Registry holds the methods that a process serves. It is filled before its server starts.
type Registry struct {
	handlers map[Method]handler
	process  uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{handlers: make(map[Method]handler), process: binary.BigEndian.Uint64(newNonce())}
}

// Process is the random incarnation of the process that serves these methods. Its server announces it,
// so that the other side can tell a process from one that was started anew at the same address.
func (r *Registry) Process() uint64 { return r.process }

// Handle serves a method whose answer is one message.
func Handle[Q, A any](r *Registry, m Method, h func(ctx context.Context, q Q) (A, error)) {
	HandleStream(r, m, func(ctx context.Context, q Q, _ Sink) (A, error) { return h(ctx, q) })
}

// HandleStream serves a method whose answer is a head, any number of bytes and a closing message.
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

func (r *Registry) find(m Method) (handler, error) {
	if h, ok := r.handlers[m]; ok {
		return h, nil
	}
	return nil, verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0,
		"method %s is not served here", m)
}

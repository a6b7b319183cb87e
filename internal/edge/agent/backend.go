package agent

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// ErrNotSent is returned by a Server when no byte of a call can have reached the backend server,
// for instance because it refused the connection.
var ErrNotSent = errors.New("call was not sent to the backend server")

// Call is one call to a backend server. It holds no key material.
type Call struct {
	Method string
	Path   string
	Query  string
	Header []request.HeaderField
	Body   []byte
}

// Reply is the answer of a backend server. Body must be closed; its Read fails with anything but
// io.EOF when the answer is not whole.
type Reply struct {
	Status int
	Header []request.HeaderField
	Body   io.ReadCloser
}

// Server is the backend server beside the agent. Implementations never retry a call and never
// follow a redirect, since either could run a call twice.
type Server interface {
	// Call sends the call and returns once the head of the answer has come. The end of ctx cuts the
	// connection, which cancels a stream at a model engine. An error that is not ErrNotSent leaves
	// open whether the call ran.
	Call(ctx context.Context, call Call) (*Reply, error)
}

// OrderKind is what a weight order asks of a model engine.
type OrderKind string

// The kinds of weight orders.
const (
	// OrderPrefetch loads the weights beside those that serve.
	OrderPrefetch OrderKind = "prefetch"
	// OrderSwitch makes prefetched weights serve.
	OrderSwitch OrderKind = "switch"
)

// WeightOrder changes the weights of a model engine.
type WeightOrder struct {
	Kind    OrderKind
	Model   string
	Version int
	Weights string
	// Fencing is the configuration revision: an engine refuses an order with a lower one than it has seen.
	Fencing uint64
}

// EngineLoad is what a model engine reports of itself, with a lag.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Version is the weight version that serves.
	Version int `json:"version"`
}

// Engine is the control side of a model engine.
type Engine interface {
	Load(ctx context.Context) (EngineLoad, error)
	// Order gives an order; it returns once the engine has carried it out.
	Order(ctx context.Context, order WeightOrder) error
}

// Canceller is implemented by engines that can be told to end a generation. Cutting the connection
// is seen by an engine only at its next token; a generation that waits for its turn, or an engine that
// stands still, would keep its place until then.
type Canceller interface {
	Cancel(ctx context.Context, sampleID string) error
}

// PrefixSource is implemented by engines that publish what their prefix cache holds. Events come late
// and with gaps.
type PrefixSource interface {
	CacheEvents(ctx context.Context, after uint64) ([]backendserver.CacheEvent, error)
}

// callTimeout bounds a call that may not be cut short by its caller, so that a backend server that
// never answers does not hold its place for ever. No application call of the users takes minutes.
const callTimeout = 5 * time.Minute

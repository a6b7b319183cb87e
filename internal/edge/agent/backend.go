package agent

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// ErrNotSent is returned by a Server if no byte of a call can have reached the backend server, for example
// because it refused the connection.
var ErrNotSent = errors.New("call was not sent to the backend server")

// Call is one call to a backend server. It contains no API key.
type Call struct {
	Method string
	Path   string
	Query  string
	Header []request.HeaderField
	Body   []byte
}

// Reply is the answer of a backend server. Body must be closed. If the answer is incomplete, Read of Body
// returns an error other than io.EOF.
type Reply struct {
	Status int
	Header []request.HeaderField
	Body   io.ReadCloser
}

// Server is the client of the backend server. Implementations must not retry a call or follow a redirect,
// since either could run the call twice.
type Server interface {
	// Call sends the call and returns once the head of the answer has arrived. The end of ctx closes the
	// connection, which cancels a stream at a model engine. After an error other than ErrNotSent the call
	// may have run.
	Call(ctx context.Context, call Call) (*Reply, error)
}

// OrderKind is the kind of a weight order.
type OrderKind string

// The kinds of weight orders.
const (
	// OrderPrefetch loads weights into memory while the current ones keep serving.
	OrderPrefetch OrderKind = "prefetch"
	// OrderSwitch starts serving weights that were prefetched.
	OrderSwitch OrderKind = "switch"
)

// WeightOrder tells a model engine to prefetch weights or to switch to them.
type WeightOrder struct {
	Kind    OrderKind
	Model   string
	Version int
	Weights string
	// Fencing is the configuration revision. An engine refuses an order with a lower revision than it has seen.
	Fencing uint64
}

// EngineLoad is the load that a model engine reports. It lags behind the actual load.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Version is the version of the weights that the engine serves.
	Version int `json:"version"`
}

// Engine is the control interface of a model engine.
type Engine interface {
	Load(ctx context.Context) (EngineLoad, error)
	// Order sends a weight order and returns once the engine has carried it out.
	Order(ctx context.Context, order WeightOrder) error
}

// Canceller is implemented by engines that can cancel a generation on request. An engine notices a closed
// connection only at its next token, so without a request a generation that waits for its turn, or one at a
// stalled engine, would keep its slot until then.
type Canceller interface {
	Cancel(ctx context.Context, sampleID string) error
}

// PrefixSource is implemented by engines that publish the changes of their prefix cache. Events arrive late
// and some are lost.
type PrefixSource interface {
	CacheEvents(ctx context.Context, after uint64) ([]backendserver.CacheEvent, error)
}

// uncancellableCallTimeout limits a call that its caller can't cancel, so that a backend server that never
// answers doesn't occupy a slot forever. No application call takes minutes.
const uncancellableCallTimeout = 5 * time.Minute

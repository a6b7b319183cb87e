package process

import (
	"context"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/agent"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// errNotEngine is returned when the load of a server is requested that isn't a model engine.
var errNotEngine = errors.New("not a model engine")

// agentServer adapts the backend server at a URL to the interface that the agent uses.
type agentServer struct{ service *backendserver.Service }

func newBackendServer(url string) agentServer {
	return agentServer{service: backendserver.NewService(url)}
}

// Call sends a call to the server, without retries.
func (s agentServer) Call(ctx context.Context, call agent.Call) (*agent.Reply, error) {
	answer, err := s.service.Call(ctx, call.Method, call.Path, call.Query, call.Header, call.Body)
	if errors.Is(err, backendserver.ErrNotSent) {
		return nil, errors.Wrap(agent.ErrNotSent, err.Error())
	}
	if err != nil {
		return nil, err
	}
	return &agent.Reply{Status: answer.Status, Header: answer.Header, Body: answer.Body}, nil
}

// agentEngine adapts the control interface of a model engine to the interface that the agent uses.
type agentEngine struct {
	engine *backendserver.Engine
	pool   string
	view   func() *ticket.View
}

func newEngine(view func() *ticket.View, pool, url string) agentEngine {
	return agentEngine{engine: backendserver.NewEngine(url), pool: pool, view: view}
}

// Load requests the engine's load report. Servers of pools of other kinds receive no request.
func (e agentEngine) Load(ctx context.Context) (agent.EngineLoad, error) {
	pool, ok := e.view().Pool(e.pool)
	if !ok || pool.Kind != ticket.KindModel {
		return agent.EngineLoad{}, errNotEngine
	}
	load, err := e.engine.Load(ctx)
	if err != nil {
		return agent.EngineLoad{}, err
	}
	return agent.EngineLoad{Running: load.Running, Waiting: load.Queued, Version: load.Version}, nil
}

// Cancel stops the generation of a sample.
func (e agentEngine) Cancel(ctx context.Context, sampleID string) error {
	return e.engine.Cancel(ctx, sampleID)
}

// CacheEvents returns the events that the engine published about its prefix cache after the sequence number.
func (e agentEngine) CacheEvents(ctx context.Context, after uint64) ([]backendserver.CacheEvent, error) {
	return e.engine.CacheEvents(ctx, after)
}

// Order sends a weight order to the engine.
func (e agentEngine) Order(ctx context.Context, order agent.WeightOrder) error {
	return e.engine.Order(ctx, backendserver.WeightOrder{
		Kind:    backendserver.OrderKind(order.Kind),
		Model:   order.Model,
		Version: order.Version,
		Weights: order.Weights,
		Fencing: platform.Version(order.Fencing),
	})
}

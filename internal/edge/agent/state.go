package agent

import (
	"slices"
	"strings"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/execution"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// state is the state dump of an agent. It contains neither API keys nor hashes of them.
type state struct {
	HostID           string           `json:"hostId"`
	AvailabilityZone string           `json:"availabilityZone"`
	Pool             string           `json:"pool"`
	ServerURL        string           `json:"serverUrl"`
	Revision         uint64           `json:"revision"`
	Leaving          bool             `json:"leaving"`
	Queued           int              `json:"queued"`
	Limit            int              `json:"limit"`
	Running          []runningState   `json:"running"`
	Record           execution.Counts `json:"record"`
	IdempotencyKeys  int              `json:"idempotencyKeys"`
	Weights          weightState      `json:"weights"`
	EngineLoad       EngineLoad       `json:"engineLoad"`
	UsageCells       int              `json:"usageCells"`
}

// runningState is a running request in the state dump.
type runningState struct {
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Method       string    `json:"method"`
	Path         string    `json:"path"`
	Cancellable  bool      `json:"cancellable"`
	Since        time.Time `json:"since"`
}

// State returns the state dump of the agent, to be encoded as JSON.
func (a *Agent) State() any {
	s := state{
		HostID:           a.config.HostID,
		AvailabilityZone: a.config.AvailabilityZone,
		Pool:             a.config.Pool,
		ServerURL:        a.config.ServerURL,
		Revision:         a.deps.View().Revision(),
		Weights:          *a.weights.state.Load(),
		EngineLoad:       *a.weights.engineLoad.Load(),
		UsageCells:       a.deps.Ledger.Len(),
	}
	a.runOnControlLoop(func(now time.Time) { a.control.fillState(now, &s) })
	return s
}

func (c *control) fillState(now time.Time, s *state) {
	load := c.load(now)
	s.Leaving = load.Draining
	s.Queued = load.Queued
	s.Limit = load.Limit
	s.Record = c.record.Counts()
	s.IdempotencyKeys = c.idempotencyKeys.Len()
	s.Running = make([]runningState, 0, len(c.running))
	for j := range c.running {
		s.Running = append(s.Running, newRunningState(j.req, j))
	}
	slices.SortFunc(s.Running, func(a, b runningState) int { return strings.Compare(a.ID, b.ID) })
}

func newRunningState(req request.Execute, j *job) runningState {
	return runningState{
		ID:           req.ID.String(),
		Organisation: req.Organisation,
		Method:       req.Method,
		Path:         req.Path,
		Cancellable:  j.cancellable,
		Since:        j.startedAt,
	}
}

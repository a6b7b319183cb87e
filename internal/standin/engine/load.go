package engine

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// maxLoads bounds the history; at its limit the report lags less than it should.
const maxLoads = 4096

// history makes the load report lag.
type history struct {
	lag   time.Duration
	loads []backendserver.EngineLoad
}

func newHistory(lag time.Duration) *history {
	return &history{lag: lag}
}

func (h *history) add(load backendserver.EngineLoad) {
	h.loads = append(h.loads, load)
	h.trim(load.MeasuredAt)
}

// at returns the load as it was the lag ago, or the oldest one that is known.
func (h *history) at(now time.Time) backendserver.EngineLoad {
	h.trim(now)
	return h.loads[0]
}

// trim drops what is older than the report of now.
func (h *history) trim(now time.Time) {
	reported := now.Add(-h.lag)
	for len(h.loads) > 1 && (!h.loads[1].MeasuredAt.After(reported) || len(h.loads) > maxLoads) {
		h.loads = h.loads[1:]
	}
}

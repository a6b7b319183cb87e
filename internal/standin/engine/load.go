package engine

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// maxLoads bounds the history. When it is reached, the report lags less than configured.
const maxLoads = 4096

// loadHistory keeps past loads, so that the engine can report its load with a lag.
type loadHistory struct {
	lag   time.Duration
	loads []backendserver.EngineLoad
}

func newLoadHistory(lag time.Duration) *loadHistory {
	return &loadHistory{lag: lag}
}

func (h *loadHistory) add(load backendserver.EngineLoad) {
	h.loads = append(h.loads, load)
	h.trim(load.MeasuredAt)
}

// delayed returns the load as of the lag ago, or the oldest known one.
func (h *loadHistory) delayed(now time.Time) backendserver.EngineLoad {
	h.trim(now)
	return h.loads[0]
}

// trim drops the loads that are older than the one to report at now.
func (h *loadHistory) trim(now time.Time) {
	reported := now.Add(-h.lag)
	for len(h.loads) > 1 && (!h.loads[1].MeasuredAt.After(reported) || len(h.loads) > maxLoads) {
		h.loads = h.loads[1:]
	}
}

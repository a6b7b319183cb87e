package placement

import (
	"math"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Figures of slow server detection; the package comment gives the grounds.
const (
	slowFactor    = 3.0
	fineFactor    = 1.5
	leastSamples  = 5
	timeShare     = 0.1
	failureShare  = 0.2
	failedFrom    = 0.5
	probeInterval = 5 * time.Second
	// leastPeers is how many servers with known times are needed to call one of them slow.
	leastPeers = 3
)

// hostState is what is known about a server.
type hostState struct {
	load     request.Load
	reported time.Time
	// logTime is the average logarithm of the time that requests took; few long ones weigh little in it.
	logTime  float64
	samples  int
	failures float64
	spared   bool
	// nextTrial is when a spared server gets its next request.
	nextTrial time.Time
	// onTrial says that the server is among the candidates of a request for its trial.
	onTrial bool
	seen    time.Time
}

// learn takes in a finished request.
func (h *hostState) learn(took time.Duration, failed bool) {
	if failed {
		h.failures += (1 - h.failures) * failureShare
		return
	}
	h.failures -= h.failures * failureShare
	value := math.Log(max(took, time.Microsecond).Seconds())
	h.samples++
	share := max(timeShare, 1/float64(h.samples))
	h.logTime += (value - h.logTime) * share
}

// judge decides whether the server is spared, against the median of its peers.
func (h *hostState) judge(now time.Time, peers float64, known bool) {
	slow := known && h.samples >= leastSamples && h.logTime > peers+math.Log(slowFactor)
	fine := !known || h.logTime < peers+math.Log(fineFactor)
	switch {
	case !h.spared && (slow || h.failures > failedFrom):
		h.spared = true
		h.nextTrial = now.Add(probeInterval)
	case h.spared && fine && h.failures < failedFrom/2:
		h.spared = false
	}
}

// trial says that a spared server is due to get a request.
func (h *hostState) trial(now time.Time) bool {
	return h.spared && !now.Before(h.nextTrial)
}

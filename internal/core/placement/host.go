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
	recoveryShare = 0.5
	failedFrom    = 0.5
	// A spared server is tried again after firstTrial, then after twice the time before, up to lastTrial.
	firstTrial = 5 * time.Second
	lastTrial  = 80 * time.Second
	// leastPeers is how many servers with known times are needed to call one of them slow.
	leastPeers = 3
)

// hostState is what is known about a server.
type hostState struct {
	// pool is where the server's peers are.
	pool     string
	load     request.Load
	reported time.Time
	// logTime is the average logarithm of the time that requests took; few long ones weigh little in it.
	logTime  float64
	samples  int
	failures float64
	spared   bool
	// nextTrial is when a spared server gets its next request, trialWait the time between the trials.
	nextTrial time.Time
	trialWait time.Duration
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
	h.failures -= h.failures * recoveryShare
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
		h.trialWait = firstTrial
		h.nextTrial = now.Add(firstTrial)
	case h.spared && fine && h.failures < failedFrom/2:
		h.spared = false
	}
}

// tryAgain sets the next trial. One that fails is tried at the first interval again, since a probe that
// isn't answered costs no caller anything.
func (h *hostState) tryAgain(now time.Time) {
	if h.failures < failedFrom {
		h.trialWait = min(2*h.trialWait, lastTrial)
	}
	h.nextTrial = now.Add(h.trialWait)
}

// trial says that a spared server is due to get a request.
func (h *hostState) trial(now time.Time) bool {
	return h.spared && !now.Before(h.nextTrial)
}

package placement

import (
	"math"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Parameters of the detection of slow and failing servers; the package comment gives the reasons.
const (
	// slowFactor and recoveredFactor are ratios of a server's typical request duration to the median of its peers:
	// a server above the first is ejected, and an ejected one below the second is used again.
	slowFactor      = 3.0
	recoveredFactor = 1.5
	// minSamples is how many requests must have succeeded on a server before it can count as slow.
	minSamples = 5
	// The weights of a new value in the exponential moving averages of the durations, of the failure rate after
	// a failure and of the failure rate after a success.
	durationWeight = 0.1
	failureWeight  = 0.2
	successWeight  = 0.5
	// maxFailureRate is the failure rate above which a server is ejected.
	maxFailureRate = 0.5
	// The interval between the trials of an ejected server doubles from minTrialInterval to maxTrialInterval.
	minTrialInterval = 5 * time.Second
	maxTrialInterval = 80 * time.Second
	// minPeers is how many servers of a pool must have known durations before one of them can count as slow.
	minPeers = 3
)

// hostState is what the tracker knows about a server.
type hostState struct {
	pool       string
	load       request.Load
	reportedAt time.Time
	// meanLogDuration is the moving average of the logarithm of request durations in seconds. The logarithm limits
	// the influence of a few long requests.
	meanLogDuration float64
	samples         int
	failureRate     float64
	// ejected servers get no requests except trials while there are others.
	ejected       bool
	nextTrial     time.Time
	trialInterval time.Duration
	// onTrial is set while the server is a candidate for a trial request.
	onTrial  bool
	lastSeen time.Time
}

// recordRequest updates the averages with the outcome of a request; a failed probe counts as a failed request.
func (h *hostState) recordRequest(took time.Duration, failed bool) {
	if failed {
		h.failureRate += (1 - h.failureRate) * failureWeight
		return
	}
	h.failureRate -= h.failureRate * successWeight
	value := math.Log(max(took, time.Microsecond).Seconds())
	h.samples++
	weight := max(durationWeight, 1/float64(h.samples))
	h.meanLogDuration += (value - h.meanLogDuration) * weight
}

// updateEjected ejects the server or ends its ejection. peerMedian is the median of meanLogDuration in its pool;
// peersKnown is false if too few servers have one.
func (h *hostState) updateEjected(now time.Time, peerMedian float64, peersKnown bool) {
	slow := peersKnown && h.samples >= minSamples && h.meanLogDuration > peerMedian+math.Log(slowFactor)
	recovered := !peersKnown || h.meanLogDuration < peerMedian+math.Log(recoveredFactor)
	switch {
	case !h.ejected && (slow || h.failureRate > maxFailureRate):
		h.ejected = true
		h.trialInterval = minTrialInterval
		h.nextTrial = now.Add(minTrialInterval)
	case h.ejected && recovered && h.failureRate < maxFailureRate/2:
		h.ejected = false
	}
}

// scheduleTrial sets the time of the next trial. The interval of a failing server doesn't grow: a probe that gets no
// answer costs callers nothing.
func (h *hostState) scheduleTrial(now time.Time) {
	if h.failureRate < maxFailureRate {
		h.trialInterval = min(2*h.trialInterval, maxTrialInterval)
	}
	h.nextTrial = now.Add(h.trialInterval)
}

// trialDue reports whether the server is ejected and due for a trial request.
func (h *hostState) trialDue(now time.Time) bool {
	return h.ejected && !now.Before(h.nextTrial)
}

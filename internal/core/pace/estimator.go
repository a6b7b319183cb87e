package pace

import "time"

// defaultInterval is the expected time between events in a pool of which no stream was observed.
const defaultInterval = 50 * time.Millisecond

// Estimator estimates the speed of servers. It is not safe for concurrent use.
type Estimator struct{}

// NewEstimator returns an Estimator without servers.
func NewEstimator() *Estimator { return &Estimator{} }

// Retain replaces the list of servers. It forgets what is known of servers that are no longer listed.
func (e *Estimator) Retain([]Server) {}

// Observe records the mean interval over a span of events of a stream at a server that had the given number of running requests.
func (e *Estimator) Observe(time.Time, Key, int, time.Duration) {}

// Report records the slowdown that a server reported; 1 is usual. Values of 0 and below carry no information.
func (e *Estimator) Report(time.Time, Key, float64) {}

// Estimate returns the estimate for a server with the given number of running requests.
func (e *Estimator) Estimate(time.Time, Key, int) Estimate {
	return Unknown()
}

// Uneven reports whether the servers of the pool were shown to differ in speed.
func (e *Estimator) Uneven(string) bool { return false }

// Summaries returns what to tell other entries about servers in uneven pools, at most limit.
func (e *Estimator) Summaries(time.Time, int) []Summary { return nil }

// Merge records the summaries of another entry.
func (e *Estimator) Merge(time.Time, []Summary) {}

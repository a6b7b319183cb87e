// Package lease decides who holds a duty that at most one host may carry out at a time.
// It is a state machine without I/O: the caller reads and writes the lease object, tells the
// machine what came back, and asks it what to do next.
//
// Load pattern: some tens of duties for thousands of hosts, each renewed every two seconds, while
// processes are paused, clocks are stepped, and the answers of the platform are lost.
// Without it two hosts would order servers or report usage at the same time.
package lease

import "time"

// Instant is one moment by two clocks: the monotonic clock, which a step of the wall clock does not
// move, and the wall clock, which goes on while a machine is suspended.
type Instant struct {
	// Monotonic is the time since some fixed moment of the process.
	Monotonic time.Duration
	// Wall is the wall clock's reading.
	Wall time.Time
}

// InstantAt returns the instant of now. Start is any fixed time.Time of the same process that still
// carries its monotonic reading.
func InstantAt(start, now time.Time) Instant {
	return Instant{Monotonic: now.Sub(start), Wall: now.Round(0)}
}

// Elapsed is the larger of the times that both clocks saw pass since earlier. It never understates
// the true time while at least one of the clocks went on, so a holder that was suspended or whose
// clock was stepped back still stops in time.
func (i Instant) Elapsed(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

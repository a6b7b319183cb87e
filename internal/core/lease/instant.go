// Package lease decides who holds a duty that at most one host may carry out at a time.
// It is a state machine without I/O: the caller reads and writes the lease object, reports the
// results to the machine, and asks it what to do next.
//
// It is designed for some tens of duties among thousands of hosts, each renewed every two seconds,
// while processes are paused, clocks are stepped, and answers of the platform are lost.
// Without it two hosts could order servers or report usage at the same time.
package lease

import "time"

// Instant is one moment by two clocks: the monotonic clock, which is not affected when the wall
// clock is stepped, and the wall clock, which advances while a machine is suspended.
type Instant struct {
	// Monotonic is the time since a fixed moment in the life of the process.
	Monotonic time.Duration
	// Wall is the wall clock's time, without a monotonic reading.
	Wall time.Time
}

// InstantAt returns now as an Instant. Both arguments must carry a monotonic reading; start is the
// fixed time.Time of the process from which Monotonic counts.
func InstantAt(start, now time.Time) Instant {
	return Instant{Monotonic: now.Sub(start), Wall: now.Round(0)}
}

// Elapsed returns the time since earlier by the clock that shows more. It is never less than the true
// time as long as one of the clocks was undisturbed, so a holder that was suspended or whose wall
// clock was stepped back still stops in time.
func (i Instant) Elapsed(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

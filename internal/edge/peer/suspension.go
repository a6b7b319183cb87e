package peer

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// processTimeInterval is the least time between two samples of the processor time that this process has used.
	processTimeInterval = 10 * time.Millisecond
	// busyShareDivisor is the part of a processor, a twentieth, that a process uses at least if it runs but is short of processor time.
	busyShareDivisor = 20
)

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage) // fails only for a wrong argument
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processTimeSample is the processor time that this process had used at some moment.
type processTimeSample struct {
	at   time.Time
	used time.Duration
}

func (s *processTimeSample) update(now time.Time) {
	if now.Sub(s.at) >= processTimeInterval {
		*s = processTimeSample{at: now, used: processTime()}
	}
}

// ranDuring reports whether the process has run in the gap that has just ended. A process that is suspended uses no processor time, except
// for what it had used since the sample when the gap began.
func (s processTimeSample) ranDuring(gap time.Duration) bool {
	beforeGap := processTimeInterval * time.Duration(runtime.GOMAXPROCS(0))
	return !s.at.IsZero() && processTime()-s.used > beforeGap+gap/busyShareDivisor
}

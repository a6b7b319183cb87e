package admission

import (
	"math"
	"time"
)

const (
	// fastestTime is how long a time counts; then requests are let through again to measure.
	fastestTime = 5 * time.Second
	// leastFinished is how many requests must have finished to judge by them.
	leastFinished = 8
	costClasses   = 32
)

// fastest is the shortest time of a request in the current and the previous period.
type fastest struct {
	began    time.Time
	now      time.Duration
	before   time.Duration
	finished int
	earlier  int
}

// costClass is the power of two of a cost.
func costClass(cost float64) int {
	if cost <= 1 {
		return 0
	}
	return min(int(math.Log2(cost)), costClasses-1)
}

func (f *fastest) roll(now time.Time) {
	age := now.Sub(f.began)
	if age < fastestTime {
		return
	}
	if age < 2*fastestTime {
		f.before, f.earlier = f.now, f.finished
	} else {
		f.before, f.earlier = 0, 0
	}
	f.began, f.now, f.finished = now, 0, 0
}

func (f *fastest) learn(now time.Time, took time.Duration) {
	f.roll(now)
	if f.finished == 0 || took < f.now {
		f.now = took
	}
	f.finished++
}

// least returns the shortest time; false if too few requests finished of late.
func (f *fastest) least(now time.Time) (time.Duration, bool) {
	f.roll(now)
	switch {
	case f.finished+f.earlier < leastFinished:
		return 0, false
	case f.finished == 0:
		return f.before, true
	case f.earlier == 0:
		return f.now, true
	}
	return min(f.now, f.before), true
}

package queue

import "time"

// LimiterOption changes a Limiter.
type LimiterOption func(*Limiter)

// Limiter sets how many requests a backend server runs at a time. It is owned by one goroutine.
type Limiter struct {
	limit int
}

// NewLimiter returns a limiter that starts at initial.
func NewLimiter(initial int, opts ...LimiterOption) *Limiter {
	l := &Limiter{limit: max(1, initial)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Limit returns the number of requests to run at a time.
func (l *Limiter) Limit() int { return l.limit }

// Observe takes in one finished request: its time at the server, its cost and whether it failed.
func (l *Limiter) Observe(_ time.Time, _ time.Duration, _ float64, _ bool) {}

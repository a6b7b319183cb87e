package queue

import "time"

// Figures of the policy; the package comment gives the grounds.
const (
	defaultLaneBound  = 256
	defaultTotalBound = 1024
	priorityStep      = 5 * time.Second
	lengthStretch     = 2
	longFactor        = 4
	shortReserve      = 4
	shortMemory       = 10 * time.Second
	waitPart          = 4
)

// Option changes a Queue.
type Option func(*options)

type options struct {
	laneBound  int
	totalBound int
	service    func(cost float64) time.Duration
	slots      func() int
}

// WithBounds sets how many items wait at most for one organisation and in total.
func WithBounds(lane, total int) Option {
	return func(o *options) { o.laneBound, o.totalBound = lane, total }
}

// WithServiceTime gives the time that an item of a cost takes at the server, so that an item is given
// up when its answer can't come in time any more. Without it, that is when the deadline has passed.
func WithServiceTime(service func(cost float64) time.Duration) Option {
	return func(o *options) { o.service = service }
}

// WithSlots gives the number of requests that run at a time, as a Limiter's Limit. Long items
// then leave a part of the slots to short ones; Finished must be called for each item popped.
func WithSlots(slots func() int) Option {
	return func(o *options) { o.slots = slots }
}

func newOptions(opts []Option) options {
	o := options{
		laneBound:  defaultLaneBound,
		totalBound: defaultTotalBound,
		service:    func(float64) time.Duration { return 0 },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

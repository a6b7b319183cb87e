package queue

import "time"

// The package comment gives the reasons for these values.
const (
	defaultOrganisationBound = 256
	defaultTotalBound        = 1024
	// priorityDelay is the waiting time that one priority level counts for.
	priorityDelay = 5 * time.Second
	// lengthFactor is the multiple of its service time by which an item ranks later.
	lengthFactor = 2
	// longCostFactor is the multiple of the typical cost from which an item is long.
	longCostFactor = 4
	// One of every shortSlotDivisor slots is kept for short items while one arrived within the last shortSlotHold.
	shortSlotDivisor = 4
	shortSlotHold    = 10 * time.Second
	// An item may wait for at most its remaining time divided by maxWaitDivisor.
	maxWaitDivisor = 4
)

// Option configures a Queue.
type Option func(*options)

type options struct {
	organisationBound int
	totalBound        int
	service           func(cost float64) time.Duration
	slots             func() int
}

// WithBounds sets how many items may wait for each organisation and in total.
func WithBounds(organisation, total int) Option {
	return func(o *options) { o.organisationBound, o.totalBound = organisation, total }
}

// WithServiceTime sets the function that estimates how long an item of a given cost takes at the server. With
// it an item expires when its answer can no longer arrive in time; without it, when its deadline has passed.
func WithServiceTime(service func(cost float64) time.Duration) Option {
	return func(o *options) { o.service = service }
}

// WithSlots sets the function that returns how many requests run at a time, such as Limiter.Limit. Long items
// then leave some of the slots to short ones, and Finished must be called for each item popped.
func WithSlots(slots func() int) Option {
	return func(o *options) { o.slots = slots }
}

func newOptions(opts []Option) options {
	o := options{
		organisationBound: defaultOrganisationBound,
		totalBound:        defaultTotalBound,
		service:           func(float64) time.Duration { return 0 },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

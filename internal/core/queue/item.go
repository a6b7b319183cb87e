package queue

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Item is one queued request.
type Item[T any] struct {
	Organisation string
	// Weight is the organisation's relative share; 0 counts as 1.
	Weight float64
	// Cost is the estimated work, in tokens for a model pool and 1 for a plain call; 0 counts as 1.
	Cost     float64
	Priority request.Priority
	Enqueued time.Time
	// Deadline is when the caller needs the complete answer; zero means no deadline.
	Deadline time.Time
	Value    T
	// long is set by Pop, so that Finished classifies the item as Pop did even if the typical cost has changed.
	long bool
}

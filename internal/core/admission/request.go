package admission

import "time"

// Request describes a request to be admitted.
type Request struct {
	Organisation string
	Pool         string
	// KeyHash distinguishes the keys of one organisation; if it is empty, requests are not distinguished by key.
	KeyHash string
	// Cost is the estimated work, in tokens for a model pool and 1 for a plain call; 0 counts as 1.
	Cost float64
	// Remaining is the time until the caller's deadline; 0 means no deadline.
	Remaining time.Duration
}

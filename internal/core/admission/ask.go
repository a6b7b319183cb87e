package admission

import "time"

// Ask describes a request to be admitted.
type Ask struct {
	Organisation string
	Pool         string
	// KeyHash tells the keys of one organisation apart; empty where they share alike.
	KeyHash string
	// Cost is the estimated work, in tokens for a model pool and 1 for a plain call; 0 counts as 1.
	Cost float64
	// Remaining is the time until the caller's deadline; 0 is no deadline.
	Remaining time.Duration
}

// Package admission decides at an entry which requests go on to a pool.
package admission

import (
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

// Ask describes a request to be admitted.
type Ask struct {
	Organisation string
	Pool         string
	// KeyHash tells the keys of one organisation apart; empty where they share alike.
	KeyHash string
	// Cost is the estimated work, in tokens for a model pool and 1 for a plain call.
	Cost float64
	// Remaining is the time until the caller's deadline; 0 is no deadline.
	Remaining time.Duration
}

// Option changes a Controller.
type Option func(*Controller)

// Controller admits or refuses requests. It is safe for concurrent use.
type Controller struct {
	mu sync.Mutex
}

// New returns a controller that admits everything until it is configured and has seen load.
func New(opts ...Option) *Controller {
	c := &Controller{}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configure sets the organisations' weights and limits and the number of live entries that share them.
func (c *Controller) Configure(_ []ticket.Organisation, _ int) {
	c.mu.Lock()
	defer c.mu.Unlock()
}

// Admit returns nil, or a *verdict.Refusal with NotRun and the time to come back.
// Done must follow each nil.
func (c *Controller) Admit(_ time.Time, _ Ask) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return nil
}

// Done reports the end of an admitted request; refused says that the pool refused it for want of capacity.
func (c *Controller) Done(_ time.Time, _ Ask, _ time.Duration, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
}

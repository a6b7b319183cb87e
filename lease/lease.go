// Package lease lets other programs assign a duty to one of their processes at a time, by a lease in an object store that they
// already use. It needs no consensus group: the store's conditional updates decide who holds the lease.
//
// A Keeper contends for one duty. Before each write under the duty the holder calls Held. It sends the fence's number with the
// write, by which a receiver can refuse a former holder, and ends the write by the fence's deadline. To a receiver that refuses
// nothing and expects numbers that never fall it sends the fence's tenure, which is the same for all writes of a holder.
// docs/DESIGN.md describes under "Leases" what is guaranteed while processes are paused, clocks are stepped and answers of the
// store are lost, and what a receiver that ignores the number risks.
package lease

import (
	"context"
	"time"

	core "github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Errors that a Store returns. After any other error of a write it is unknown whether the write took effect.
var (
	// ErrNotFound: no object has the name.
	ErrNotFound = platform.ErrNotFound
	// ErrConflict: the object's version is not the expected one; nothing was written.
	ErrConflict = platform.ErrConflict
	// ErrUnavailable: the store refused the call before it had any effect, or could not be reached for a read.
	ErrUnavailable = platform.ErrUnavailable
	// ErrUnsettled: a write was sent and its answer was lost; it may have taken effect.
	ErrUnsettled = platform.ErrOutcomeUnknown
	// ErrNotReleased is returned by Keeper.Release if others may consider the duty held until its term has ended.
	ErrNotReleased = duty.ErrNotReleased
)

// Store is an object store with versions, conditional updates and watches. Each write of an object must give it a
// higher version.
type Store = platform.Store

// Object is one stored value.
type Object = platform.Object

// Version orders the writes of a store; 0 means that the object is absent.
type Version = platform.Version

// Holder names one run of a process that may hold a duty.
type Holder = duty.Holder

// Fence proves that a process holds the duty: a number that grows with each renewal and takeover, and a deadline for writes.
type Fence = duty.Fence

// Keeper manages the lease of one duty: it contends for the lease, renews it and releases it.
type Keeper = duty.Keeper

// Timing holds the durations of a lease. All contenders must use the same.
type Timing = core.Timing

// Option configures a Keeper.
type Option = duty.Option

// DefaultTiming lets another process take a duty over within 7 s of its holder's failure.
func DefaultTiming() Timing { return core.DefaultTiming() }

// NewKeeper starts a Keeper that contends for the named duty until ctx ends. The lease object's name is "lease/" followed by name.
func NewKeeper(ctx context.Context, store Store, name string, self Holder, opts ...Option) *Keeper {
	return duty.NewKeeper(ctx, store, name, self, opts...)
}

// WithTiming replaces the default timing.
func WithTiming(timing Timing) Option { return duty.WithTiming(timing) }

// WithContendIf makes a Keeper take the duty over only while may returns true. Otherwise it only observes who holds the duty.
func WithContendIf(may func() bool) Option { return duty.WithContendIf(may) }

// WithClock replaces the clock. Either all of its times must have a monotonic reading or none.
func WithClock(clock func() time.Time) Option { return duty.WithClock(clock) }

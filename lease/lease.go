// Package lease lets other programs give a duty to one of their processes at a time, under a lease in an object store that they
// have already. It needs no consensus group: the store's conditional update decides.
//
// A Keeper contends for one duty. Before each write under the duty the holder asks Held, passes on the fence's number, by which a
// receiver can refuse a former holder, and ends the write by the fence's deadline. What holds while processes are
// paused, clocks are stepped and answers of the store are lost, and what a receiver that ignores the number risks, stands in
// docs/DESIGN.md under "Leases".
package lease

import (
	"context"
	"time"

	core "github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Errors that a Store returns. Any other error of a write leaves open whether it took effect.
var (
	// ErrNotFound: there is no object of that name.
	ErrNotFound = platform.ErrNotFound
	// ErrConflict: the object's version is not the expected one; nothing was written.
	ErrConflict = platform.ErrConflict
	// ErrUnavailable: the store refused before any effect, or could not be reached for a read.
	ErrUnavailable = platform.ErrUnavailable
	// ErrUnsettled: a write was sent and its answer was lost; it may have taken effect.
	ErrUnsettled = platform.ErrUnsettled
	// ErrNotReleased is returned by Keeper.Release if the duty may still be taken for held until its term has passed.
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

// Fence is the proof under which a holder writes.
type Fence = duty.Fence

// Keeper keeps one duty: it contends for it, renews it and gives it up.
type Keeper = duty.Keeper

// Timing of a lease, the same at all contenders.
type Timing = core.Timing

// Option changes a Keeper.
type Option = duty.Option

// DefaultTiming makes a duty change hands within 7 s of its holder's death.
func DefaultTiming() Timing { return core.DefaultTiming() }

// NewKeeper contends for the duty of that name until ctx ends. The lease is the object "lease/" and the name.
func NewKeeper(ctx context.Context, store Store, name string, self Holder, opts ...Option) *Keeper {
	return duty.NewKeeper(ctx, store, name, self, opts...)
}

// WithTiming replaces the default timing.
func WithTiming(timing Timing) Option { return duty.WithTiming(timing) }

// WithContendIf makes a keeper take the duty over only while may returns true, and else observe who holds it.
func WithContendIf(may func() bool) Option { return duty.WithContendIf(may) }

// WithClock replaces the clock, which must return times with a monotonic reading or not at all.
func WithClock(clock func() time.Time) Option { return duty.WithClock(clock) }

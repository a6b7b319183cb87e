// Package platform is the edge to the users' platform: the object API, the interface on which
// backend servers are ordered, the interface for usage reports and the list of hosts.
package platform

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
)

// Errors of the object API. All other errors leave open whether a write took effect.
var (
	// ErrNotFound: there is no object of that name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object's version is not the expected one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable: the platform refused before any effect, or could not be reached for a read.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnsettled: a write was sent and its answer was lost; it may have taken effect.
	ErrUnsettled = errors.New("write may have taken effect")
	// ErrFenced: the order carried an older fencing number than one already seen.
	ErrFenced = errors.New("fencing number is old")
)

// Version orders all writes of the object API; it grows over all objects together. 0 means absent.
type Version uint64

// Object is one stored value.
type Object struct {
	Name    string          `json:"name"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Store is the platform's object API.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects whose name starts with prefix, sorted by name.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes the value if the object's version is still ifVersion (0: the object is absent),
	// and returns the new version, or ErrConflict, ErrUnavailable or ErrUnsettled.
	Put(ctx context.Context, name string, value json.RawMessage, ifVersion Version) (Version, error)
	// Delete removes the object if its version is still ifVersion.
	Delete(ctx context.Context, name string, ifVersion Version) error
	// Watch waits up to wait until the object has a version above after, and returns it. It returns
	// the unchanged object when the wait is over, so that each return confirms the object's state.
	Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error)
}

// ServerOrder sets how many backend servers of a pool run in an availability zone.
type ServerOrder struct {
	AvailabilityZone string `json:"availabilityZone"`
	Pool             string `json:"pool"`
	Count            int    `json:"count"`
	// Drained names hosts that serve nothing any more and are to be stopped first.
	Drained []string `json:"drained,omitempty"`
	// Fencing is the version of the lease under which the order is given.
	Fencing Version `json:"fencing"`
	// Holder is the host that gives the order.
	Holder string `json:"holder"`
}

// ServerOrders is the platform's interface for starting and stopping backend servers.
type ServerOrders interface {
	// Order gives one order; giving the same order again is harmless.
	Order(ctx context.Context, order ServerOrder) error
}

// UsageReport is the report of one organisation and window.
type UsageReport struct {
	Window       time.Time    `json:"window"`
	Organisation string       `json:"organisation"`
	Figures      usage.Amount `json:"figures"`
	// CarriedOver is the part of the figures that ran in earlier windows and came after their freeze.
	CarriedOver usage.Amount `json:"carriedOver"`
	Fencing     Version      `json:"fencing"`
}

// Reports is the platform's interface for usage reports. The raw form is sent as it is, so that a
// repeat after a lost answer carries the same bytes.
type Reports interface {
	Report(ctx context.Context, name string, raw json.RawMessage) error
}

// HostState is the platform's view of a host.
type HostState string

// The states in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Role is what a host's process does.
type Role string

// The roles in the host list.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Host is one row of the platform's lagging list.
type Host struct {
	ID               string         `json:"hostId"`
	Role             Role           `json:"role"`
	Pool             string         `json:"pool,omitempty"`
	AvailabilityZone string         `json:"availabilityZone"`
	PeerAddress      netip.AddrPort `json:"peerAddress"`
	State            HostState      `json:"state"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Platform is everything the platform offers.
type Platform interface {
	Store
	ServerOrders
	Reports
	HostList
}

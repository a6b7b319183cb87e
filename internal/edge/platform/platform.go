// Package platform defines the interfaces of the users' platform (the object API, the orders for backend servers, the
// usage reports and the host list) and implements them over HTTP.
package platform

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
)

// Errors of the platform. After any other error a write may or may not have taken effect.
var (
	// ErrNotFound means that there is no object of that name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the platform could not be reached or refused the call; a write had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that a write was sent and its answer was lost; it may have taken effect.
	ErrOutcomeUnknown = errors.New("write may have taken effect")
	// ErrFenced means that the order carried an older fencing number than one that the platform has seen.
	ErrFenced = errors.New("fencing number is old")
)

// Version orders all writes of the object API. One counter serves all objects, so that a later write to any object has a
// higher version. 0 stands for an absent object.
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
	// Put writes the value if the object's version is still ifVersion, where 0 means that the object must not exist. It
	// returns the new version, or ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Put(ctx context.Context, name string, value json.RawMessage, ifVersion Version) (Version, error)
	// Delete removes the object if its version is still ifVersion.
	Delete(ctx context.Context, name string, ifVersion Version) error
	// Watch waits up to wait until the object's version is above after, and returns the object. It returns the unchanged
	// object when the wait is over, so that each return confirms the object's current state.
	Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error)
}

// ServerOrder sets how many backend servers of a pool run in an availability zone.
type ServerOrder struct {
	AvailabilityZone string `json:"availabilityZone"`
	Pool             string `json:"pool"`
	Count            int    `json:"count"`
	// Drained names hosts that have no requests left and are to be stopped first.
	Drained []string `json:"drained,omitempty"`
	// Fencing is the fencing number of the order: the version of the lease under which it is given.
	Fencing Version `json:"fencing"`
	// Holder is the host that holds the lease and gives the order.
	Holder string `json:"holder"`
}

// ServerOrders is the platform's interface for starting and stopping backend servers.
type ServerOrders interface {
	// Order gives one order; it is idempotent.
	Order(ctx context.Context, order ServerOrder) error
}

// UsageReport is the usage of one organisation in one reporting window.
type UsageReport struct {
	Window       time.Time    `json:"window"`
	Organisation string       `json:"organisation"`
	Figures      usage.Amount `json:"figures"`
	// CarriedOver is the part of the figures that belongs to earlier windows but was counted only after their reports were frozen.
	CarriedOver usage.Amount `json:"carriedOver"`
	// Fencing is the fencing number: the version of the lease under which the report was made.
	Fencing Version `json:"fencing"`
}

// UsageReports is the platform's interface for usage reports. The caller passes the encoded report, so that a repeat after a
// lost answer carries the same bytes.
type UsageReports interface {
	Report(ctx context.Context, name string, raw json.RawMessage) error
}

// HostState is the state of a host according to the platform.
type HostState string

// The states in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Role is the kind of process that runs on a host.
type Role string

// The roles in the host list.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Host is one row of the platform's host list.
type Host struct {
	ID               string         `json:"hostId"`
	Role             Role           `json:"role"`
	Pool             string         `json:"pool,omitempty"`
	AvailabilityZone string         `json:"availabilityZone"`
	PeerAddress      netip.AddrPort `json:"peerAddress"`
	State            HostState      `json:"state"`
}

// HostList is the platform's list of live and leaving hosts. It lags behind the actual state of the hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Platform combines all interfaces of the platform.
type Platform interface {
	Store
	ServerOrders
	UsageReports
	HostList
}

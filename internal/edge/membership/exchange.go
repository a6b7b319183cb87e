package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// MethodChanges requests from a relay the changes of the host list.
const MethodChanges peer.Method = "membership.changes"

// neverRead is the age of a list that was never read from the platform.
const neverRead = time.Duration(-1)

// ChangesRequest requests the list that replaces the one that the requesting host holds.
type ChangesRequest struct {
	// Digest is the digest of the held list; 0 requests the full list.
	Digest uint64 `msgpack:"d"`
	// Age is the time since the held list was read from the platform, or neverRead.
	Age time.Duration `msgpack:"a"`
	// Wait is how long the relay may hold the request until it has read the list again.
	Wait time.Duration `msgpack:"w"`
}

// ChangesAnswer holds the changes from one list to another.
type ChangesAnswer struct {
	// BaseDigest is the digest of the list to which the changes apply; 0 stands for the empty list.
	BaseDigest uint64 `msgpack:"b"`
	// Digest is the digest of the list after the changes.
	Digest uint64 `msgpack:"d"`
	// Age is the time from the read of the list from the platform to the answer, or neverRead.
	Age time.Duration `msgpack:"a"`
	// HeldFor is how long the relay held the request before it answered.
	HeldFor time.Duration `msgpack:"w"`
	// UntilNextRead is the time until the relay reads the list again; 0 if that is unknown.
	UntilNextRead time.Duration `msgpack:"n"`
	// Changed holds the hosts that are new or different, sorted by host ID.
	Changed []row `msgpack:"c"`
	// Removed holds the IDs of the hosts that are no longer listed.
	Removed []string `msgpack:"g"`
}

// readAt converts the answer's age into a time by this host's clock. The relay answered at requestedAt+HeldFor at the
// earliest, so the result is never too late, however long the answer was in transit.
func (a ChangesAnswer) readAt(requestedAt time.Time) time.Time {
	if a.Age < 0 {
		return time.Time{}
	}
	return requestedAt.Add(a.HeldFor - a.Age)
}

// row is the encoding of a host. It is an array, because field names would take more space than the values.
type row struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID, Role, Pool, AvailabilityZone string
	PeerAddress                      netip.AddrPort
	State                            string
}

func newRow(h platform.Host) row {
	return row{
		ID: h.ID, Role: string(h.Role), Pool: h.Pool, AvailabilityZone: h.AvailabilityZone,
		PeerAddress: h.PeerAddress, State: string(h.State),
	}
}

func (r row) host() platform.Host {
	return platform.Host{
		ID: r.ID, Role: platform.Role(r.Role), Pool: r.Pool, AvailabilityZone: r.AvailabilityZone,
		PeerAddress: r.PeerAddress, State: platform.HostState(r.State),
	}
}

// RelayClient requests changes of the list from relays.
type RelayClient interface {
	Changes(ctx context.Context, relay netip.AddrPort, request ChangesRequest) (ChangesAnswer, error)
}

// NewPeerRelayClient returns a RelayClient that uses peer connections.
func NewPeerRelayClient(client *peer.Client) RelayClient { return peerRelayClient{client: client} }

type peerRelayClient struct{ client *peer.Client }

// Changes implements RelayClient.
func (c peerRelayClient) Changes(ctx context.Context, relay netip.AddrPort, request ChangesRequest) (ChangesAnswer, error) {
	return peer.Call[ChangesRequest, ChangesAnswer](ctx, c.client, relay, MethodChanges, request)
}

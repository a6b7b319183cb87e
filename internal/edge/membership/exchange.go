package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// MethodChanges asks a relay for what has changed in the host list.
const MethodChanges peer.Method = "membership.changes"

// noAge stands for "never" in the age of a ChangesAnswer.
const noAge = time.Duration(-1)

// ChangesAsk asks for the list after the one that the asking host holds.
type ChangesAsk struct {
	// Digest is that of the held list; 0 asks for the whole list.
	Digest uint64 `msgpack:"d"`
	// Age is that of the held list; noAge if it was never read from the platform.
	Age time.Duration `msgpack:"a"`
	// Wait is how long the relay may keep the question until it has read the list again.
	Wait time.Duration `msgpack:"w"`
}

// ChangesAnswer leads from one list to another.
type ChangesAnswer struct {
	// Base is the digest of the list to which the changes apply; 0 is the empty list.
	Base uint64 `msgpack:"b"`
	// Digest is that of the list after the changes.
	Digest uint64 `msgpack:"d"`
	// Age is the time since the list was read from the platform; noAge for never.
	Age time.Duration `msgpack:"a"`
	// Held is how long the relay kept the question; Age counts back from the same moment.
	Held time.Duration `msgpack:"w"`
	// Due is the time until the relay reads the list again; 0 where that isn't known.
	Due time.Duration `msgpack:"n"`
	// Changed holds the rows that are new or different, sorted by host id.
	Changed []row `msgpack:"c"`
	// Gone holds the ids of the hosts that are no longer listed.
	Gone []string `msgpack:"g"`
}

// read turns the answer's age into a moment of this host's clock. The relay answered at asked+Held at the
// earliest, so the moment is never too late, however long the answer was under way.
func (a ChangesAnswer) read(asked time.Time) time.Time {
	if a.Age < 0 {
		return time.Time{}
	}
	return asked.Add(a.Held - a.Age)
}

// row is a host on the wire: an array, since field names would take more room than the values.
type row struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID, Role, Pool, AvailabilityZone string
	PeerAddress                      netip.AddrPort
	State                            string
}

func rowOf(h platform.Host) row {
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

// Exchange asks other hosts for the list.
type Exchange interface {
	Changes(ctx context.Context, to netip.AddrPort, ask ChangesAsk) (ChangesAnswer, error)
}

// NewPeerExchange returns an exchange over peer connections.
func NewPeerExchange(client *peer.Client) Exchange { return peerExchange{client: client} }

type peerExchange struct{ client *peer.Client }

// Changes implements Exchange.
func (e peerExchange) Changes(ctx context.Context, to netip.AddrPort, ask ChangesAsk) (ChangesAnswer, error) {
	return peer.Call[ChangesAsk, ChangesAnswer](ctx, e.client, to, MethodChanges, ask)
}

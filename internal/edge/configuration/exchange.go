package configuration

import (
	"context"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// Methods that every host serves as a relay.
const (
	MethodFollow  peer.Method = "configuration.follow"
	MethodParts   peer.Method = "configuration.parts"
	MethodOffer   peer.Method = "configuration.offer"
	MethodInForce peer.Method = "configuration.inForce"
)

// neverAge is the value of an age in a FollowResponse for an event that never happened.
const neverAge = time.Duration(-1)

// FollowRequest requests a revision above that of the requesting host. It also reports the last ticket of that
// host, and says how long the relay may hold the request.
type FollowRequest struct {
	HostID   string        `msgpack:"h"`
	Revision uint64        `msgpack:"r"`
	Ticket   int           `msgpack:"t"`
	Wait     time.Duration `msgpack:"w"`
}

// FollowResponse holds the relay's configuration and freshness at the time of the response.
type FollowResponse struct {
	Revision uint64 `msgpack:"r"`
	// Head is the value of the head object if the relay's revision is above the requested one.
	Head []byte `msgpack:"h"`
	// Delta replaces Head if the requesting host has the preceding revision. It is a ticket.Delta in JSON.
	Delta []byte `msgpack:"d"`
	// Held is how long the relay held the request. The ages are measured at the end of this time.
	Held time.Duration `msgpack:"w"`
	// ConfirmedAge is the time since the platform confirmed the relay's view; neverAge if it never did.
	ConfirmedAge time.Duration `msgpack:"a"`
	// OutageAge is the time since a platform outage was last established; neverAge if none was.
	OutageAge time.Duration `msgpack:"o"`
	// Voter reports whether the relay counts when an outage is established; see snapshot.voter.
	Voter bool `msgpack:"v"`
}

// PartsRequest requests parts by content hash.
type PartsRequest struct {
	Hashes []string `msgpack:"h"`
}

// PartsResponse holds the requested parts that the relay has, by content hash.
type PartsResponse struct {
	Parts map[string][]byte `msgpack:"p"`
}

// Offer tells a relay about an accepted head and holds the parts that are new in it.
type Offer struct {
	Revision uint64            `msgpack:"r"`
	Head     []byte            `msgpack:"h"`
	Parts    map[string][]byte `msgpack:"p"`
}

// OfferResponse holds the relay's revision after the offer.
type OfferResponse struct {
	Revision uint64 `msgpack:"r"`
}

// InForceRequest requests the hosts on which a ticket is in force.
type InForceRequest struct {
	Ticket int `msgpack:"t"`
}

// InForceResponse holds the IDs of the hosts that are known to have the ticket, sorted.
type InForceResponse struct {
	HostIDs []string `msgpack:"h"`
}

// RelayClient calls the methods of relays.
type RelayClient interface {
	Follow(ctx context.Context, to netip.AddrPort, request FollowRequest) (FollowResponse, error)
	Parts(ctx context.Context, to netip.AddrPort, request PartsRequest) (PartsResponse, error)
	Offer(ctx context.Context, to netip.AddrPort, offer Offer) (OfferResponse, error)
	InForce(ctx context.Context, to netip.AddrPort, request InForceRequest) (InForceResponse, error)
}

// NewPeerRelayClient returns a RelayClient that uses the peer protocol.
func NewPeerRelayClient(client *peer.Client) RelayClient { return peerRelayClient{client: client} }

type peerRelayClient struct{ client *peer.Client }

func (c peerRelayClient) Follow(ctx context.Context, to netip.AddrPort, request FollowRequest) (FollowResponse, error) {
	return peer.Call[FollowRequest, FollowResponse](ctx, c.client, to, MethodFollow, request)
}

func (c peerRelayClient) Parts(ctx context.Context, to netip.AddrPort, request PartsRequest) (PartsResponse, error) {
	return peer.Call[PartsRequest, PartsResponse](ctx, c.client, to, MethodParts, request)
}

func (c peerRelayClient) Offer(ctx context.Context, to netip.AddrPort, offer Offer) (OfferResponse, error) {
	return peer.Call[Offer, OfferResponse](ctx, c.client, to, MethodOffer, offer)
}

func (c peerRelayClient) InForce(ctx context.Context, to netip.AddrPort, request InForceRequest) (InForceResponse, error) {
	return peer.Call[InForceRequest, InForceResponse](ctx, c.client, to, MethodInForce, request)
}

// Register registers the relay methods. Every host serves them, since the choice of the relays changes with the
// host list, and other hosts may see such a change earlier than this host.
func (f *Follower) Register(registry *peer.Registry) {
	peer.Handle(registry, MethodFollow, f.HandleFollow)
	peer.Handle(registry, MethodParts, f.HandleParts)
	peer.Handle(registry, MethodOffer, f.HandleOffer)
	peer.Handle(registry, MethodInForce, f.HandleInForce)
}

package configuration

import (
	"context"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// The methods that relays serve.
const (
	MethodFollow  peer.Method = "configuration.follow"
	MethodParts   peer.Method = "configuration.parts"
	MethodOffer   peer.Method = "configuration.offer"
	MethodInForce peer.Method = "configuration.inForce"
)

// noAge stands for "never" in the ages of a FollowAnswer.
const noAge = time.Duration(-1)

// FollowAsk asks for a revision above the asking host's own.
type FollowAsk struct {
	HostID   string        `msgpack:"h"`
	Revision uint64        `msgpack:"r"`
	Ticket   int           `msgpack:"t"`
	Wait     time.Duration `msgpack:"w"`
}

// FollowAnswer is what the relay knows when it answers.
type FollowAnswer struct {
	Revision uint64 `msgpack:"r"`
	// Head is the head object's value, where the revision is above the one asked with.
	Head []byte `msgpack:"h"`
	// Delta is sent in place of Head to a host that has the revision before: a ticket.Delta in JSON.
	Delta []byte `msgpack:"d"`
	// Held is how long the relay kept the question; the ages count back from the same moment.
	Held time.Duration `msgpack:"w"`
	// Age is the time since the relay's view was confirmed by the platform; noAge for never.
	Age time.Duration `msgpack:"a"`
	// OutageAge is the time since an outage of the platform was last established; noAge for never.
	OutageAge time.Duration `msgpack:"o"`
	// Voter says that the relay counts as a witness of an outage; see snapshot.
	Voter bool `msgpack:"v"`
}

// PartsAsk asks for parts by content hash.
type PartsAsk struct {
	Hashes []string `msgpack:"h"`
}

// PartsAnswer holds the parts at hand, by content hash.
type PartsAnswer struct {
	Parts map[string][]byte `msgpack:"p"`
}

// Offer tells a relay of a head that was accepted, with the parts that are new in it.
type Offer struct {
	Revision uint64            `msgpack:"r"`
	Head     []byte            `msgpack:"h"`
	Parts    map[string][]byte `msgpack:"p"`
}

// OfferAnswer holds the relay's revision after the offer.
type OfferAnswer struct {
	Revision uint64 `msgpack:"r"`
}

// InForceAsk asks on which hosts a ticket is in force.
type InForceAsk struct {
	Ticket int `msgpack:"t"`
}

// InForceAnswer names the hosts known to have the ticket, sorted.
type InForceAnswer struct {
	HostIDs []string `msgpack:"h"`
}

// Exchange is how a host talks to relays.
type Exchange interface {
	Follow(ctx context.Context, to netip.AddrPort, ask FollowAsk) (FollowAnswer, error)
	Parts(ctx context.Context, to netip.AddrPort, ask PartsAsk) (PartsAnswer, error)
	Offer(ctx context.Context, to netip.AddrPort, offer Offer) (OfferAnswer, error)
	InForce(ctx context.Context, to netip.AddrPort, ask InForceAsk) (InForceAnswer, error)
}

// NewPeerExchange returns the exchange over the connections between the system's processes.
func NewPeerExchange(client *peer.Client) Exchange { return peerExchange{client: client} }

type peerExchange struct{ client *peer.Client }

func (e peerExchange) Follow(ctx context.Context, to netip.AddrPort, ask FollowAsk) (FollowAnswer, error) {
	return peer.Call[FollowAsk, FollowAnswer](ctx, e.client, to, MethodFollow, ask)
}

func (e peerExchange) Parts(ctx context.Context, to netip.AddrPort, ask PartsAsk) (PartsAnswer, error) {
	return peer.Call[PartsAsk, PartsAnswer](ctx, e.client, to, MethodParts, ask)
}

func (e peerExchange) Offer(ctx context.Context, to netip.AddrPort, offer Offer) (OfferAnswer, error) {
	return peer.Call[Offer, OfferAnswer](ctx, e.client, to, MethodOffer, offer)
}

func (e peerExchange) InForce(ctx context.Context, to netip.AddrPort, ask InForceAsk) (InForceAnswer, error) {
	return peer.Call[InForceAsk, InForceAnswer](ctx, e.client, to, MethodInForce, ask)
}

// Register serves the relay's methods. Every host serves them: which hosts are relays changes with
// the host list, and others may see that earlier than the host itself.
func (f *Follower) Register(registry *peer.Registry) {
	peer.Handle(registry, MethodFollow, f.HandleFollow)
	peer.Handle(registry, MethodParts, f.HandleParts)
	peer.Handle(registry, MethodOffer, f.HandleOffer)
	peer.Handle(registry, MethodInForce, f.HandleInForce)
}

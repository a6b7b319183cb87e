package capacity

import (
	"context"
	"fmt"
	"net"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// relayID is the host ID of the only relay in an experiment.
const relayID = "relay"

// follower keeps a copy of data that it fetches from a relay. If it is a relay itself, it serves its own followers.
type follower interface {
	Register(registry *peer.Registry)
	Wait()
}

// relayGroup is a relay with its followers, each with its own peer client.
type relayGroup[F follower] struct {
	// members holds the relay first, then the followers.
	members []F
	clients []*peer.Client
	server  *peer.Server
}

// relayHost returns the host list row of the relay that serves the listener.
func relayHost(l net.Listener) platform.Host {
	return platform.Host{
		ID: relayID, Role: platform.RoleEntry, AvailabilityZone: measuredZone,
		PeerAddress: parseAddress(l.Addr().String()), State: platform.HostLive,
	}
}

// startAll starts the relay, which serves the listener, and then its followers.
func (g *relayGroup[F]) startAll(ctx context.Context, l net.Listener, followers int, newMember func(id string, client *peer.Client) F) {
	registry := peer.NewRegistry()
	g.startMember(ctx, relayID, newMember).Register(registry)
	g.server = peer.NewServer(ctx, l, registry, peerSecret)
	g.startFollowers(ctx, followers, newMember)
}

// startFollowers starts the given number of followers.
func (g *relayGroup[F]) startFollowers(ctx context.Context, followers int, newMember func(id string, client *peer.Client) F) {
	for i := range followers {
		g.startMember(ctx, fmt.Sprintf("host-%03d", i), newMember)
	}
}

func (g *relayGroup[F]) startMember(ctx context.Context, id string, newMember func(id string, client *peer.Client) F) F {
	client := peer.NewClient(ctx, peerSecret)
	member := newMember(id, client)
	g.clients = append(g.clients, client)
	g.members = append(g.members, member)
	return member
}

// wait waits until all members have stopped. The context that they were started with must have ended.
func (g *relayGroup[F]) wait() {
	for i, member := range g.members {
		member.Wait()
		g.clients[i].Wait()
	}
	if g.server != nil {
		_ = g.server.Close()
	}
}

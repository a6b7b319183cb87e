package capacity

import (
	"context"
	"fmt"
	"net"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// relayID is the host id of the only relay of a slope.
const relayID = "relay"

// follower is a part that asks a relay, and serves its own followers where it is one.
type follower interface {
	Register(registry *peer.Registry)
	Wait()
}

// followed is a relay with its followers, each with a client of its own.
type followed[F follower] struct {
	// parts holds the relay first.
	parts   []F
	clients []*peer.Client
	server  *peer.Server
}

// relayHost is the row of the relay behind the listener.
func relayHost(l net.Listener) platform.Host {
	return platform.Host{
		ID: relayID, Role: platform.RoleEntry, AvailabilityZone: measuredZone,
		PeerAddress: addressOf(l.Addr().String()), State: platform.HostLive,
	}
}

// serve starts the relay behind the listener and then its followers.
func (f *followed[F]) serve(ctx context.Context, l net.Listener, followers int, start func(id string, client *peer.Client) F) {
	registry := peer.NewRegistry()
	f.start(ctx, relayID, start).Register(registry)
	f.server = peer.NewServer(ctx, l, registry, secret)
	f.follow(ctx, followers, start)
}

// follow starts so many followers.
func (f *followed[F]) follow(ctx context.Context, followers int, start func(id string, client *peer.Client) F) {
	for i := range followers {
		f.start(ctx, fmt.Sprintf("host-%03d", i), start)
	}
}

func (f *followed[F]) start(ctx context.Context, id string, start func(id string, client *peer.Client) F) F {
	client := peer.NewClient(ctx, secret)
	part := start(id, client)
	f.clients = append(f.clients, client)
	f.parts = append(f.parts, part)
	return part
}

// wait returns when all have ended, after their context has.
func (f *followed[F]) wait() {
	for i, part := range f.parts {
		part.Wait()
		f.clients[i].Wait()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
}

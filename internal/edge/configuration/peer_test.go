package configuration

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// staticDirectory is a fixed host list whose first host is the only entry.
type staticDirectory []platform.Host

func (d staticDirectory) Entries() []platform.Host { return d[:1] }
func (d staticDirectory) Hosts() []platform.Host   { return d }

// TestFollowOverTCP: an agent that never reaches the platform follows an entry over TCP.
func TestFollowOverTCP(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var waitFuncs []func()
	defer func() {
		cancel()
		for _, wait := range waitFuncs {
			wait()
		}
	}()
	memory := newMemory(t)
	secret := []byte("secret of the test")
	client := peer.NewClient(ctx, secret)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	hosts := staticDirectory{
		{ID: "entry-1", Role: platform.RoleEntry, State: platform.HostLive, AvailabilityZone: "begnas", PeerAddress: address},
		{ID: "agent-1", Role: platform.RoleAgent, State: platform.HostLive, AvailabilityZone: "begnas", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")},
	}
	start := func(id string, store platform.Store) *Follower {
		f := NewFollower(ctx, store, WithRelays(NewPeerRelayClient(client), hosts, Self{HostID: id, AvailabilityZone: "begnas"}))
		waitFuncs = append(waitFuncs, f.Wait)
		return f
	}
	entry := start("entry-1", memory)
	registry := peer.NewRegistry()
	entry.Register(registry)
	peer.NewServer(ctx, listener, registry, secret)
	agent := start("agent-1", &disconnectableStore{Store: memory, disconnected: true})
	eventually(t, "the agent is synced", func() bool { return agent.Synced() && fresh(agent) })
	publisher := NewPublisher(memory, WithFollower(entry))
	for number := 2; number <= 4; number++ {
		if err := publisher.Apply(ctx, number, weightTicket("sahil", number)); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the agent has the ticket", func() bool { return hasTicket(number)(agent) })
	}
	eventually(t, "both report the ticket", func() bool {
		status, err := publisher.Status(ctx, 4)
		return err == nil && status.Hosts == 2 && status.InForce == 2
	})
}

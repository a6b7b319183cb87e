package gossip

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// silentHandler adds nothing to heartbeats.
type silentHandler struct{}

func (silentHandler) Heartbeat(time.Time, Recipient) Heartbeat { return Heartbeat{} }
func (silentHandler) HeartbeatReceived(time.Time, Heartbeat)   {}
func (silentHandler) HeartbeatDelivered(Member, Heartbeat)     {}
func (silentHandler) MemberLeaving(time.Time, Member)          {}
func (silentHandler) MemberGone(time.Time, Member)             {}
func (silentHandler) DirectRecipients() []string               { return nil }

// entry is a running gossip with its client.
type entry struct {
	gossip *Gossip
	client *peer.Client
}

// startEntries starts entries that have the first one as their seed. They are stopped with the test.
func startEntries(t *testing.T, count int) []entry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var entries []entry
	var servers []*peer.Server
	t.Cleanup(func() {
		cancel()
		for i, e := range entries {
			_ = servers[i].Close()
			e.gossip.Wait()
			e.client.Wait()
		}
	})
	var seed netip.AddrPort
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := netip.MustParseAddrPort(l.Addr().String())
		client := peer.NewClient(ctx, []byte("a secret of the tests"), peer.WithIdleTimeout(ConnectionIdleTimeout))
		registry := peer.NewRegistry()
		self := Member{HostID: fmt.Sprintf("entry-%02d", i), Address: address, Incarnation: uint64(i + 1)}
		g := New(ctx, self, client, registry, silentHandler{}, zerolog.Nop())
		servers = append(servers, peer.NewServer(ctx, l, registry, []byte("a secret of the tests")))
		entries = append(entries, entry{gossip: g, client: client})
		if i == 0 {
			seed = address
		}
		g.Meet(seed)
	}
	return entries
}

func waitUntil(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout after %v: %s", limit, what)
		}
	}
}

func waitUntilConnected(t *testing.T, entries []entry) {
	t.Helper()
	waitUntil(t, "all entries know each other", 20*time.Second, func() bool {
		return !slices.ContainsFunc(entries, func(e entry) bool { return len(e.gossip.Alive(time.Now())) != len(entries)-1 })
	})
}

func TestEntriesFindEachOther(t *testing.T) {
	const count = 8
	entries := startEntries(t, count)
	waitUntilConnected(t, entries)
	entries[2].gossip.Leave()
	waitUntil(t, "all entries know which one leaves", 5*time.Second, func() bool {
		for i, e := range entries {
			if member, ok := e.gossip.Find(time.Now(), "entry-02"); i != 2 && (!ok || !member.Leaving) {
				return false
			}
		}
		return true
	})
}

// Guards against connections that grow with the number of entries: each entry calls all others in turn, and kept a connection to each of
// the last 120 that it had called.
func TestConnectionsAreFewerThanEntries(t *testing.T) {
	const (
		count = 40
		// successors and the calls in turn of the idle timeout, with a margin for calls that begin late.
		limit = 3 + int(ConnectionIdleTimeout/(500*time.Millisecond)) + 6
	)
	entries := startEntries(t, count)
	waitUntilConnected(t, entries)
	mostConnections := func() (most int) {
		for _, e := range entries {
			most = max(most, len(e.client.State().Connections))
		}
		return most
	}
	waitUntil(t, "no entry keeps too many connections", 4*ConnectionIdleTimeout, func() bool { return mostConnections() <= limit })
	for end := time.Now().Add(ConnectionIdleTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if open := mostConnections(); open > limit {
			t.Fatalf("%d connections, want at most %d", open, limit)
		}
	}
}

package configuration

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// TestTicketReachesAllHosts: a ticket reaches all hosts, and hosts that are not relays need no access to the platform.
func TestTicketReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newMemory(t)
		n := newNetwork(t, memory, 6)
		eventually(t, "all have ticket 1", onAll(n.all(), hasTicket(1)))
		relays, followers := n.members(true), n.members(false)
		if len(relays) != relaysPerZone*len(zones) {
			t.Fatalf("unexpected number of relays: %d", len(relays))
		}
		eventually(t, "all are fresh", onAll(n.all(), fresh))
		for _, m := range followers {
			m.store.setDisconnected(true)
		}
		apply(t, memory, 2, 2)
		took := eventually(t, "all have ticket 2 through their relays", onAll(n.all(), hasTicket(2)))
		t.Logf("in force on %d hosts after %v", len(n.all()), took)
		always(t, "hosts without the platform stay fresh through their relays", ticket.FreshFor+time.Second, onAll(n.all(), fresh))
		status, err := NewPublisher(memory, WithFollower(relays[0].follower)).Status(context.Background(), 2)
		want := Status{Number: 2, Accepted: true, LastTicket: 2, Hosts: 18, InForce: 18, Share: 1}
		if diff := cmp.Diff(want, status); diff != "" || err != nil {
			t.Errorf("error %v, status (-want +got):\n%s", err, diff)
		}
	})
}

// TestOutageKeepsServing guards against an outage of the platform that makes every host refuse requests although
// nothing changed. No ticket can be accepted while the platform is down, so all hosts keep serving without a gap,
// however long the outage lasts. The many followers are in all phases of their polls when it begins.
func TestOutageKeepsServing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 8)
		memory.SetOutage(true)
		always(t, "all are fresh in the outage", 3*ticket.FreshFor, onAll(n.all(), fresh))
		memory.SetOutage(false)
		apply(t, memory, 2, 2)
		eventually(t, "all have the ticket after the outage", onAll(n.all(), hasTicket(2)))
	})
}

// TestIsolatedHostRefuses guards against a host in a partitioned rack that keeps accepting a withdrawn key. The host
// reaches neither the platform nor relays; it must soon refuse requests, and serve again when the partition ends.
func TestIsolatedHostRefuses(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		isolated := []*member{n.members(true)[0], n.members(false)[0]}
		for _, m := range isolated {
			n.setDisconnected(m, true)
			m.store.setDisconnected(true)
		}
		apply(t, memory, 2, 2)
		took := eventually(t, "partitioned hosts refuse requests", onAll(isolated, func(f *Follower) bool { return !fresh(f) }))
		t.Logf("refusing requests after %v", took)
		always(t, "partitioned hosts keep refusing requests", ticket.FreshFor, onAll(isolated, func(f *Follower) bool { return !fresh(f) }))
		for _, m := range isolated {
			n.setDisconnected(m, false)
			m.store.setDisconnected(false)
		}
		eventually(t, "all have the ticket", onAll(n.all(), hasTicket(2)))
		eventually(t, "all are fresh again", onAll(n.all(), fresh))
	})
}

// TestIsolatedHostInOutage combines both: the partitioned host can't distinguish an outage from its own partition.
func TestIsolatedHostInOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		memory.SetOutage(true)
		isolated := n.members(true)[:1]
		n.setDisconnected(isolated[0], true)
		eventually(t, "the partitioned relay refuses requests", onAll(isolated, func(f *Follower) bool { return !fresh(f) }))
		rest := slices.Concat(n.members(true)[1:], n.members(false))
		always(t, "the others serve", ticket.FreshFor, onAll(rest, fresh))
	})
}

// TestRestartDuringOutage guards against a withdrawn key that works again on a host that restarts while the platform
// is down. Only one relay got the last ticket before the outage, and it responds after the others. The restarted hosts
// must not serve from the first response, but have that ticket from the start.
func TestRestartDuringOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		relays, followers := n.members(true), n.members(false)
		for _, m := range n.all()[1:] {
			n.setDisconnected(m, true)
			m.store.setDisconnected(true)
		}
		apply(t, memory, 2, 2)
		eventually(t, "one relay has the ticket", onAll(relays[:1], hasTicket(2)))
		memory.SetOutage(true)
		for _, m := range n.all()[1:] {
			n.setDisconnected(m, false)
			m.store.setDisconnected(false)
		}
		n.setExtraLatency(relays[0], 40*time.Millisecond)
		restarted := []*member{}
		for _, m := range []*member{relays[1], relays[2], followers[0]} {
			m.stop()
			restarted = append(restarted, n.start(t, memory, m.host))
		}
		eventually(t, "restarted hosts serve", onAll(restarted, fresh))
		if !onAll(restarted, hasTicket(2))() {
			t.Error("a restarted host serves from an older ticket")
		}
		eventually(t, "all have the ticket", onAll(n.all(), hasTicket(2)))
	})
}

// TestRelayFailure: hosts of a zone whose relays have failed follow those of other zones.
func TestRelayFailure(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		var followers []*member
		for _, m := range n.members(true) {
			if m.host.AvailabilityZone == zones[0] {
				n.setDisconnected(m, true)
			}
		}
		for _, m := range n.members(false) {
			if m.host.AvailabilityZone == zones[0] {
				m.store.setDisconnected(true)
				followers = append(followers, m)
			}
		}
		always(t, "hosts stay fresh", ticket.FreshFor+time.Second, onAll(followers, fresh))
		apply(t, memory, 2, 2)
		eventually(t, "hosts follow relays of neighbour zones", onAll(followers, hasTicket(2)))
	})
}

// TestSlowPlatform guards against a withdrawn key that works for as long as responses of the platform take seconds.
// The host that got the ticket accepted offers it to the relays itself.
func TestSlowPlatform(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		for _, m := range n.all() {
			m.store.setDisconnected(true)
		}
		apply(t, memory, 2, 2, WithFollower(n.members(false)[0].follower))
		eventually(t, "all have the ticket", onAll(n.all(), hasTicket(2)))
	})
}

// TestAgesOfAnswer guards against a withdrawn key that is accepted by a host that was suspended and takes an old
// response for a new one. The ages count from the earliest time of the response, not from its arrival.
func TestAgesOfAnswer(t *testing.T) {
	requestedAt := time.Unix(1000, 0)
	tests := []struct {
		name     string
		response FollowResponse
		want     ticket.Freshness
	}{
		{"never", FollowResponse{ConfirmedAge: neverAge, OutageAge: neverAge}, ticket.Freshness{}},
		{"at once", FollowResponse{ConfirmedAge: time.Second, OutageAge: neverAge}, ticket.Freshness{Confirmed: requestedAt.Add(-time.Second)}},
		{"held", FollowResponse{Held: time.Second, ConfirmedAge: neverAge, OutageAge: 3 * time.Second}, ticket.Freshness{OutageSeen: requestedAt.Add(-2 * time.Second)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.response.freshness(requestedAt)); diff != "" {
				t.Errorf("freshness (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRevertedHead guards against withdrawn keys that become valid again because the head object was restored by hand
// or there is a new platform at the old address.
func TestRevertedHead(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		memory := newMemory(t)
		old, err := memory.Get(context.Background(), ticket.HeadObject)
		if err != nil {
			t.Fatal(err)
		}
		apply(t, memory, 2, 2)
		ctx, cancel := context.WithCancel(context.Background())
		f := NewFollower(ctx, memory)
		eventually(t, "has ticket 2", func() bool { return hasTicket(2)(f) })
		current, _ := memory.Get(context.Background(), ticket.HeadObject)
		if _, err := memory.Put(context.Background(), ticket.HeadObject, old.Value, current.Version); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the follower reports an error", func() bool { return f.State().(State).LastError != "" })
		if !hasTicket(2)(f) {
			t.Error("the view went back to an older ticket")
		}
		cancel()
		f.Wait()
	})
}

// TestEmptyPlatform: a host is synced and fresh on a platform without any ticket.
func TestEmptyPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := NewFollower(ctx, standin.NewMemory())
		eventually(t, "synced and fresh", func() bool { return f.Synced() && fresh(f) })
		if f.View().Revision() != 0 {
			t.Errorf("revision %d, want 0", f.View().Revision())
		}
		cancel()
		f.Wait()
	})
}

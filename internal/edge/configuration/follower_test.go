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

// TestSpread: a ticket reaches all hosts, and only the relays cost the platform watches.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newMemory(t)
		n := newNetwork(t, memory, 6)
		eventually(t, "all have ticket 1", every(n.all(), hasTicket(1)))
		relays, followers := n.members(true), n.members(false)
		if len(relays) != relaysPerZone*len(zones) {
			t.Fatalf("%d relays", len(relays))
		}
		eventually(t, "all are fresh", every(n.all(), fresh))
		for _, m := range followers {
			m.store.setCut(true)
		}
		apply(t, memory, 2, 2)
		took := eventually(t, "all have ticket 2 by their relays", every(n.all(), hasTicket(2)))
		t.Logf("in force on %d hosts after %v", len(n.all()), took)
		always(t, "hosts without the platform are fresh by their relays", ticket.FreshFor+time.Second, every(n.all(), fresh))
		status, err := NewPublisher(memory, WithFollower(relays[0].follower)).Status(context.Background(), 2)
		want := Status{Number: 2, Accepted: true, LastTicket: 2, Hosts: 18, InForce: 18, Share: 1}
		if diff := cmp.Diff(want, status); diff != "" || err != nil {
			t.Errorf("error %v, status (-want +got):\n%s", err, diff)
		}
	})
}

// TestOutageKeepsServing is an outage of the platform.
//
// What a caller would see: every request refused although nothing changed. No ticket can be accepted
// while the platform is down, so all hosts go on without a gap, however long it lasts. The many followers
// are in all phases of their polls when it begins.
func TestOutageKeepsServing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 8)
		memory.SetOutage(true)
		always(t, "all are fresh in the outage", 3*ticket.FreshFor, every(n.all(), fresh))
		memory.SetOutage(false)
		apply(t, memory, 2, 2)
		eventually(t, "all have the ticket after the outage", every(n.all(), hasTicket(2)))
	})
}

// TestIsolatedHostRefuses is a host that is cut off while a key is withdrawn.
//
// What an operator would see: a withdrawn key that a host in a cut-off rack goes on serving. The host
// hears neither the platform nor relays; it must refuse soon, and serve again when the cut ends.
func TestIsolatedHostRefuses(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		lone := []*member{n.members(true)[0], n.members(false)[0]}
		for _, m := range lone {
			n.setCut(m, true)
			m.store.setCut(true)
		}
		apply(t, memory, 2, 2)
		took := eventually(t, "cut-off hosts refuse", every(lone, func(f *Follower) bool { return !fresh(f) }))
		t.Logf("refused after %v", took)
		always(t, "cut-off hosts go on refusing", ticket.FreshFor, every(lone, func(f *Follower) bool { return !fresh(f) }))
		for _, m := range lone {
			n.setCut(m, false)
			m.store.setCut(false)
		}
		eventually(t, "all have the ticket", every(n.all(), hasTicket(2)))
		eventually(t, "all are fresh again", every(n.all(), fresh))
	})
}

// TestIsolatedHostInOutage has both at once: the cut-off host can't tell an outage from a cut.
func TestIsolatedHostInOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		memory.SetOutage(true)
		lone := n.members(true)[:1]
		n.setCut(lone[0], true)
		eventually(t, "the cut-off relay refuses", every(lone, func(f *Follower) bool { return !fresh(f) }))
		rest := slices.Concat(n.members(true)[1:], n.members(false))
		always(t, "the others serve", ticket.FreshFor, every(rest, fresh))
	})
}

// TestRestartDuringOutage is a host that starts while the platform is down.
//
// What an operator would see: a withdrawn key that works again on a restarted host. Only one relay saw
// the last ticket before the outage, and its answers come after those of the others; the starting hosts must
// serve by that ticket from the first, not by the first answer.
func TestRestartDuringOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		relays, followers := n.members(true), n.members(false)
		for _, m := range n.all()[1:] {
			n.setCut(m, true)
			m.store.setCut(true)
		}
		apply(t, memory, 2, 2)
		eventually(t, "one relay has the ticket", every(relays[:1], hasTicket(2)))
		memory.SetOutage(true)
		for _, m := range n.all()[1:] {
			n.setCut(m, false)
			m.store.setCut(false)
		}
		n.setSlow(relays[0], 40*time.Millisecond)
		restarted := []*member{}
		for _, m := range []*member{relays[1], relays[2], followers[0]} {
			m.stop()
			restarted = append(restarted, n.start(t, memory, m.host))
		}
		eventually(t, "restarted hosts serve", every(restarted, fresh))
		if !every(restarted, hasTicket(2))() {
			t.Error("a restarted host serves by an older ticket")
		}
		eventually(t, "all have the ticket", every(n.all(), hasTicket(2)))
	})
}

// TestRelaysDie: hosts of a zone whose relays are gone follow those of other zones.
func TestRelaysDie(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		var followers []*member
		for _, m := range n.members(true) {
			if m.host.AvailabilityZone == zones[0] {
				n.setCut(m, true)
			}
		}
		for _, m := range n.members(false) {
			if m.host.AvailabilityZone == zones[0] {
				m.store.setCut(true)
				followers = append(followers, m)
			}
		}
		always(t, "hosts stay fresh", ticket.FreshFor+time.Second, every(followers, fresh))
		apply(t, memory, 2, 2)
		eventually(t, "hosts follow neighbours", every(followers, hasTicket(2)))
	})
}

// TestSlowPlatform is a platform whose answers take seconds.
//
// What an operator would see: a withdrawn key that works for as long as the platform is slow. The host
// that got the ticket accepted tells the relays itself.
func TestSlowPlatform(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		memory, n := freshNetwork(t, 3)
		for _, m := range n.all() {
			m.store.setCut(true)
		}
		apply(t, memory, 2, 2, WithFollower(n.members(false)[0].follower))
		eventually(t, "all have the ticket", every(n.all(), hasTicket(2)))
	})
}

// TestAgesOfAnswer is an answer that comes late.
//
// What an operator would see: a withdrawn key served by a host that was paused, since it took an old
// answer for a new one. The ages count from when the relay answered at the earliest, not from the arrival.
func TestAgesOfAnswer(t *testing.T) {
	asked := time.Unix(1000, 0)
	tests := []struct {
		name   string
		answer FollowAnswer
		want   ticket.Freshness
	}{
		{"never", FollowAnswer{Age: noAge, OutageAge: noAge}, ticket.Freshness{}},
		{"at once", FollowAnswer{Age: time.Second, OutageAge: noAge}, ticket.Freshness{Confirmed: asked.Add(-time.Second)}},
		{"held", FollowAnswer{Held: time.Second, Age: noAge, OutageAge: 3 * time.Second}, ticket.Freshness{OutageSeen: asked.Add(-2 * time.Second)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.answer.freshness(asked)); diff != "" {
				t.Errorf("freshness (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRevertedHead is a head object that was put back by hand, or a new platform under the old address.
//
// What an operator would see: withdrawn keys that are valid again.
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
		now, _ := memory.Get(context.Background(), ticket.HeadObject)
		if _, err := memory.Put(context.Background(), ticket.HeadObject, old.Value, now.Version); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the follower complains", func() bool { return f.State().(State).LastError != "" })
		if !hasTicket(2)(f) {
			t.Error("the view went back")
		}
		cancel()
		f.Wait()
	})
}

// TestNoTickets: an empty platform is a state like any other.
func TestNoTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := NewFollower(ctx, standin.NewMemory())
		eventually(t, "synced and fresh", func() bool { return f.Synced() && fresh(f) })
		if f.View().Revision() != 0 {
			t.Errorf("revision %d", f.View().Revision())
		}
		cancel()
		f.Wait()
	})
}

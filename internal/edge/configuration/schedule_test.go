package configuration

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

const (
	tickLength = 100 * time.Millisecond
	// maxServedAfterWithdrawal is how long a key may be served after its withdrawal was accepted.
	maxServedAfterWithdrawal = 5 * time.Second
)

// node is one host in virtual time. The first nodes are relays.
type node struct {
	relay bool
	// noPlatform: this host doesn't reach the platform. isolated: it doesn't reach the other hosts.
	noPlatform bool
	isolated   bool
	current    *snapshot
	// highest is the highest revision that the host has had since its last start.
	highest   uint64
	ticksLeft int
}

// simulation is a platform with relays and hosts that follow them.
type simulation struct {
	t          *rapid.T
	now        time.Time
	outage     bool
	acceptedAt []time.Time // acceptance time of each revision, from 1 on
	nodes      []*node
	relays     int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), relays: rapid.IntRange(3, 5).Draw(t, "relays")}
	for i := range s.relays + 2 {
		s.nodes = append(s.nodes, &node{relay: i < s.relays, current: newSnapshot()})
	}
	return s
}

func encodedHead(revision int) []byte { return fmt.Appendf(nil, `{"lastTicket":%d}`, revision) }

func (s *simulation) head() []byte { return encodedHead(len(s.acceptedAt)) }

// apply applies what a host learned. The schedule fails if the view goes back.
func (s *simulation) apply(n *node, u update) {
	next, err := n.current.withUpdate(u, s.now)
	if err != nil {
		s.t.Fatalf("applying the update: %v", err)
	}
	n.current = next
	if revision := next.view.Revision(); revision < n.highest {
		s.t.Fatalf("revision %d after %d", revision, n.highest)
	}
	n.highest = next.view.Revision()
}

// readPlatform simulates a relay's watch that was sent inFlight ago and returns the current head.
func (s *simulation) readPlatform(n *node, inFlight time.Duration) {
	if s.outage || n.noPlatform {
		return
	}
	s.apply(n, update{
		revision: uint64(len(s.acceptedAt)), head: s.head(),
		freshness: ticket.Freshness{Confirmed: s.now.Add(-inFlight)}, voter: true,
	})
}

// askRelay applies the response of a relay. The request took requestDelay to reach the relay, which held it for held,
// and the response took responseDelay to arrive.
func (s *simulation) askRelay(n, relay *node, requestDelay, held, responseDelay time.Duration) {
	if n.isolated || relay.isolated || n == relay {
		return
	}
	known := relay.current
	request := FollowRequest{Revision: n.current.view.Revision()}
	respondedAt := s.now.Add(-responseDelay)
	response := known.followResponse(request, respondedAt.Add(-held), respondedAt)
	requestedAt := respondedAt.Add(-held - requestDelay)
	head, err := n.current.resolveHead(response)
	if err != nil {
		s.t.Fatal(err)
	}
	s.apply(n, update{revision: response.Revision, head: head, freshness: response.freshness(requestedAt)})
}

// survey queries all relays, like Follower.survey.
func (s *simulation) survey(n *node) {
	var results []relayResult
	for _, other := range s.nodes[:s.relays] {
		if other == n || other.isolated || n.isolated {
			continue
		}
		s.askRelay(n, other, 0, 0, 0)
		results = append(results, relayResult{freshness: other.current.freshness, voter: other.current.voter})
	}
	s.apply(n, n.current.evaluateSurvey(s.now, s.relays, results))
}

// tick lets every host do what is due. Relays poll the platform every half second, or every 0.4 s after a failure.
func (s *simulation) tick() {
	s.now = s.now.Add(tickLength)
	for _, n := range s.nodes {
		n.ticksLeft--
		if n.ticksLeft > 0 {
			continue
		}
		delay := time.Duration(rapid.IntRange(0, 4).Draw(s.t, "delay")) * tickLength
		if !n.relay {
			relay := s.nodes[rapid.IntRange(0, s.relays-1).Draw(s.t, "relay")]
			s.askRelay(n, relay, delay/2, delay, delay/2)
			n.ticksLeft = rapid.IntRange(1, 10).Draw(s.t, "due")
			continue
		}
		s.readPlatform(n, delay)
		n.ticksLeft = 5
		if s.outage || n.noPlatform {
			n.ticksLeft = 4
		}
		if s.now.Sub(n.current.freshness.Confirmed) > ticket.OutageAfter {
			s.survey(n)
			n.ticksLeft = min(n.ticksLeft, 5)
		}
	}
}

// checkServed checks that a host that serves has everything that was accepted maxServedAfterWithdrawal ago or earlier.
func (s *simulation) checkServed() {
	required := 0
	for _, accepted := range s.acceptedAt {
		if s.now.Sub(accepted) > maxServedAfterWithdrawal {
			required++
		}
	}
	for i, n := range s.nodes {
		if n.current.freshness.Fresh(s.now) && int(n.current.view.Revision()) < required {
			s.t.Fatalf("host %d serves from revision %d, but %d was accepted %v ago",
				i, n.current.view.Revision(), required, s.now.Sub(s.acceptedAt[required-1]))
		}
	}
}

// relaysWithoutPlatform returns the number of relays that don't reach the platform. If it is half of them or more, the
// loss of the connections can't be distinguished from an outage of the platform. This is a limit of the design.
func (s *simulation) relaysWithoutPlatform() int {
	count := 0
	for _, n := range s.nodes[:s.relays] {
		if n.noPlatform {
			count++
		}
	}
	return count
}

// accept accepts a ticket at one host, which offers it to the relays that it reaches.
func (s *simulation) accept(publisher *node) {
	if s.outage {
		return
	}
	s.acceptedAt = append(s.acceptedAt, s.now)
	for _, relay := range s.nodes[:s.relays] {
		if !publisher.isolated && !relay.isolated {
			s.apply(relay, update{revision: uint64(len(s.acceptedAt)), head: s.head()})
		}
	}
}

// deliverLateOffer delivers an offer of any accepted revision to a host, possibly long after newer ones.
func (s *simulation) deliverLateOffer(n *node) {
	if len(s.acceptedAt) > 0 && !n.isolated {
		revision := rapid.IntRange(1, len(s.acceptedAt)).Draw(s.t, "revision")
		s.apply(n, update{revision: uint64(revision), head: encodedHead(revision)})
	}
}

// switchOutage starts or ends an outage. A ticket that fewer than half of the relays have when the outage starts can be
// missing in the views of the others for as long as the outage lasts. This is a limit of the design.
func (s *simulation) switchOutage() {
	upToDate := 0
	for _, relay := range s.nodes[:s.relays] {
		if int(relay.current.view.Revision()) == len(s.acceptedAt) {
			upToDate++
		}
	}
	s.outage = !s.outage && 2*upToDate >= s.relays
}

// TestWithdrawnKeyStops runs random schedules of partitions and outages. It guards against a key that a partitioned host
// accepts more than 5 s after its withdrawal was accepted, and against a host that goes back to an older ticket.
// Responses are delayed, relays have different revisions, and the platform goes down and comes back.
func TestWithdrawnKeyStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		randomNode := func() *node { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "host")] }
		for range 10 {
			s.tick()
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) { s.accept(randomNode()) },
			"outage": func(*rapid.T) { s.switchOutage() },
			"cut": func(*rapid.T) {
				n := randomNode()
				n.noPlatform = !n.noPlatform
				if 2*s.relaysWithoutPlatform() >= s.relays {
					n.noPlatform = false
				}
			},
			"offer":   func(*rapid.T) { s.deliverLateOffer(randomNode()) },
			"apart":   func(*rapid.T) { n := randomNode(); n.isolated = !n.isolated },
			"restart": func(*rapid.T) { n := randomNode(); n.current, n.highest, n.ticksLeft = newSnapshot(), 0, 0 },
			"pass": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "ticks") {
					s.tick()
					s.checkServed()
				}
			},
		})
	})
}

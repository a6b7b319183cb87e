// Package configuration publishes tickets to the platform and follows them on every host.
//
// Load pattern: a ticket every quarter of a minute, thousands of hosts that have to act on it within
// seconds, and a platform that counts each waiting watch. Without relays 2,580 watches would take
// more reads than the platform has. So two entries an availability zone watch the head object and
// all other hosts of the zone follow these relays by long poll: 44 relays that ask every 0.3 s make
// 150 reads a second of about two thousand. A relay with 58 followers that ask every second sends
// and receives about 8 KB/s.
//
// A host serves by its view only while that is known to be the newest or the platform is known to be
// down; see Freshness in core/ticket.
package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// HostDirectory is where relays are found.
type HostDirectory interface {
	// Entries returns the live and leaving entries, sorted by host id.
	Entries() []platform.Host
	// Hosts returns all hosts.
	Hosts() []platform.Host
}

// Self is this host's place among the others.
type Self struct {
	HostID           string
	AvailabilityZone string
}

// waits are the times of the follower's calls.
type waits struct {
	// platform is how long a watch of the head waits.
	platform time.Duration
	// relay is how long a long poll at a relay waits.
	relay time.Duration
	// relaySlack and platformSlack are added to a wait before the call counts as failed. The platform
	// has slow stretches, and a late answer still brings a ticket.
	relaySlack    time.Duration
	platformSlack time.Duration
	// round is how long a round of questions waits for relays that don't answer.
	round time.Duration
	// retry is the mean pause after a first failure; it doubles up to maxBackoff times.
	retry time.Duration
	// direct is the mean time between direct reads of a host that reaches no relay: 2,580 hosts at
	// once stay below 1,300 reads a second.
	direct time.Duration
	// survey is the time between rounds of questions to all relays at the start of an outage.
	survey time.Duration
	// longSurvey is the same in a long outage: 44 relays then send and receive about 12 KB/s each.
	longSurvey time.Duration
}

func defaultWaits() waits {
	return waits{
		platform:      300 * time.Millisecond,
		relay:         time.Second,
		relaySlack:    500 * time.Millisecond,
		round:         250 * time.Millisecond,
		platformSlack: 2 * time.Second,
		retry:         300 * time.Millisecond,
		direct:        2 * time.Second,
		survey:        300 * time.Millisecond,
		longSurvey:    1500 * time.Millisecond,
	}
}

// FollowerOption changes a Follower.
type FollowerOption func(*Follower)

// WithExchange makes the host follow the relays that the directory shows, and be a relay itself where
// it is one of the first two live entries of its availability zone.
func WithExchange(exchange Exchange, directory HostDirectory, self Self) FollowerOption {
	return func(f *Follower) {
		f.exchange = exchange
		f.directory = directory
		f.self = self
	}
}

// WithLogger sets the log for changes of the view and for failures.
func WithLogger(log zerolog.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// Follower keeps the newest view that this host knows. It never goes back to an older one.
type Follower struct {
	store     platform.Store
	exchange  Exchange
	directory HostDirectory
	self      Self
	waits     waits
	log       zerolog.Logger

	current  atomic.Pointer[snapshot]
	arrivals chan arrival
	roster   *roster
	routes   membership.ListCache[route]
	// failure is the last failed step, for the dump; nil where the last one went well.
	failure atomic.Pointer[string]
	wg      conc.WaitGroup
}

// NewFollower starts to follow the configuration until ctx ends.
func NewFollower(ctx context.Context, store platform.Store, opts ...FollowerOption) *Follower {
	f := &Follower{
		store:    store,
		waits:    defaultWaits(),
		log:      zerolog.Nop(),
		arrivals: make(chan arrival),
		roster:   newRoster(),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.current.Store(newSnapshot())
	f.wg.Go(func() { f.control(ctx) })
	f.wg.Go(func() { f.follow(ctx) })
	if f.exchange != nil {
		f.wg.Go(func() { f.survey(ctx) })
	}
	return f
}

// Wait returns when the following has ended, after the context has.
func (f *Follower) Wait() { f.wg.Wait() }

// View returns the newest view; it is never nil.
func (f *Follower) View() *ticket.View { return f.current.Load().view }

// Changed is closed at the next change of the view. Take it before View, so that no change is missed.
func (f *Follower) Changed() <-chan struct{} { return f.current.Load().changed }

// Fresh reports whether requests may be served by the view at now.
func (f *Follower) Fresh(now time.Time) bool { return f.current.Load().freshness.Fresh(now) }

// Outage reports whether the platform is known to be down at now, by more than half of the relays, and when
// any of them is last known to have reached it.
func (f *Follower) Outage(now time.Time) (reached time.Time, established bool) {
	freshness := f.current.Load().freshness
	return freshness.Confirmed, freshness.InOutage(now)
}

// Synced reports whether the view was fresh at any time since the start. Before, the host knows too
// little to serve.
func (f *Follower) Synced() bool { return f.current.Load().synced }

// State is the follower's state in the dump.
type State struct {
	Revision   uint64    `json:"revision"`
	LastTicket int       `json:"lastTicket"`
	Confirmed  time.Time `json:"confirmed,omitzero"`
	Outage     time.Time `json:"outage,omitzero"`
	Fresh      bool      `json:"fresh"`
	Synced     bool      `json:"synced"`
	Relay      bool      `json:"relay"`
	Followers  int       `json:"followers"`
	LastError  string    `json:"lastError,omitempty"`
}

// State returns the follower's state for the dump.
func (f *Follower) State() any {
	now := time.Now()
	s := f.current.Load()
	state := State{
		Revision:   s.view.Revision(),
		LastTicket: s.view.LastTicket(),
		Confirmed:  s.freshness.Confirmed,
		Outage:     s.freshness.OutageSeen,
		Fresh:      s.freshness.Fresh(now),
		Synced:     s.synced,
		Relay:      f.route().relay,
		Followers:  f.roster.count(now),
	}
	if failure := f.failure.Load(); failure != nil {
		state.LastError = *failure
	}
	return state
}

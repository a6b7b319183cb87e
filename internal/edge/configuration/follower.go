// Package configuration publishes tickets to the platform and follows the resulting configuration on every host.
//
// A ticket is a numbered change of the configuration. The platform stores the configuration as parts, which are
// named by their content hash, and as one head object, which lists the parts in force. The version of the head
// object is the revision of the configuration.
//
// Load pattern: a ticket comes every 15 s, thousands of hosts have to apply it within seconds, and the platform
// counts each waiting watch. Without relays, 2,580 watches would take more reads than the platform allows. So two
// entries of each availability zone watch the head object as relays, and all other hosts of the zone follow them by
// long polling. 44 relays that poll every 0.3 s make 150 of about two thousand reads a second. A relay with 58
// followers that poll every second sends and receives about 8 KB/s.
//
// A host serves requests from its view only while the view is known to be the newest or the platform is known to
// be down; see ticket.Freshness.
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

// HostDirectory lists the hosts from which the relays are chosen.
type HostDirectory interface {
	// Entries returns the live and leaving entries, sorted by host ID.
	Entries() []platform.Host
	// Hosts returns all hosts.
	Hosts() []platform.Host
}

// Self identifies this host and its availability zone.
type Self struct {
	HostID           string
	AvailabilityZone string
}

// timings holds the timeouts and intervals of a Follower's calls.
type timings struct {
	// platformWait is how long a watch of the head object waits.
	platformWait time.Duration
	// relayWait is how long a long poll of a relay waits.
	relayWait time.Duration
	// relaySlack and platformSlack are added to a wait before the call counts as failed. The platform is slow at
	// times, and a late response still brings a ticket.
	relaySlack    time.Duration
	platformSlack time.Duration
	// queryTimeout bounds a round of queries, in which some relays may not answer.
	queryTimeout time.Duration
	// retryPause is the mean pause after the first failure. It doubles with each further failure, up to
	// maxBackoffFactor times the first.
	retryPause time.Duration
	// directReadInterval is the mean time between direct reads of the platform by a host that reaches no relay.
	// If all 2,580 hosts read directly, they stay below 1,300 reads a second.
	directReadInterval time.Duration
	// surveyInterval is the time between rounds of queries to all relays at the start of an outage.
	surveyInterval time.Duration
	// longOutageSurveyInterval is the same in a long outage. 44 relays then send and receive about 12 KB/s each.
	longOutageSurveyInterval time.Duration
}

func defaultTimings() timings {
	return timings{
		platformWait:             300 * time.Millisecond,
		relayWait:                time.Second,
		relaySlack:               500 * time.Millisecond,
		queryTimeout:             250 * time.Millisecond,
		platformSlack:            2 * time.Second,
		retryPause:               300 * time.Millisecond,
		directReadInterval:       2 * time.Second,
		surveyInterval:           300 * time.Millisecond,
		longOutageSurveyInterval: 1500 * time.Millisecond,
	}
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithRelays makes the host follow the relays that are chosen from the directory. The host is a relay itself if
// it is one of the two live entries that serve as relays in its availability zone.
func WithRelays(relayClient RelayClient, directory HostDirectory, self Self) FollowerOption {
	return func(f *Follower) {
		f.relayClient = relayClient
		f.directory = directory
		f.self = self
	}
}

// WithLogger sets the log for changes of the view and for failed calls.
func WithLogger(log zerolog.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// Follower keeps the newest view that this host has received. It never goes back to an older one.
type Follower struct {
	store       platform.Store
	relayClient RelayClient
	directory   HostDirectory
	self        Self
	timings     timings
	log         zerolog.Logger

	current atomic.Pointer[snapshot]
	updates chan update
	reports *followerReports
	routes  membership.ListCache[route]
	// lastFailure is the error of the last step, for the debug state; nil if that step succeeded.
	lastFailure atomic.Pointer[string]
	wg          conc.WaitGroup
}

// NewFollower starts to follow the configuration until ctx is cancelled.
func NewFollower(ctx context.Context, store platform.Store, opts ...FollowerOption) *Follower {
	f := &Follower{
		store:   store,
		timings: defaultTimings(),
		log:     zerolog.Nop(),
		updates: make(chan update),
		reports: newFollowerReports(),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.current.Store(newSnapshot())
	f.wg.Go(func() { f.applyUpdates(ctx) })
	f.wg.Go(func() { f.follow(ctx) })
	if f.relayClient != nil {
		f.wg.Go(func() { f.survey(ctx) })
	}
	return f
}

// Wait waits for the goroutines to end after the context was cancelled.
func (f *Follower) Wait() { f.wg.Wait() }

// View returns the newest view; it is never nil.
func (f *Follower) View() *ticket.View { return f.current.Load().view }

// Changed returns a channel that is closed at the next change of the view. Call it before View to miss no change.
func (f *Follower) Changed() <-chan struct{} { return f.current.Load().changed }

// Fresh reports whether requests may be served from the view at now.
func (f *Follower) Fresh(now time.Time) bool { return f.current.Load().freshness.Fresh(now) }

// Outage reports whether an outage of the platform is established at now by more than half of the relays, and when
// the platform last confirmed the view, as far as this host knows.
func (f *Follower) Outage(now time.Time) (reached time.Time, established bool) {
	freshness := f.current.Load().freshness
	return freshness.Confirmed, freshness.InOutage(now)
}

// Synced reports whether the view has been fresh at any time since the start. Until then the host knows too little
// to serve requests.
func (f *Follower) Synced() bool { return f.current.Load().synced }

// State is the Follower's part of the debug state.
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

// State returns the Follower's part of the debug state.
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
		Followers:  f.reports.count(now),
	}
	if failure := f.lastFailure.Load(); failure != nil {
		state.LastError = *failure
	}
	return state
}

package configuration

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// staleAfter is the age of the view's confirmation above which a host that follows a relay looks for a better relay.
// The normal age is below 2 s, and FreshFor leaves a second for the search.
const staleAfter = 2 * time.Second

// maxBackoffFactor limits the mean pause after failures of a host that isn't a relay to 2.4 s. The host then reconnects
// within FreshFor, and if all hosts of the largest deployment search for a relay at once, each relay gets about 150
// queries a second.
//
// Relays don't back off. Outages are established by relays that have not read the platform lately, and count for
// FreshFor. A relay that still pauses when the platform is back would let an outage be established up to that pause
// later, and a key that is withdrawn in this time would be accepted for longer than 5 s. 44 relays that retry every
// 0.3 s make 150 reads a second.
const maxBackoffFactor = 8

// errStaleRelay is returned while no relay is up to date and the next direct read of the platform isn't due.
var errStaleRelay = errors.New("relay's confirmation is old")

// follow polls the platform or a relay, one call after the other, until ctx is cancelled.
func (f *Follower) follow(ctx context.Context) {
	state := followState{}
	backoff := 1
	for ctx.Err() == nil {
		err := f.followOnce(ctx, &state)
		f.recordResult(err)
		if err == nil {
			backoff = 1
			continue
		}
		ticker.Sleep(ctx, jitter(f.timings.retryPause*time.Duration(backoff)))
		backoff = min(2*backoff, maxBackoffFactor)
		if f.route().relay {
			backoff = 1
		}
	}
}

// recordResult keeps the result of the last step for the debug state.
func (f *Follower) recordResult(err error) {
	if err == nil {
		f.lastFailure.Store(nil)
		return
	}
	text := err.Error()
	f.lastFailure.Store(&text)
}

// followState is the state that the follow goroutine keeps between calls.
type followState struct {
	// relay is the followed relay; invalid if one has to be selected.
	relay netip.AddrPort
	// nextDirectRead is the earliest time for the next direct read of the platform. nextSearch is when a relay that
	// responds but isn't up to date is next compared with the others.
	nextDirectRead time.Time
	nextSearch     time.Time
}

func (f *Follower) followOnce(ctx context.Context, s *followState) error {
	route := f.route()
	if route.watchesPlatform() {
		return f.watchPlatform(ctx, f.timings.platformWait)
	}
	if !route.isNearby(s.relay) {
		s.relay = netip.AddrPort{}
	}
	if s.relay.IsValid() {
		result := f.queryRelay(ctx, s.relay, queryOptions{wait: f.timings.relayWait})
		if result.err == nil && (f.isUpToDate() || time.Now().Before(s.nextSearch)) {
			return nil
		}
	}
	return f.selectRelay(ctx, s, route)
}

// isUpToDate reports whether the view was confirmed recently enough or an outage is established.
func (f *Follower) isUpToDate() bool {
	freshness := f.current.Load().freshness
	now := time.Now()
	return freshness.InOutage(now) || age(now, freshness.Confirmed) <= staleAfter && !freshness.Confirmed.IsZero()
}

// selectRelay queries all nearby relays at once and applies every response, so that a host that starts or was
// partitioned gets the highest of their revisions, not that of the first to respond. If none is up to date, the
// platform is read directly, at jittered times.
//
// A relay that responds is followed even if its confirmation is old. This guards against rejected requests at the
// start of an outage: the relays' confirmations get old first, and a host that paused then would miss the response
// by which its relay reports the outage.
func (f *Follower) selectRelay(ctx context.Context, s *followState, route route) error {
	s.relay = f.freshestRelay(ctx, route.nearby)
	s.nextSearch = time.Now().Add(jitter(f.timings.directReadInterval))
	if s.relay.IsValid() && f.isUpToDate() {
		return nil
	}
	err := f.readPlatformIfDue(ctx, s)
	if s.relay.IsValid() {
		return nil
	}
	return err
}

// readPlatformIfDue reads the platform if the next direct read is due. The timeout is short if there is a relay to
// go back to.
func (f *Follower) readPlatformIfDue(ctx context.Context, s *followState) error {
	now := time.Now()
	if now.Before(s.nextDirectRead) {
		return errStaleRelay
	}
	s.nextDirectRead = now.Add(jitter(f.timings.directReadInterval))
	limit := f.timings.platformSlack
	if s.relay.IsValid() {
		limit = f.timings.relaySlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f.watchPlatform(ctx, 0)
}

// freshestRelay returns the relay with the newest confirmation or outage; an invalid address if none responded.
func (f *Follower) freshestRelay(ctx context.Context, relays []netip.AddrPort) netip.AddrPort {
	results := f.queryRelays(ctx, relays)
	best := netip.AddrPort{}
	newest := time.Time{}
	for i, result := range results {
		if result.err != nil {
			continue
		}
		known := later(result.freshness.Confirmed, result.freshness.OutageSeen)
		if !best.IsValid() || known.After(newest) {
			best, newest = relays[i], known
		}
	}
	return best
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// relayResult is the result of querying one relay.
type relayResult struct {
	freshness ticket.Freshness
	voter     bool
	err       error
}

// queryRelays queries all relays at once without long polling, and applies their responses.
//
// A host that isn't synced applies the freshness only after all queries have ended. This guards against a withdrawn key
// that works again on a restarted host: a relay that was confirmed just before the withdrawal responds first, and the
// host would start to serve while the response with the withdrawal is still in flight.
func (f *Follower) queryRelays(ctx context.Context, relays []netip.AddrPort) []relayResult {
	starting := !f.Synced()
	limited, cancel := context.WithTimeout(ctx, f.timings.queryTimeout)
	defer cancel()
	results := make([]relayResult, len(relays))
	var wg conc.WaitGroup
	for i, relay := range relays {
		wg.Go(func() { results[i] = f.queryRelay(limited, relay, queryOptions{ignoreFreshness: starting}) })
	}
	wg.Wait()
	if starting {
		if err := f.submit(ctx, update{freshness: newestFreshness(results)}); err != nil {
			f.recordResult(err)
		}
	}
	return results
}

// newestFreshness returns the newest confirmation and the newest outage of the results.
func newestFreshness(results []relayResult) ticket.Freshness {
	known := ticket.Freshness{}
	for _, result := range results {
		if result.err == nil {
			known = known.Merge(result.freshness)
		}
	}
	return known
}

// queryOptions configures a query to a relay.
type queryOptions struct {
	// wait is how long the relay may hold the request.
	wait time.Duration
	// ignoreFreshness leaves it to the caller to apply the freshness of the response.
	ignoreFreshness bool
}

// queryRelay sends one request to a relay and applies the response.
func (f *Follower) queryRelay(ctx context.Context, relay netip.AddrPort, opts queryOptions) relayResult {
	ctx, cancel := context.WithTimeout(ctx, opts.wait+f.timings.relaySlack)
	defer cancel()
	known := f.current.Load()
	view := known.view
	requestedAt := time.Now()
	response, err := f.relayClient.Follow(ctx, relay, FollowRequest{
		HostID: f.self.HostID, Revision: view.Revision(), Ticket: view.LastTicket(), Wait: opts.wait,
	})
	if err != nil {
		return relayResult{err: errors.Wrapf(err, "relay %s", relay)}
	}
	head, err := known.resolveHead(response)
	if err != nil {
		return relayResult{err: errors.Wrapf(err, "relay %s", relay)}
	}
	freshness := response.freshness(requestedAt)
	u := update{revision: response.Revision, head: head, freshness: freshness}
	if opts.ignoreFreshness {
		u.freshness = ticket.Freshness{}
	}
	err = f.submitHead(ctx, u, func(ctx context.Context, hashes []string) (map[string][]byte, error) {
		return f.relayParts(ctx, relay, hashes)
	})
	return relayResult{freshness: freshness, voter: response.Voter, err: errors.Wrapf(err, "relay %s", relay)}
}

// watchPlatform waits for a newer head on the platform. The time before the request counts as the time of the
// confirmation, since the response may have been in flight for long, or this host may have been suspended.
func (f *Follower) watchPlatform(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+f.timings.platformSlack)
	defer cancel()
	revision := f.View().Revision()
	requestedAt := time.Now()
	object, err := f.store.Watch(ctx, ticket.HeadObject, platform.Version(revision), wait)
	confirmed := ticket.Freshness{Confirmed: requestedAt}
	if errors.Is(err, platform.ErrNotFound) && revision == 0 {
		return f.submit(ctx, update{freshness: confirmed, voter: true})
	}
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	found := uint64(object.Version)
	if found < revision {
		return errors.Wrapf(ErrReverted, "version %d after %d", found, revision)
	}
	u := update{revision: found, head: object.Value, freshness: confirmed, voter: true}
	return f.submitHead(ctx, u, f.platformParts)
}

// submitHead fetches the missing parts and submits the update.
func (f *Follower) submitHead(ctx context.Context, u update, fetch func(context.Context, []string) (map[string][]byte, error)) error {
	s := f.current.Load()
	if u.revision <= s.view.Revision() {
		return f.submit(ctx, u)
	}
	head, err := ticket.DecodeHead(u.head)
	if err != nil {
		return err
	}
	missing := hashesNotIn(s.missingParts(head), u.parts)
	fetched, err := fetch(ctx, missing)
	if err != nil {
		return err
	}
	u.parts = mergeParts(u.parts, fetched)
	return f.submit(ctx, u)
}

func jitter(mean time.Duration) time.Duration {
	const maxDeviation = 0.3
	return time.Duration(float64(mean) * (1 - maxDeviation + 2*maxDeviation*rand.Float64()))
}

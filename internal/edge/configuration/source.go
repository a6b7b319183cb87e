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

// switchAfter is how old the view's confirmation may be before a host that follows a relay looks for
// a better one: the normal age is below 2 s, and FreshFor leaves a second for the search.
const switchAfter = 2 * time.Second

// maxBackoff bounds the pause of a host that isn't a relay after failures to 2.4 s: it finds the way back
// within FreshFor, and all hosts of the largest deployment that look around at once ask each relay about
// 150 times a second.
//
// Relays don't back off. Outages are established by relays that have read nothing lately, and count for
// FreshFor; a relay that still pauses when the platform is back would let one be established up to that
// pause later, and a key withdrawn meanwhile be served for longer than 5 s. 44 relays that try every 0.3 s
// make 150 reads a second.
const maxBackoff = 8

// errStale is the reason to look for another relay.
var errStale = errors.New("relay's confirmation is old")

// follow is the goroutine that asks the platform or a relay, one call after the other.
func (f *Follower) follow(ctx context.Context) {
	search := search{}
	backoff := 1
	for ctx.Err() == nil {
		err := f.followOnce(ctx, &search)
		f.note(err)
		if err == nil {
			backoff = 1
			continue
		}
		ticker.Sleep(ctx, jitter(f.waits.retry*time.Duration(backoff)))
		backoff = min(2*backoff, maxBackoff)
		if f.route().relay {
			backoff = 1
		}
	}
}

// note keeps the outcome of the last step for the dump.
func (f *Follower) note(err error) {
	if err == nil {
		f.failure.Store(nil)
		return
	}
	text := err.Error()
	f.failure.Store(&text)
}

// search is what the follow goroutine remembers between calls.
type search struct {
	// relay is the one being followed; invalid while a search is due.
	relay netip.AddrPort
	// direct is when the platform may next be read directly, look when a relay that answers but isn't up
	// to date is next compared with others.
	direct time.Time
	look   time.Time
}

func (f *Follower) followOnce(ctx context.Context, s *search) error {
	route := f.route()
	if route.direct() {
		return f.watchPlatform(ctx, f.waits.platform)
	}
	if !route.follows(s.relay) {
		s.relay = netip.AddrPort{}
	}
	if s.relay.IsValid() {
		answer := f.ask(ctx, s.relay, query{wait: f.waits.relay})
		if answer.err == nil && (f.settled() || time.Now().Before(s.look)) {
			return nil
		}
	}
	return f.lookAround(ctx, s, route)
}

// settled reports whether the view is confirmed recently enough, or an outage is known.
func (f *Follower) settled() bool {
	freshness := f.current.Load().freshness
	now := time.Now()
	return freshness.InOutage(now) || age(now, freshness.Confirmed) <= switchAfter && !freshness.Confirmed.IsZero()
}

// lookAround asks all relays near by at once and takes in every answer, so that a host which starts
// or was cut off gets the highest revision of them and not that of the first to answer. Where none is
// up to date the platform is read directly, at jittered times.
//
// A relay that answers is followed even if its confirmation is old. It guards against a gap at the start of
// an outage: the relays' confirmations grow old first, and a host that paused then would miss the answer by
// which its relay tells it of the outage, and refuse.
func (f *Follower) lookAround(ctx context.Context, s *search, route route) error {
	s.relay = f.askAll(ctx, route.near)
	s.look = time.Now().Add(jitter(f.waits.direct))
	if s.relay.IsValid() && f.settled() {
		return nil
	}
	err := f.readDirectly(ctx, s)
	if s.relay.IsValid() {
		return nil
	}
	return err
}

// readDirectly reads the platform if that is due; only briefly where there is a relay to go back to.
func (f *Follower) readDirectly(ctx context.Context, s *search) error {
	now := time.Now()
	if now.Before(s.direct) {
		return errStale
	}
	s.direct = now.Add(jitter(f.waits.direct))
	limit := f.waits.platformSlack
	if s.relay.IsValid() {
		limit = f.waits.relaySlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f.watchPlatform(ctx, 0)
}

// askAll returns the relay whose confirmation is the newest; an invalid address if none answered.
func (f *Follower) askAll(ctx context.Context, relays []netip.AddrPort) netip.AddrPort {
	answers := f.round(ctx, relays)
	best := netip.AddrPort{}
	newest := time.Time{}
	for i, answer := range answers {
		if answer.err != nil {
			continue
		}
		known := later(answer.freshness.Confirmed, answer.freshness.OutageSeen)
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

// answered is one relay's part in a round of questions.
type answered struct {
	freshness ticket.Freshness
	voter     bool
	err       error
}

// round asks all relays at once without a wait, and takes in what they know.
//
// A host that isn't synced takes in how fresh their views are only when the round is over. It guards against
// a withdrawn key that works again on a restarted host: the first answer, of a relay that was confirmed just
// before the withdrawal, would make the host serve while the answer with the withdrawal is under way.
func (f *Follower) round(ctx context.Context, relays []netip.AddrPort) []answered {
	starting := !f.Synced()
	limited, cancel := context.WithTimeout(ctx, f.waits.round)
	defer cancel()
	answers := make([]answered, len(relays))
	var wg conc.WaitGroup
	for i, relay := range relays {
		wg.Go(func() { answers[i] = f.ask(limited, relay, query{headOnly: starting}) })
	}
	wg.Wait()
	if starting {
		if err := f.deliver(ctx, arrival{freshness: newest(answers)}); err != nil {
			f.note(err)
		}
	}
	return answers
}

// newest returns the newest confirmation and the newest outage among the answers.
func newest(answers []answered) ticket.Freshness {
	known := ticket.Freshness{}
	for _, answer := range answers {
		if answer.err == nil {
			known = known.Merge(answer.freshness)
		}
	}
	return known
}

// query is a question to a relay.
type query struct {
	// wait is how long the relay may keep it.
	wait time.Duration
	// headOnly leaves it to the caller to take in how fresh the relay's view is.
	headOnly bool
}

// ask puts one question to a relay and takes in the answer.
func (f *Follower) ask(ctx context.Context, relay netip.AddrPort, q query) answered {
	ctx, cancel := context.WithTimeout(ctx, q.wait+f.waits.relaySlack)
	defer cancel()
	known := f.current.Load()
	view := known.view
	asked := time.Now()
	answer, err := f.exchange.Follow(ctx, relay, FollowAsk{
		HostID: f.self.HostID, Revision: view.Revision(), Ticket: view.LastTicket(), Wait: q.wait,
	})
	if err != nil {
		return answered{err: errors.Wrapf(err, "relay %s", relay)}
	}
	head, err := known.headOf(answer)
	if err != nil {
		return answered{err: errors.Wrapf(err, "relay %s", relay)}
	}
	freshness := answer.freshness(asked)
	a := arrival{revision: answer.Revision, head: head, freshness: freshness}
	if q.headOnly {
		a.freshness = ticket.Freshness{}
	}
	err = f.takeHead(ctx, a, func(ctx context.Context, hashes []string) (map[string][]byte, error) {
		return f.relayParts(ctx, relay, hashes)
	})
	return answered{freshness: freshness, voter: answer.Voter, err: errors.Wrapf(err, "relay %s", relay)}
}

// watchPlatform asks the platform for a newer head. The time before the question is what counts as
// confirmed: the answer may have been under way for long, or this host paused.
func (f *Follower) watchPlatform(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+f.waits.platformSlack)
	defer cancel()
	revision := f.View().Revision()
	asked := time.Now()
	object, err := f.store.Watch(ctx, ticket.HeadObject, platform.Version(revision), wait)
	confirmed := ticket.Freshness{Confirmed: asked}
	if errors.Is(err, platform.ErrNotFound) && revision == 0 {
		return f.deliver(ctx, arrival{freshness: confirmed, voter: true})
	}
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	found := uint64(object.Version)
	if found < revision {
		return errors.Wrapf(ErrReverted, "version %d after %d", found, revision)
	}
	a := arrival{revision: found, head: object.Value, freshness: confirmed, voter: true}
	return f.takeHead(ctx, a, f.platformParts)
}

// takeHead fetches the parts that are not at hand and delivers the arrival.
func (f *Follower) takeHead(ctx context.Context, a arrival, fetch func(context.Context, []string) (map[string][]byte, error)) error {
	s := f.current.Load()
	if a.revision <= s.view.Revision() {
		return f.deliver(ctx, a)
	}
	head, err := ticket.DecodeHead(a.head)
	if err != nil {
		return err
	}
	missing := absent(s.missing(head), a.parts)
	fetched, err := fetch(ctx, missing)
	if err != nil {
		return err
	}
	a.parts = joined(a.parts, fetched)
	return f.deliver(ctx, a)
}

func jitter(mean time.Duration) time.Duration {
	const share = 0.3
	return time.Duration(float64(mean) * (1 - share + 2*share*rand.Float64()))
}

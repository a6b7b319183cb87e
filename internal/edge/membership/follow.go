package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// waitShare of the interval is how long a relay keeps a question that came before its read has ended. It
	// is short, since a relay that drains waits for the questions it keeps.
	waitShare = 1.0 / 8
	// spreadShare of the interval spreads the questions of a relay's followers after its read.
	spreadShare = 1.0 / 20
	// staleShare of the interval is the age from which a relay is passed over: it missed two reads.
	staleShare = 3
	// directShare of the interval is the mean time between direct reads of a host that no relay helps:
	// 2,580 hosts at once then make about 320 reads a second of two thousand.
	directShare = 2
	// relaySlack is added to a wait before the question counts as failed.
	relaySlack = time.Second
)

// errOlder says that a relay's list is not newer than the held one.
var errOlder = errors.New("relay's list is not newer")

// search is what the polling goroutine remembers between steps.
type search struct {
	// relay is the one that is followed; invalid while none is.
	relay netip.AddrPort
	// direct is when the platform may next be read by a host that is no relay.
	direct time.Time
}

// step brings the list up to date once and returns the pause until the next step.
func (l *List) step(ctx context.Context, s *search) time.Duration {
	r := l.route()
	if r.relay || len(r.near) == 0 || l.current.Load().digest == 0 {
		if l.poll(ctx) {
			return jitter(l.interval)
		}
		// A relay that can't reach the platform may still reach a relay that can.
		l.askAround(ctx, r.near)
		return jitter(share(l.interval, retryShare))
	}
	if due, ok := l.follow(ctx, s, r.near); ok {
		return max(due, share(l.interval, retryShare)) + rand.N(share(l.interval, spreadShare))
	}
	if now := time.Now(); !now.Before(s.direct) {
		s.direct = now.Add(jitter(directShare * l.interval))
		l.poll(ctx)
	}
	return jitter(l.interval)
}

// follow asks the relay that is followed, and the others where it doesn't answer or its list is stale. It
// returns when the relay reads the list again, and false if no relay has a list that is recent enough.
func (l *List) follow(ctx context.Context, s *search, near []netip.AddrPort) (time.Duration, bool) {
	if !slices.Contains(near, s.relay) {
		s.relay = near[0]
	}
	due, err := l.ask(ctx, s.relay, share(l.interval, waitShare))
	if (err == nil || errors.Is(err, errOlder)) && l.recent() {
		return due, true
	}
	others := slices.DeleteFunc(slices.Clone(near), func(a netip.AddrPort) bool { return a == s.relay })
	s.relay, due = l.askAround(ctx, others)
	return due, s.relay.IsValid()
}

// askAround asks the relays in turn until one has a list that is recent and newer, and returns that one
// and when it reads the list again.
func (l *List) askAround(ctx context.Context, relays []netip.AddrPort) (netip.AddrPort, time.Duration) {
	for _, relay := range relays {
		if due, err := l.ask(ctx, relay, 0); err == nil && l.recent() {
			return relay, due
		}
	}
	return netip.AddrPort{}, 0
}

// recent reports whether the held list was read from the platform not long ago.
func (l *List) recent() bool {
	s := l.current.Load()
	return !s.read.IsZero() && age(time.Now(), s.read) <= staleShare*l.interval
}

// ask puts one question to a relay and takes its list if that was read later than the held one.
//
// Guard: a relay that was cut off or paused answers with an old list; without the comparison a host that
// was stopped would be live again here and get requests. The age travels along, and a list only ever
// gives way to one that was read from the platform later.
func (l *List) ask(ctx context.Context, relay netip.AddrPort, wait time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relaySlack)
	defer cancel()
	held := l.current.Load()
	asked := time.Now()
	answer, err := l.exchange.Changes(ctx, relay, ChangesAsk{Digest: held.digest, Wait: wait})
	if err != nil {
		return 0, errors.Wrapf(err, "relay %s", relay)
	}
	read := answer.read(asked)
	if answer.Digest == 0 || !read.After(held.read) && held.digest != 0 {
		return answer.Due, errors.Wrapf(errOlder, "relay %s", relay)
	}
	next, err := held.apply(answer, read)
	if err != nil {
		return 0, errors.Wrapf(err, "relay %s", relay)
	}
	l.publish(next)
	return answer.Due, nil
}

func share(of time.Duration, part float64) time.Duration { return time.Duration(float64(of) * part) }

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
	// directShare of the interval is the mean time between the tries of a host that no relay helps, each a
	// round of questions and a read. In an outage 2,580 hosts then make about 280 reads a second of the two
	// thousand that the platform takes, and a relay is asked about 40 times a second.
	directShare = 3
	// missedShare of the interval is the age from which a relay concludes that a turn was missed.
	missedShare = 1.5
	// relaySlack is added to a wait before the question counts as failed.
	relaySlack = time.Second
)

// errOlder says that a relay's list is not newer than the held one.
var errOlder = errors.New("relay's list is not newer")

// search is what the polling goroutine remembers between steps.
type search struct {
	// relay is the one that is followed; invalid while none is.
	relay netip.AddrPort
}

// step brings the list up to date once and returns the pause until the next step.
func (l *List) step(ctx context.Context, s *search) time.Duration {
	r := l.route()
	switch {
	case l.current.Load().digest == 0, len(r.near) == 0:
		if l.poll(ctx) {
			return jitter(l.interval)
		}
		return jitter(share(l.interval, retryShare))
	case r.relay:
		l.takeTurn(ctx, r)
		return l.untilTurn(time.Now(), r)
	}
	if due, ok := l.follow(ctx, s, r.near); ok {
		return max(due, share(l.interval, retryShare)) + rand.N(share(l.interval, spreadShare))
	}
	l.poll(ctx)
	return jitter(directShare * l.interval)
}

// turn is the place of the relay that reads now. Relays take turns by the wall clock. A relay whose clock is
// off asks one that has not read yet, and is helped like one whose reader died.
func (l *List) turn(now time.Time, r route) int {
	return int(now.UnixNano()/int64(l.interval)) % len(r.readers)
}

// takeTurn reads the platform's list if it is this relay's turn, and otherwise asks the relay whose turn it
// is. Of 44 relays that read 342 KB each one reads every 132 s, which is 2.6 KB/s; were all of them to read
// every 3 s, each would receive 114 KB/s.
//
// Guard: a reader that is gone or cut off, which shows as a list that missed a read. The relays then ask
// those near by after a moment of random length and read themselves if none of these has read meanwhile.
func (l *List) takeTurn(ctx context.Context, r route) {
	turn := l.turn(time.Now(), r)
	if turn == r.self {
		l.poll(ctx)
		return
	}
	_, _ = l.ask(ctx, r.readers[turn], share(l.interval, waitShare)) // the age tells whether it helped
	if l.younger(missedShare) {
		return
	}
	rest(ctx, rand.N(share(l.interval, waitShare)))
	l.askAround(ctx, r.near)
	if !l.younger(missedShare) {
		l.poll(ctx)
	}
}

// untilTurn is the time until the next turn begins, with the time that its reader needs.
func (l *List) untilTurn(now time.Time, r route) time.Duration {
	left := l.interval - time.Duration(now.UnixNano()%int64(l.interval))
	if l.turn(now.Add(left), r) == r.self {
		return left
	}
	return left + share(l.interval, spreadShare) + rand.N(share(l.interval, spreadShare))
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
func (l *List) recent() bool { return l.younger(staleShare) }

// younger reports whether the held list's age is below that share of the interval.
func (l *List) younger(part float64) bool {
	s := l.current.Load()
	return !s.read.IsZero() && age(time.Now(), s.read) <= share(l.interval, part)
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
	answer, err := l.exchange.Changes(ctx, relay, ChangesAsk{Digest: held.digest, Age: age(asked, held.read), Wait: wait})
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

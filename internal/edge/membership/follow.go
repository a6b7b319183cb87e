package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// The factors are multiples of the interval.
const (
	// waitFactor gives how long a relay holds a request that arrives before its read has ended. It is short,
	// because a relay that drains waits for the requests that it holds.
	waitFactor = 1.0 / 8
	// spreadFactor gives the time over which the requests of a relay's followers are spread after its read.
	spreadFactor = 1.0 / 20
	// staleFactor gives the age at which a list is too old to be taken from a relay: it has missed two reads.
	staleFactor = 3
	// directFactor gives the mean time between the attempts of a host that gets no list from any relay. Each attempt sends
	// requests to its relays and reads the platform. In an outage 2,580 hosts then make about 280 reads a second, of the two
	// thousand that the platform can take, and each relay receives about 40 requests a second.
	directFactor = 3
	// missedFactor gives the age of the list at which a relay concludes that another one has missed its turn.
	missedFactor = 1.5
	// requestTimeoutMargin is added to the wait of a request to get its timeout.
	requestTimeoutMargin = time.Second
)

// errNotNewer is returned if a relay's list was not read later than the held one.
var errNotNewer = errors.New("relay's list is not newer")

// followState is the state that the polling goroutine keeps between refreshes.
type followState struct {
	// relay is the relay that this host follows; invalid if there is none.
	relay netip.AddrPort
}

// refresh brings the list up to date once and returns the pause until the next refresh.
func (l *List) refresh(ctx context.Context, s *followState) time.Duration {
	r := l.route()
	switch {
	case l.current.Load().digest == 0, len(r.nearby) == 0:
		if l.readPlatform(ctx) {
			return jitter(l.interval)
		}
		return jitter(scale(l.interval, retryFactor))
	case r.isRelay:
		l.refreshAsRelay(ctx, r)
		return l.untilNextTurn(time.Now(), r)
	}
	if untilNextRead, ok := l.follow(ctx, s, r.nearby); ok {
		return max(untilNextRead, scale(l.interval, retryFactor)) + rand.N(scale(l.interval, spreadFactor))
	}
	l.readPlatform(ctx)
	return jitter(directFactor * l.interval)
}

// readerIndex returns the index of the relay whose turn it is to read the platform. Relays take turns by the wall clock.
// A relay whose clock is wrong sends its request to one that has not read yet, and then gets the list as if the reader
// had failed.
func (l *List) readerIndex(now time.Time, r route) int {
	return int(now.UnixNano()/int64(l.interval)) % len(r.relays)
}

// refreshAsRelay reads the platform's list if it is this relay's turn, and otherwise requests the changes from the relay
// whose turn it is. Of 44 relays that read 342 KB each, every one reads every 132 s, which is 2.6 KB/s. If all of them
// read every 3 s, each would receive 114 KB/s.
//
// A reader that has failed or is cut off is noticed because the list gets older than the time between two reads. The other
// relays then try nearby relays after a random delay, and read the platform themselves if none of these has read it meanwhile.
func (l *List) refreshAsRelay(ctx context.Context, r route) {
	reader := l.readerIndex(time.Now(), r)
	if reader == r.selfIndex {
		l.readPlatform(ctx)
		return
	}
	_, _ = l.requestChanges(ctx, r.relays[reader], scale(l.interval, waitFactor)) // the list's age shows whether it succeeded
	if l.isYoungerThan(missedFactor) {
		return
	}
	sleep(ctx, rand.N(scale(l.interval, waitFactor)))
	l.tryRelays(ctx, r.nearby)
	if !l.isYoungerThan(missedFactor) {
		l.readPlatform(ctx)
	}
}

// untilNextTurn returns the time until the next turn begins. If it is another relay's turn, the result includes the time that
// the reader needs.
func (l *List) untilNextTurn(now time.Time, r route) time.Duration {
	left := l.interval - time.Duration(now.UnixNano()%int64(l.interval))
	if l.readerIndex(now.Add(left), r) == r.selfIndex {
		return left
	}
	return left + scale(l.interval, spreadFactor) + rand.N(scale(l.interval, spreadFactor))
}

// follow requests changes from the followed relay, and from the other ones if it doesn't answer or its list is stale. It returns
// the time until the relay reads the list again, and false if no relay has a recent list.
func (l *List) follow(ctx context.Context, s *followState, nearby []netip.AddrPort) (time.Duration, bool) {
	if !slices.Contains(nearby, s.relay) {
		s.relay = nearby[0]
	}
	untilNextRead, err := l.requestChanges(ctx, s.relay, scale(l.interval, waitFactor))
	if (err == nil || errors.Is(err, errNotNewer)) && l.isRecent() {
		return untilNextRead, true
	}
	others := slices.DeleteFunc(slices.Clone(nearby), func(a netip.AddrPort) bool { return a == s.relay })
	s.relay, untilNextRead = l.tryRelays(ctx, others)
	return untilNextRead, s.relay.IsValid()
}

// tryRelays requests changes from one relay after the other until one has a list that is recent and newer than the held
// one. It returns that relay and the time until it reads the list again.
func (l *List) tryRelays(ctx context.Context, relays []netip.AddrPort) (netip.AddrPort, time.Duration) {
	for _, relay := range relays {
		if untilNextRead, err := l.requestChanges(ctx, relay, 0); err == nil && l.isRecent() {
			return relay, untilNextRead
		}
	}
	return netip.AddrPort{}, 0
}

// isRecent reports whether the held list is not stale.
func (l *List) isRecent() bool { return l.isYoungerThan(staleFactor) }

// isYoungerThan reports whether the age of the held list is at most the given multiple of the interval.
func (l *List) isYoungerThan(factor float64) bool {
	s := l.current.Load()
	return !s.readAt.IsZero() && age(time.Now(), s.readAt) <= scale(l.interval, factor)
}

// requestChanges sends one request to a relay and publishes its list if that was read later than the held one. It returns the
// time until the relay reads the list again.
//
// A relay that was cut off or paused answers with an old list. Without the comparison a host that was stopped would be listed
// as live again on this host and get requests. The age is part of the answer, so that a list is only replaced by one that
// was read from the platform later.
func (l *List) requestChanges(ctx context.Context, relay netip.AddrPort, wait time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeoutMargin)
	defer cancel()
	held := l.current.Load()
	requestedAt := time.Now()
	answer, err := l.relayClient.Changes(ctx, relay, ChangesRequest{Digest: held.digest, Age: age(requestedAt, held.readAt), Wait: wait})
	if err != nil {
		return 0, errors.Wrapf(err, "relay %s", relay)
	}
	readAt := answer.readAt(requestedAt)
	if answer.Digest == 0 || !readAt.After(held.readAt) && held.digest != 0 {
		return answer.UntilNextRead, errors.Wrapf(errNotNewer, "relay %s", relay)
	}
	next, err := held.apply(answer, readAt)
	if err != nil {
		return 0, errors.Wrapf(err, "relay %s", relay)
	}
	l.publish(next)
	return answer.UntilNextRead, nil
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

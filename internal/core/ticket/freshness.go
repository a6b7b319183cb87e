package ticket

import "time"

// FreshFor is how long a view may be served by after the platform last confirmed that it is the
// newest. A key is to be refused everywhere within 5 s of its withdrawal's acceptance: 3 s leave 2 s
// for cancelling streams and for the clocks' rounding. It is nearly twice the age that a host sees
// in normal running (up to 0.6 s at a relay, one second more at the hosts that follow it).
const FreshFor = 3 * time.Second

// OutageAfter is how old the confirmations of all relays that answer must be for an outage of the
// platform. A relay asks every 0.3 s, so that its confirmation is at most about 0.6 s old in normal
// running. The outage is established up to 0.8 s after that age is reached (a round that came too early and
// the next one: 0.25 s each for relays that don't answer, 0.3 s between), before the first view is older than
// FreshFor, so that nobody refuses at its start.
const OutageAfter = time.Second

// Freshness is what a host knows about how new its view is. Both times are safe bounds: the moment
// before the question was asked whose answer they come from.
type Freshness struct {
	// Confirmed is when the platform last confirmed the view, here or at a relay that passed it on.
	Confirmed time.Time
	// Outage is when an outage of the platform was last established, here or at a relay.
	Outage time.Time
}

// Fresh reports whether requests may be served at now.
//
// It guards against a host that is cut off while a key is withdrawn elsewhere: it would go on serving
// the key for as long as the cut lasts. Such a host hears neither the platform nor most of the relays,
// so both times grow old and it refuses. In an outage of the platform no ticket can be accepted, so
// the view stays the newest however old its confirmation is.
func (f Freshness) Fresh(now time.Time) bool {
	return within(now, f.Confirmed, FreshFor) || within(now, f.Outage, FreshFor)
}

// InOutage reports whether an outage of the platform is established at now.
func (f Freshness) InOutage(now time.Time) bool { return within(now, f.Outage, FreshFor) }

// Later returns the newer of both kinds of knowledge.
func (f Freshness) Later(other Freshness) Freshness {
	return Freshness{Confirmed: later(f.Confirmed, other.Confirmed), Outage: later(f.Outage, other.Outage)}
}

// OutageEstablished judges one round of questions to all relays: relays is their number, asked the
// moment before the round, and confirmed the confirmation times of those that answered and are
// voters, this host included if it is one. More than half have to answer, since a minority could be cut off together
// with this host, and none may hold a confirmation from OutageAfter before asked or later.
func OutageEstablished(asked time.Time, relays int, confirmed []time.Time) bool {
	if 2*len(confirmed) <= relays {
		return false
	}
	for _, at := range confirmed {
		if within(asked, at, OutageAfter) {
			return false
		}
	}
	return true
}

// within measures by both clocks: the monotonic one misses a suspended machine, the wall clock a step.
func within(now, since time.Time, span time.Duration) bool {
	if since.IsZero() {
		return false
	}
	age := max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
	return age <= span
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

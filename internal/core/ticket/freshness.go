package ticket

import "time"

// FreshFor is how long a host may serve requests from a view after the platform last confirmed that the view
// is the newest. Every host must reject a key within 5 s after its withdrawal was accepted; 3 s leave 2 s for
// cancelling streams and for the rounding of clocks. It is nearly twice the age that a confirmation reaches in
// normal operation: up to 0.6 s at a relay, and one second more at the hosts that follow it.
const FreshFor = 3 * time.Second

// OutageAfter is the age that the confirmations of all answering relays must exceed for an outage of the
// platform to be established. A relay polls the platform every 0.3 s, so that its confirmation is at most about
// 0.6 s old in normal operation. The outage is established up to 0.8 s after that age is reached: a round of
// queries that came too early and the next one wait up to 0.25 s each for relays that don't answer, with 0.3 s
// in between. That is before the first view gets older than FreshFor, so that no host rejects requests when an
// outage starts.
const OutageAfter = time.Second

// Freshness holds the evidence that a host's view is still the newest. Both times are conservative: each is
// taken before the query was sent that gave the evidence.
type Freshness struct {
	// Confirmed is when the platform last confirmed the view to this host, or to a relay that forwarded the
	// confirmation.
	Confirmed time.Time
	// OutageSeen is when this host or a relay last established an outage of the platform.
	OutageSeen time.Time
}

// Fresh reports whether requests may be served from the view at now.
//
// It guards against a partitioned host that goes on accepting a key which was withdrawn elsewhere, for as long
// as the partition lasts. Such a host reaches neither the platform nor most of the relays, so that both times
// get too old and it rejects requests. In an outage of the platform no ticket can be accepted, so that the view
// stays the newest however old its confirmation is.
func (f Freshness) Fresh(now time.Time) bool {
	return isRecent(now, f.Confirmed, FreshFor) || isRecent(now, f.OutageSeen, FreshFor)
}

// InOutage reports whether an outage of the platform is established at now.
func (f Freshness) InOutage(now time.Time) bool { return isRecent(now, f.OutageSeen, FreshFor) }

// Merge combines the evidence of both: the later confirmation and the later outage.
func (f Freshness) Merge(other Freshness) Freshness {
	return Freshness{Confirmed: later(f.Confirmed, other.Confirmed), OutageSeen: later(f.OutageSeen, other.OutageSeen)}
}

// OutageEstablished reports whether one round of queries to all relays establishes an outage of the platform.
// Relays is the number of relays, and roundStart is a time before the first query. Confirmed holds the confirmation times
// of the voters, the relays that count for this decision, that answered, including this host if it is a voter.
// More than half of the relays have to answer, since a minority could be partitioned together with this host,
// and no confirmation may be from the period OutageAfter before roundStart, or later.
func OutageEstablished(roundStart time.Time, relays int, confirmed []time.Time) bool {
	if 2*len(confirmed) <= relays {
		return false
	}
	for _, confirmation := range confirmed {
		if isRecent(roundStart, confirmation, OutageAfter) {
			return false
		}
	}
	return true
}

// isRecent reports whether since is at most maxAge before now by both clocks. The monotonic clock may stop
// while the machine is suspended, and the wall clock may be set back.
func isRecent(now, since time.Time, maxAge time.Duration) bool {
	if since.IsZero() {
		return false
	}
	age := max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
	return age <= maxAge
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

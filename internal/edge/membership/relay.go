package membership

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// relaysPerZone lets one relay of a zone die without a host of the zone looking elsewhere.
	relaysPerZone = 2
	// neighbourZones is how many other zones' relays are the second choice.
	neighbourZones = 2
	// relayPurpose is another than that of the configuration's relays: a host that serves both to 58 others
	// would send and receive about 20 KB/s, with 15 KB/s allowed.
	relayPurpose = "hostList/"
	// maxWait bounds how long a relay keeps a question, and with it how long its drain may wait for one.
	maxWait = time.Second
)

// Self is this host's place among the others.
type Self struct {
	HostID           string
	AvailabilityZone string
}

// Register serves the list to hosts that start in an outage of the platform, and its changes to the hosts
// that follow this one. Every host serves both: which hosts are relays changes with the list.
func (l *List) Register(registry *peer.Registry) {
	peer.Handle(registry, MethodHosts, func(context.Context, HostsAsk) (HostsAnswer, error) {
		return HostsAnswer{Hosts: l.Hosts()}, nil
	})
	peer.Handle(registry, MethodChanges, l.HandleChanges)
}

// HandleChanges answers at once if this host holds another list than the asking one or has read it later,
// and otherwise when it has read the list again or the wait is over.
func (l *List) HandleChanges(ctx context.Context, ask ChangesAsk) (ChangesAnswer, error) {
	came := time.Now()
	timer := time.NewTimer(min(max(ask.Wait, 0), maxWait))
	defer timer.Stop()
	if s := l.current.Load(); s.digest == ask.Digest && !l.later(s, came, ask.Age) {
		select {
		case <-s.changed:
		case <-timer.C:
		case <-ctx.Done():
			return ChangesAnswer{}, context.Cause(ctx)
		}
	}
	now := time.Now()
	answer := l.current.Load().answer(ask.Digest, now.Sub(came), now)
	if due := l.due.Load(); due != nil {
		answer.Due = max(due.Sub(now), 0)
	}
	return answer, nil
}

// later reports whether the list was read later than the one of that age. The age of one and the same read
// grows by the time of its messages on each way, which is far below the time between two reads.
func (l *List) later(s *snapshot, now time.Time, than time.Duration) bool {
	own := age(now, s.read)
	return own >= 0 && (than < 0 || own+share(l.interval, waitShare) < than)
}

// route is where the list comes from, by the list held now; it never changes.
type route struct {
	// relay says that this host serves the list to the other hosts of its zone.
	relay bool
	// readers holds all relays, this one included, in the order in which they read the platform's list.
	readers []netip.AddrPort
	// self is this host's place among the readers.
	self int
	// near holds the relays of the own zone, then those of neighbour zones, without this host.
	near []netip.AddrPort
}

func (l *List) route() route {
	if l.exchange == nil {
		return route{}
	}
	return l.routes.Of(l.current.Load().entries, l.routeAmong)
}

// routeAmong works the route out from a list of entries.
func (l *List) routeAmong(entries []platform.Host) route {
	r := route{}
	relays := ZoneRelays(relayPurpose, entries, relaysPerZone)
	zones := slices.Sorted(maps.Keys(relays))
	at, own := slices.BinarySearch(zones, l.self.AvailabilityZone)
	for _, zone := range zones {
		for _, host := range relays[zone] {
			if host.ID == l.self.HostID {
				r.relay, r.self = true, len(r.readers)
			}
			r.readers = append(r.readers, host.PeerAddress)
		}
	}
	zones = slices.Concat(zones[at:], zones[:at])
	count := neighbourZones
	if own {
		count++
	}
	for _, zone := range zones[:min(count, len(zones))] {
		// The order by the own id spreads the followers over the relays.
		for _, host := range Rank(l.self.HostID, relays[zone]) {
			if host.ID != l.self.HostID {
				r.near = append(r.near, host.PeerAddress)
			}
		}
	}
	return r
}

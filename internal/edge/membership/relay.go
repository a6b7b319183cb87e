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
	// relaysPerZone is 2 so that the hosts of a zone still have a relay in it if one fails.
	relaysPerZone = 2
	// neighbourZones is the number of other zones whose relays are used if those of the own zone fail.
	neighbourZones = 2
	// relayPurpose differs from the purpose of the configuration's relays, so that different hosts are chosen. A host that
	// serves both to 58 others would send and receive about 20 KB/s, and 15 KB/s are allowed.
	relayPurpose = "hostList/"
	// maxWait limits how long a relay holds a request, and thus how long requests can delay its drain.
	maxWait = time.Second
)

// Self identifies this host.
type Self struct {
	HostID           string
	AvailabilityZone string
}

// Register registers the handlers that serve the list to hosts that start in an outage of the platform, and its changes to
// the hosts that follow this one. Every host serves both, because which hosts are relays changes with the list.
func (l *List) Register(registry *peer.Registry) {
	peer.Handle(registry, MethodHosts, func(context.Context, HostsRequest) (HostsAnswer, error) {
		return HostsAnswer{Hosts: l.Hosts()}, nil
	})
	peer.Handle(registry, MethodChanges, l.HandleChanges)
}

// HandleChanges answers at once if this host's list differs from the requesting host's or was read later. Otherwise it
// answers when this host has received a list that was read later, or when the wait has ended.
func (l *List) HandleChanges(ctx context.Context, request ChangesRequest) (ChangesAnswer, error) {
	receivedAt := time.Now()
	timer := time.NewTimer(min(max(request.Wait, 0), maxWait))
	defer timer.Stop()
	if s := l.current.Load(); s.digest == request.Digest && !l.isNewer(s, receivedAt, request.Age) {
		select {
		case <-s.replaced:
		case <-timer.C:
		case <-ctx.Done():
			return ChangesAnswer{}, context.Cause(ctx)
		}
	}
	now := time.Now()
	answer := l.current.Load().changesSince(request.Digest, now.Sub(receivedAt), now)
	if next := l.nextRefresh.Load(); next != nil {
		answer.UntilNextRead = max(next.Sub(now), 0)
	}
	return answer, nil
}

// isNewer reports whether the list was read later than a list of the given age. Two hosts compute slightly different ages
// for the same read, because of the time that messages take. That is far less than the time between two reads, so
// only a larger difference counts.
func (l *List) isNewer(s *snapshot, now time.Time, otherAge time.Duration) bool {
	own := age(now, s.readAt)
	return own >= 0 && (otherAge < 0 || own+scale(l.interval, waitFactor) < otherAge)
}

// route is where this host gets the list from, computed from the list that it holds. It never changes.
type route struct {
	// isRelay reports whether this host is a relay, which reads the platform's list and serves it to the hosts of its zone.
	isRelay bool
	// relays holds all relays, this host included, in the order in which they read the platform's list.
	relays []netip.AddrPort
	// selfIndex is this host's index in relays.
	selfIndex int
	// nearby holds the relays of the own zone and then those of neighbour zones, without this host.
	nearby []netip.AddrPort
}

func (l *List) route() route {
	if l.relayClient == nil {
		return route{}
	}
	return l.routes.GetOrCompute(l.current.Load().entries, l.computeRoute)
}

func (l *List) computeRoute(entries []platform.Host) route {
	r := route{}
	zoneRelays := ZoneRelays(relayPurpose, entries, relaysPerZone)
	zones := slices.Sorted(maps.Keys(zoneRelays))
	ownIndex, ownHasRelays := slices.BinarySearch(zones, l.self.AvailabilityZone)
	for _, zone := range zones {
		for _, host := range zoneRelays[zone] {
			if host.ID == l.self.HostID {
				r.isRelay, r.selfIndex = true, len(r.relays)
			}
			r.relays = append(r.relays, host.PeerAddress)
		}
	}
	zones = slices.Concat(zones[ownIndex:], zones[:ownIndex])
	count := neighbourZones
	if ownHasRelays {
		count++
	}
	for _, zone := range zones[:min(count, len(zones))] {
		// Ranking by the own ID distributes the followers over the relays.
		for _, host := range Rank(l.self.HostID, zoneRelays[zone]) {
			if host.ID != l.self.HostID {
				r.nearby = append(r.nearby, host.PeerAddress)
			}
		}
	}
	return r
}

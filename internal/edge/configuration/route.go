package configuration

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// relaysPerZone is 2 so that the hosts of a zone need no other zone's relays if one of their own fails.
	relaysPerZone = 2
	// maxNeighbourZones is the number of other zones whose relays are used as a fallback.
	maxNeighbourZones = 2
	relayPurpose      = "relay/"
)

// route holds the relays that this host uses with the current host list. It is immutable.
type route struct {
	// relay reports whether this host is a relay itself.
	relay bool
	// nearby holds the relays of this host's zone, followed by those of neighbour zones, without this host.
	nearby []netip.AddrPort
	// all holds every relay except this host.
	all []netip.AddrPort
}

// watchesPlatform reports whether this host watches the platform itself.
func (r route) watchesPlatform() bool { return r.relay || len(r.nearby) == 0 }

func (r route) isNearby(relay netip.AddrPort) bool { return slices.Contains(r.nearby, relay) }

// relayCount returns the number of all relays, including this host if it is one.
func (r route) relayCount() int {
	if r.relay {
		return len(r.all) + 1
	}
	return len(r.all)
}

func (f *Follower) route() route {
	if f.relayClient == nil {
		return route{}
	}
	return f.routes.GetOrCompute(f.directory.Entries(), f.computeRoute)
}

// computeRoute computes the route from a list of entries.
func (f *Follower) computeRoute(entries []platform.Host) route {
	relays := membership.ZoneRelays(relayPurpose, entries, relaysPerZone)
	r := route{}
	for _, zone := range zonesStartingWith(relays, f.self.AvailabilityZone) {
		for _, host := range relays[zone] {
			if host.ID == f.self.HostID {
				r.relay = true
				continue
			}
			r.all = append(r.all, host.PeerAddress)
		}
	}
	r.nearby = f.nearby(relays)
	return r
}

func (f *Follower) nearby(relays map[string][]platform.Host) []netip.AddrPort {
	var near []netip.AddrPort
	neighbours := 0
	for _, zone := range zonesStartingWith(relays, f.self.AvailabilityZone) {
		if zone != f.self.AvailabilityZone {
			neighbours++
		}
		if neighbours > maxNeighbourZones {
			break
		}
		for _, host := range relays[zone] {
			if host.ID != f.self.HostID {
				near = append(near, host.PeerAddress)
			}
		}
	}
	return near
}

// zonesStartingWith returns the zones sorted by name and rotated to start with own, so that the fallbacks of
// different zones are spread over all zones.
func zonesStartingWith(relays map[string][]platform.Host, own string) []string {
	zones := slices.Sorted(maps.Keys(relays))
	start, _ := slices.BinarySearch(zones, own)
	return slices.Concat(zones[start:], zones[:start])
}

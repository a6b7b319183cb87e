package configuration

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// relaysPerZone lets one relay of a zone die without a host of the zone looking elsewhere.
	relaysPerZone = 2
	// neighbourZones is how many other zones' relays are the second choice.
	neighbourZones = 2
	relayPurpose   = "relay/"
)

// route is where the configuration comes from, as the host list has it now; it never changes.
type route struct {
	// relay says that this host is a relay itself.
	relay bool
	// near holds the relays of the own zone, then those of neighbour zones, without this host.
	near []netip.AddrPort
	// all holds every relay but this host.
	all []netip.AddrPort
}

// direct reports whether the platform is to be watched.
func (r route) direct() bool { return r.relay || len(r.near) == 0 }

func (r route) follows(relay netip.AddrPort) bool { return slices.Contains(r.near, relay) }

// count is the number of all relays, this host included if it is one.
func (r route) count() int {
	if r.relay {
		return len(r.all) + 1
	}
	return len(r.all)
}

func (f *Follower) route() route {
	if f.exchange == nil {
		return route{}
	}
	return f.routes.GetOrCompute(f.directory.Entries(), f.routeAmong)
}

// routeAmong works the route out from a list of entries.
func (f *Follower) routeAmong(entries []platform.Host) route {
	relays := membership.ZoneRelays(relayPurpose, entries, relaysPerZone)
	r := route{}
	for _, zone := range nearestFirst(relays, f.self.AvailabilityZone) {
		for _, host := range relays[zone] {
			if host.ID == f.self.HostID {
				r.relay = true
				continue
			}
			r.all = append(r.all, host.PeerAddress)
		}
	}
	r.near = f.near(relays)
	return r
}

func (f *Follower) near(relays map[string][]platform.Host) []netip.AddrPort {
	var near []netip.AddrPort
	neighbours := 0
	for _, zone := range nearestFirst(relays, f.self.AvailabilityZone) {
		if zone != f.self.AvailabilityZone {
			neighbours++
		}
		if neighbours > neighbourZones {
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

// nearestFirst returns the zones by name, starting with the own one, so that the second choices of
// different zones are spread over all zones.
func nearestFirst(relays map[string][]platform.Host, own string) []string {
	zones := slices.Sorted(maps.Keys(relays))
	at, _ := slices.BinarySearch(zones, own)
	return slices.Concat(zones[at:], zones[:at])
}

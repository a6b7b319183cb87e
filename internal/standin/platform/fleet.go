package platform

import (
	"cmp"
	"slices"
	"strings"
	"time"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// serverGroup identifies the servers that one order is about: those of a pool in an availability zone.
type serverGroup struct {
	zone string
	pool string
}

// lifetime holds the times at which a server becomes live, starts to leave and is removed from the list. The last two are
// zero until it is stopped.
type lifetime struct {
	liveAt    time.Time
	leavingAt time.Time
	goneAt    time.Time
}

// fleet holds the hosts that can run, sorted by id, and the lifetimes of the servers that were ordered, by host id.
type fleet struct {
	hosts     []edge.Host
	lifetimes map[string]lifetime
}

func newFleet() fleet {
	return fleet{lifetimes: make(map[string]lifetime)}
}

// load replaces the hosts that can run; the lifetimes of servers stay.
func (f *fleet) load(hosts []edge.Host) {
	f.hosts = slices.Clone(hosts)
	slices.SortFunc(f.hosts, func(a, b edge.Host) int { return strings.Compare(a.ID, b.ID) })
}

// order starts and stops servers so that order.Count of them run: those first in startOrder. So drained servers are stopped
// first, then those with the highest id.
func (f *fleet) order(now time.Time, order edge.ServerOrder, faults Faults) {
	wanted := f.startOrder(serverGroup{zone: order.AvailabilityZone, pool: order.Pool}, order)
	startup := time.Duration(faults.StartupMilliseconds) * time.Millisecond
	grace := time.Duration(faults.LeavingMilliseconds) * time.Millisecond
	for i, host := range wanted {
		running := f.running(host.ID)
		switch {
		case i < order.Count && !running:
			f.lifetimes[host.ID] = lifetime{liveAt: now.Add(startup)}
		case i >= order.Count && running:
			stopped := f.lifetimes[host.ID]
			stopped.leavingAt = now
			stopped.goneAt = now.Add(grace)
			f.lifetimes[host.ID] = stopped
		}
	}
}

// startOrder returns the group's servers in the order in which they are to run: by id, drained ones last.
func (f *fleet) startOrder(group serverGroup, order edge.ServerOrder) []edge.Host {
	var servers []edge.Host
	for _, host := range f.hosts {
		if host.Role == edge.RoleAgent && host.AvailabilityZone == group.zone && host.Pool == group.pool {
			servers = append(servers, host)
		}
	}
	rank := func(host edge.Host) int {
		if slices.Contains(order.Drained, host.ID) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(servers, func(a, b edge.Host) int { return cmp.Compare(rank(a), rank(b)) })
	return servers
}

// running reports whether a server was ordered and not stopped since.
func (f *fleet) running(id string) bool {
	life, ok := f.lifetimes[id]
	return ok && life.leavingAt.IsZero()
}

// list returns the hosts as they were at the given time; entries are always listed.
func (f *fleet) list(at time.Time) []edge.Host {
	listed := make([]edge.Host, 0, len(f.hosts))
	for _, host := range f.hosts {
		if host.State == "" {
			host.State = edge.HostLive
		}
		if host.Role == edge.RoleEntry {
			listed = append(listed, host)
			continue
		}
		life, ok := f.lifetimes[host.ID]
		if !ok || at.Before(life.liveAt) {
			continue
		}
		if !life.leavingAt.IsZero() && !at.Before(life.leavingAt) {
			if !at.Before(life.goneAt) {
				continue
			}
			host.State = edge.HostLeaving
		}
		listed = append(listed, host)
	}
	return listed
}

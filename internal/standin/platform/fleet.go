package platform

import (
	"cmp"
	"slices"
	"strings"
	"time"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// group is the set of servers that one order is about.
type group struct {
	zone string
	pool string
}

// life is when a server was started and stopped; zero times have not come.
type life struct {
	live    time.Time
	leaving time.Time
	gone    time.Time
}

// fleet is the possible hosts and which of them were ordered.
type fleet struct {
	hosts []edge.Host
	lives map[string]life
}

func newFleet() fleet {
	return fleet{lives: make(map[string]life)}
}

// load replaces the possible hosts; those that run go on running.
func (f *fleet) load(hosts []edge.Host) {
	f.hosts = slices.Clone(hosts)
	slices.SortFunc(f.hosts, func(a, b edge.Host) int { return strings.Compare(a.ID, b.ID) })
}

// order starts and stops servers until count of them run. Those that run stay where possible;
// drained ones are stopped first, then those with the highest id.
func (f *fleet) order(now time.Time, order edge.ServerOrder, faults Faults) {
	wanted := f.wanted(group{zone: order.AvailabilityZone, pool: order.Pool}, order)
	startup := time.Duration(faults.StartupMilliseconds) * time.Millisecond
	grace := time.Duration(faults.LeavingMilliseconds) * time.Millisecond
	for i, host := range wanted {
		running := f.running(host.ID)
		switch {
		case i < order.Count && !running:
			f.lives[host.ID] = life{live: now.Add(startup)}
		case i >= order.Count && running:
			stopped := f.lives[host.ID]
			stopped.leaving = now
			stopped.gone = now.Add(grace)
			f.lives[host.ID] = stopped
		}
	}
}

// wanted sorts the group's servers so that the first of them are to run.
func (f *fleet) wanted(of group, order edge.ServerOrder) []edge.Host {
	var servers []edge.Host
	for _, host := range f.hosts {
		if host.Role == edge.RoleAgent && host.AvailabilityZone == of.zone && host.Pool == of.pool {
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

func (f *fleet) running(id string) bool {
	span, ok := f.lives[id]
	return ok && span.leaving.IsZero()
}

// list returns the hosts as they were at the given time.
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
		span, ok := f.lives[host.ID]
		if !ok || at.Before(span.live) {
			continue
		}
		if !span.leaving.IsZero() && !at.Before(span.leaving) {
			if !at.Before(span.gone) {
				continue
			}
			host.State = edge.HostLeaving
		}
		listed = append(listed, host)
	}
	return listed
}

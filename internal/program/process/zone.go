package process

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	corefleet "github.com/oleandershelf/oleandershelf/internal/core/fleet"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/agent"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/fleet"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// maxParallelProbes limits the concurrent probes. A zone has about a hundred servers.
	maxParallelProbes = 32
	probeTimeout      = time.Second
	// noReport is the report age of a server that returned no load report.
	noReport = -time.Second
)

// errUnknownHost is returned for a host that isn't on the host list.
var errUnknownHost = errors.New("host is not on the list")

// zone collects the state of the backend servers in one availability zone for the duty serverOrders/{zone}.
type zone struct {
	name     string
	runtime  *runtime
	follower *configuration.Follower
}

// poolStates returns the state of each pool that is configured for the zone.
func (z zone) poolStates(ctx context.Context, now time.Time) ([]corefleet.State, error) {
	states := []corefleet.State{}
	refusedLoad := z.refusedLoad(ctx)
	for _, configured := range z.follower.View().Pools() {
		if !slices.Contains(configured.AvailabilityZones, z.name) {
			continue
		}
		states = append(states, corefleet.State{
			AvailabilityZone: z.name,
			Pool:             configured.Name,
			MinServers:       configured.MinServers,
			MaxServers:       configured.MaxServers,
			StartupTime:      time.Duration(configured.StartupTime),
			HostListAge:      z.runtime.members.Age(now),
			Servers:          z.probeServers(ctx, configured),
			RefusedLoad:      refusedLoad[configured.Name],
		})
	}
	return states, nil
}

// probeServers asks every agent of the pool in this zone for its load.
func (z zone) probeServers(ctx context.Context, configured ticket.Pool) []corefleet.Server {
	hosts := []platform.Host{}
	for _, host := range z.runtime.members.Servers(configured.Name) {
		if host.AvailabilityZone == z.name {
			hosts = append(hosts, host)
		}
	}
	servers := make([]corefleet.Server, len(hosts))
	probes := pool.New().WithMaxGoroutines(maxParallelProbes)
	for i, host := range hosts {
		probes.Go(func() { servers[i] = z.probeServer(ctx, host) })
	}
	probes.Wait()
	return servers
}

func (z zone) probeServer(ctx context.Context, host platform.Host) corefleet.Server {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	server := corefleet.Server{HostID: host.ID, Leaving: host.State == platform.HostLeaving, ReportAge: noReport}
	load, err := peer.Call[request.Probe, request.Load](ctx, z.runtime.client, host.PeerAddress, agent.MethodProbe, request.Probe{})
	if err != nil {
		return server
	}
	server.ReportAge = 0
	server.Running = load.Running
	server.Queued = load.Queued
	server.Limit = load.Limit
	server.Draining = load.Draining
	return server
}

// drain tells an agent to accept no new work, or to accept work again.
func (z zone) drain(ctx context.Context, drainRequest fleet.DrainRequest) error {
	host, ok := z.findHost(drainRequest.HostID)
	if !ok {
		return errors.Wrap(errUnknownHost, drainRequest.HostID)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := peer.Call[request.Drain, request.Load](ctx, z.runtime.client, host.PeerAddress, agent.MethodDrain,
		request.Drain{Drain: drainRequest.Drain, Fencing: uint64(drainRequest.Fencing)})
	return errors.Wrap(err, drainRequest.HostID)
}

func (z zone) findHost(id string) (platform.Host, bool) {
	for _, host := range z.runtime.members.Hosts() {
		if host.ID == id {
			return host, true
		}
	}
	return platform.Host{}, false
}

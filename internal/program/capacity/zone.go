package capacity

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/program/loopback"
	"github.com/oleandershelf/oleandershelf/internal/program/process"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const (
	entriesPerZone = 2
	// designTrainerJobs is the number of trainer jobs that the system is designed for.
	designTrainerJobs = 18
	maxStreams        = 2000
)

// instance is a running entry or agent.
type instance interface{ Close() }

// deployment holds complete entries and agents of one availability zone with their stand-ins, all in this process.
type deployment struct {
	platform        *standin.Server
	platformTraffic trafficCounter
	engineTraffic   trafficCounter
	entries         []settings.Settings
	agents          []settings.Settings
	instances       []instance
	cancel          context.CancelFunc
}

// deploy starts the platform, the entries, and the agents with an engine each. The host list is filled up to the given
// number of rows with hosts that don't run and have the address of the last entry.
func deploy(ctx context.Context, entries, agents, jobs, rows int, opts ...engine.Option) (*deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &deployment{cancel: cancel}
	if err := d.start(ctx, entries, agents, jobs, rows, opts); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context, entries, agents, jobs, rows int, opts []engine.Option) error {
	l, err := d.platformTraffic.listen(ctx)
	if err != nil {
		return err
	}
	next := loopback.NewAllocator()
	if err := d.addSettings(next, "http://"+l.Addr().String(), entries, agents); err != nil {
		return err
	}
	hosts := d.hosts()
	if rows > len(hosts) {
		hosts = append(hosts, generateHosts(rows-len(hosts), d.entries[entries-1].PeerListen)...)
	}
	if d.platform, err = newPlatform(ctx, l, hosts); err != nil {
		return err
	}
	if err := configuration.NewPublisher(d.platform).Apply(ctx, 1, modelTicket(max(agents, 1), jobs)); err != nil {
		return err
	}
	for _, config := range d.entries {
		entry, err := process.StartEntry(ctx, config, zerolog.Nop())
		if err != nil {
			return errors.Wrap(err, config.HostID)
		}
		d.instances = append(d.instances, entry)
	}
	return d.startAgents(ctx, opts)
}

func (d *deployment) startAgents(ctx context.Context, opts []engine.Option) error {
	for i := range d.agents {
		l, err := d.engineTraffic.listen(ctx)
		if err != nil {
			return err
		}
		if _, err := engine.New(ctx, l, opts...); err != nil {
			return err
		}
		d.agents[i].ServerURL = "http://" + l.Addr().String()
		agent, err := process.StartAgent(ctx, d.agents[i], zerolog.Nop())
		if err != nil {
			return errors.Wrap(err, d.agents[i].HostID)
		}
		d.instances = append(d.instances, agent)
	}
	return nil
}

// addSettings adds the settings of the entries and agents, with listen addresses from next.
func (d *deployment) addSettings(next func() (netip.AddrPort, error), platformURL string, entries, agents int) error {
	for i := range entries + agents {
		addresses := [3]netip.AddrPort{}
		for j := range addresses {
			address, err := next()
			if err != nil {
				return err
			}
			addresses[j] = address
		}
		config := settings.Settings{
			HostID: fmt.Sprintf("measured-%04d", i), AvailabilityZone: measuredZone,
			PeerListen: addresses[0], AdminListen: addresses[1], PlatformURL: platformURL, PeerSecret: string(peerSecret),
			LogLevel: zerolog.Disabled, UsageWindow: settings.DefaultUsageWindow,
			LeaveDelay: settings.DefaultLeaveDelay, DrainTime: settings.DefaultDrainTime,
		}
		if i < entries {
			config.Listen = addresses[2]
			config.BodyLimitBytes = settings.DefaultBodyLimitBytes
			d.entries = append(d.entries, config)
			continue
		}
		config.Pool = modelPool
		d.agents = append(d.agents, config)
	}
	return nil
}

// hosts returns the host list rows of the entries and agents.
func (d *deployment) hosts() []platform.Host {
	var hosts []platform.Host
	for _, config := range d.entries {
		hosts = append(hosts, platform.Host{
			ID: config.HostID, Role: platform.RoleEntry, AvailabilityZone: measuredZone, PeerAddress: config.PeerListen, State: platform.HostLive,
		})
	}
	for _, config := range d.agents {
		hosts = append(hosts, platform.Host{
			ID: config.HostID, Role: platform.RoleAgent, Pool: modelPool, AvailabilityZone: measuredZone,
			PeerAddress: config.PeerListen, State: platform.HostLive,
		})
	}
	return hosts
}

// close cancels all entries and agents at once and then waits until each has stopped.
func (d *deployment) close() {
	d.cancel()
	for _, inst := range d.instances {
		inst.Close()
	}
}

// zoneExperiment measures the control cost of an idle availability zone: what its hosts do without any requests.
type zoneExperiment struct{}

// Description implements Experiment.
func (zoneExperiment) Description() Description {
	return Description{
		Name: "zone", SizeUnit: "agent",
		Notes: "An idle zone: two complete entries, which are its relays, and complete agents with an engine each. Everything runs: heartbeats, " +
			"configuration, host list, leases, probes of the holder of the server orders, gathering of usage, polls of the engine. " +
			"Processor time and memory include the stand-ins. Bytes between processes exclude those to platform and engines.",
	}
}

// Sizes implements Experiment.
func (zoneExperiment) Sizes() []int { return []int{5, 25, 50, 100} }

// Measure implements Experiment.
func (zoneExperiment) Measure(ctx context.Context, agents int) ([]Metric, error) {
	memoryBefore := memoryInUse()
	d, err := deploy(ctx, entriesPerZone, agents, 0, 0)
	if err != nil {
		return nil, err
	}
	defer d.close()
	return d.measureIdle(ctx, memoryBefore)
}

// measureIdle measures a deployment that receives no requests.
func (d *deployment) measureIdle(ctx context.Context, memoryBefore float64) ([]Metric, error) {
	if err := pause(ctx, 4*settleTime/3); err != nil {
		return nil, err
	}
	memory := memoryInUse() - memoryBefore
	calls, sent, engineBytes := d.platform.Calls(), sentBytes(), d.engineTraffic.bytes.Load()
	observed, err := observe(ctx, &d.platformTraffic, 2*observationTime)
	sentRate := float64(sentBytes()-sent) / observed.seconds
	engineRate := float64(d.engineTraffic.bytes.Load()-engineBytes) / observed.seconds
	metrics := []Metric{
		observed.processorMetric(),
		{Name: "bytes between processes", Unit: unitRate, Value: sentRate - observed.bytes - engineRate},
		{Name: "bytes to the platform", Unit: unitRate, Value: observed.bytes},
		{Name: "bytes to the engines", Unit: unitRate, Value: engineRate},
		{Name: nameMemory, Unit: unitBytes, Value: memory},
	}
	for _, kind := range []standin.CallKind{standin.KindHosts, standin.KindWatch, standin.KindGet, standin.KindPut, standin.KindOrder} {
		rate := float64(d.platform.Calls()[kind]-calls[kind]) / observed.seconds
		metrics = append(metrics, Metric{Name: "calls " + string(kind), Unit: unitCalls, Value: rate})
	}
	return metrics, err
}

// idleEntryExperiment measures the control cost of an idle entry as the deployment around it grows.
type idleEntryExperiment struct{}

// Description implements Experiment.
func (idleEntryExperiment) Description() Description {
	return Description{
		Name: "entryAtRest", SizeUnit: "row",
		Notes: "Two complete idle entries, the relays of their zone, with 18 trainer jobs and a host list of the given number of rows; " +
			"all other rows have the second entry's address. Processor time and memory are those of both entries and of the stand-in of the platform.",
	}
}

// Sizes implements Experiment.
func (idleEntryExperiment) Sizes() []int { return []int{10, 300, 1000, 2580} }

// Measure implements Experiment.
func (idleEntryExperiment) Measure(ctx context.Context, rows int) ([]Metric, error) {
	memoryBefore := memoryInUse()
	d, err := deploy(ctx, entriesPerZone, 0, designTrainerJobs, rows)
	if err != nil {
		return nil, err
	}
	defer d.close()
	return d.measureIdle(ctx, memoryBefore)
}

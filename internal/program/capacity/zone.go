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
	zoneEntries = 2
	// restJobs are the trainer jobs at the size to design for.
	restJobs   = 18
	maxStreams = 2000
)

// part is a running process.
type part interface{ Close() }

// deployment is whole entries and agents of one availability zone with their stand-ins, in this process.
type deployment struct {
	platform  *standin.Server
	platforms wire
	engines   wire
	entries   []settings.Settings
	agents    []settings.Settings
	parts     []part
	cancel    context.CancelFunc
}

// deploy starts the entries, the agents with an engine each, and the platform with the hosts' rows and more rows of hosts
// that don't run; those have the address of the last entry.
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
	l, err := d.platforms.listen(ctx)
	if err != nil {
		return err
	}
	next := loopback.NewAllocator()
	if err := d.layOut(next, "http://"+l.Addr().String(), entries, agents); err != nil {
		return err
	}
	hosts := d.hosts()
	if rows > len(hosts) {
		hosts = append(hosts, rowsOf(rows-len(hosts), d.entries[entries-1].PeerListen)...)
	}
	if d.platform, err = newPlatform(ctx, l, hosts); err != nil {
		return err
	}
	if err := configuration.NewPublisher(d.platform).Apply(ctx, 1, modelTicket(max(agents, 1), jobs)); err != nil {
		return err
	}
	for _, set := range d.entries {
		entry, err := process.StartEntry(ctx, set, zerolog.Nop())
		if err != nil {
			return errors.Wrap(err, set.HostID)
		}
		d.parts = append(d.parts, entry)
	}
	return d.startAgents(ctx, opts)
}

func (d *deployment) startAgents(ctx context.Context, opts []engine.Option) error {
	for i := range d.agents {
		l, err := d.engines.listen(ctx)
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
		d.parts = append(d.parts, agent)
	}
	return nil
}

func (d *deployment) layOut(next func() (netip.AddrPort, error), platformURL string, entries, agents int) error {
	for i := range entries + agents {
		addresses := [3]netip.AddrPort{}
		for j := range addresses {
			address, err := next()
			if err != nil {
				return err
			}
			addresses[j] = address
		}
		set := settings.Settings{
			HostID: fmt.Sprintf("measured-%04d", i), AvailabilityZone: measuredZone,
			PeerListen: addresses[0], AdminListen: addresses[1], PlatformURL: platformURL, PeerSecret: string(secret),
			LogLevel: zerolog.Disabled, UsageWindow: settings.DefaultUsageWindow,
			LeaveDelay: settings.DefaultLeaveDelay, DrainTime: settings.DefaultDrainTime,
		}
		if i < entries {
			set.Listen = addresses[2]
			set.BodyLimitBytes = settings.DefaultBodyLimitBytes
			d.entries = append(d.entries, set)
			continue
		}
		set.Pool = modelPool
		d.agents = append(d.agents, set)
	}
	return nil
}

func (d *deployment) hosts() []platform.Host {
	var hosts []platform.Host
	for _, set := range d.entries {
		hosts = append(hosts, platform.Host{
			ID: set.HostID, Role: platform.RoleEntry, AvailabilityZone: measuredZone, PeerAddress: set.PeerListen, State: platform.HostLive,
		})
	}
	for _, set := range d.agents {
		hosts = append(hosts, platform.Host{
			ID: set.HostID, Role: platform.RoleAgent, Pool: modelPool, AvailabilityZone: measuredZone,
			PeerAddress: set.PeerListen, State: platform.HostLive,
		})
	}
	return hosts
}

// close ends the processes side by side: each waits for its own goroutines.
func (d *deployment) close() {
	d.cancel()
	for _, p := range d.parts {
		p.Close()
	}
}

// zone is the control cost of an availability zone at rest.
type zone struct{}

// About implements Slope.
func (zone) About() About {
	return About{
		Name: "zone", Axis: "agent",
		Notes: "A zone at rest: two whole entries, which are its relays, and whole agents with an engine each. Everything runs: heartbeats, configuration, host list, leases, " +
			"probes of the holder of the server orders, gathering of usage, polls of the engine. Processor time and memory hold the stand-ins too. " +
			"Bytes between processes leave out those to platform and engines.",
	}
}

// Sizes implements Slope.
func (zone) Sizes() []int { return []int{5, 25, 50, 100} }

// Measure implements Slope.
func (zone) Measure(ctx context.Context, agents int) ([]Figure, error) {
	before := usedMemory()
	d, err := deploy(ctx, zoneEntries, agents, 0, 0)
	if err != nil {
		return nil, err
	}
	defer d.close()
	return d.atRest(ctx, before)
}

// atRest measures a deployment to which nothing is sent.
func (d *deployment) atRest(ctx context.Context, before float64) ([]Figure, error) {
	if err := pause(ctx, 4*settle/3); err != nil {
		return nil, err
	}
	memory := usedMemory() - before
	calls, sent, engines := d.platform.Calls(), sentBytes(), d.engines.bytes.Load()
	seen, err := observe(ctx, &d.platforms, 2*window)
	all := float64(sentBytes()-sent) / seen.seconds
	toEngines := float64(d.engines.bytes.Load()-engines) / seen.seconds
	figures := []Figure{
		seen.processorFigure(),
		{Name: "bytes between processes", Unit: unitRate, Value: all - seen.bytes - toEngines},
		{Name: "bytes to the platform", Unit: unitRate, Value: seen.bytes},
		{Name: "bytes to the engines", Unit: unitRate, Value: toEngines},
		{Name: nameMemory, Unit: unitBytes, Value: memory},
	}
	for _, kind := range []standin.CallKind{standin.KindHosts, standin.KindWatch, standin.KindGet, standin.KindPut, standin.KindOrder} {
		rate := float64(d.platform.Calls()[kind]-calls[kind]) / seen.seconds
		figures = append(figures, Figure{Name: "calls " + string(kind), Unit: unitCalls, Value: rate})
	}
	return figures, err
}

// entryAtRest is the control cost of one entry as the deployment around it grows.
type entryAtRest struct{}

// About implements Slope.
func (entryAtRest) About() About {
	return About{
		Name: "entryAtRest", Axis: "row",
		Notes: "Two whole entries at rest, relays of their zone, with 18 trainer jobs and a host list of so many rows; the rows beside the two bear the second entry's address. " +
			"Processor time and memory are those of both and of the stand-in of the platform.",
	}
}

// Sizes implements Slope.
func (entryAtRest) Sizes() []int { return []int{10, 300, 1000, 2580} }

// Measure implements Slope.
func (entryAtRest) Measure(ctx context.Context, rows int) ([]Figure, error) {
	before := usedMemory()
	d, err := deploy(ctx, zoneEntries, 0, restJobs, rows)
	if err != nil {
		return nil, err
	}
	defer d.close()
	return d.atRest(ctx, before)
}

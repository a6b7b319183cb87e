package scenario

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// Sizes and times of the deployment, small to keep test runs short.
const (
	modelServersPerZone = 2
	usageWindow         = 5 * time.Second
	leaveDelay          = time.Second
	drainTime           = 20 * time.Second
)

// Agent is an agent host and its backend server.
type Agent struct {
	Settings settings.Settings
	Kind     ticket.PoolKind
	Server   netip.AddrPort
}

// Topology holds the addresses and settings of all processes of a deployment.
type Topology struct {
	Platform    netip.AddrPort
	WeightStore netip.AddrPort
	Entries     []settings.Settings
	Agents      []Agent
}

// NewTopology returns a topology with one entry, two model engines, one plain service and one scoring service in each
// availability zone. nextAddress returns a different free loopback address at each call.
func NewTopology(d Deployment, nextAddress func() (netip.AddrPort, error)) (Topology, error) {
	b := builder{nextAddress: nextAddress}
	t := Topology{Platform: b.address(), WeightStore: b.address()}
	b.platformURL = "http://" + t.Platform.String()
	for _, zone := range d.AvailabilityZones {
		t.Entries = append(t.Entries, b.entry(zone))
		for i := range modelServersPerZone {
			t.Agents = append(t.Agents, b.agent(zone, d.Model, ticket.KindModel, i+1))
		}
		t.Agents = append(t.Agents, b.agent(zone, d.Service, ticket.KindService, 1))
		t.Agents = append(t.Agents, b.agent(zone, d.Scoring, ticket.KindScoring, 1))
	}
	return t, b.err
}

// builder allocates addresses and builds settings. It keeps the first error, so that NewTopology checks it once.
type builder struct {
	nextAddress func() (netip.AddrPort, error)
	platformURL string
	err         error
}

func (b *builder) address() netip.AddrPort {
	address, err := b.nextAddress()
	if err != nil && b.err == nil {
		b.err = err
	}
	return address
}

// commonSettings returns the settings that entries and agents share.
func (b *builder) commonSettings(hostID, zone string) settings.Settings {
	return settings.Settings{
		HostID:           hostID,
		AvailabilityZone: zone,
		PeerListen:       b.address(),
		AdminListen:      b.address(),
		PlatformURL:      b.platformURL,
		PeerSecret:       "secret-of-the-played-deployment",
		LogLevel:         zerolog.WarnLevel,
		UsageWindow:      usageWindow,
		LeaveDelay:       leaveDelay,
		DrainTime:        drainTime,
	}
}

func (b *builder) entry(zone string) settings.Settings {
	host := b.commonSettings("entry-"+zone, zone)
	host.Listen = b.address()
	host.BodyLimitBytes = settings.DefaultBodyLimitBytes
	return host
}

func (b *builder) agent(zone, pool string, kind ticket.PoolKind, number int) Agent {
	host := b.commonSettings(fmt.Sprintf("%s-%s-%d", pool, zone, number), zone)
	server := b.address()
	host.Pool = pool
	host.ServerURL = "http://" + server.String()
	return Agent{Settings: host, Kind: kind, Server: server}
}

// Hosts returns the platform's list of hosts.
func (t Topology) Hosts() []platform.Host {
	hosts := []platform.Host{}
	for _, host := range t.Entries {
		hosts = append(hosts, platform.Host{
			ID: host.HostID, Role: platform.RoleEntry, AvailabilityZone: host.AvailabilityZone,
			PeerAddress: host.PeerListen, State: platform.HostLive,
		})
	}
	for _, agent := range t.Agents {
		hosts = append(hosts, platform.Host{
			ID: agent.Settings.HostID, Role: platform.RoleAgent, Pool: agent.Settings.Pool,
			AvailabilityZone: agent.Settings.AvailabilityZone, PeerAddress: agent.Settings.PeerListen, State: platform.HostLive,
		})
	}
	return hosts
}

// Targets returns the base URLs that a Runner needs.
func (t Topology) Targets() Targets {
	targets := Targets{
		Entry:    "http://" + t.Entries[0].Listen.String(),
		Platform: "http://" + t.Platform.String(),
	}
	for _, host := range t.Entries {
		targets.Entries = append(targets.Entries, "http://"+host.Listen.String())
	}
	for _, agent := range t.Agents {
		if agent.Kind == ticket.KindService {
			targets.Services = append(targets.Services, agent.Settings.ServerURL)
		}
	}
	return targets
}

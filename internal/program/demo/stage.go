package demo

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/program/loopback"
	"github.com/oleandershelf/oleandershelf/internal/program/process"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Times of a demo deployment, small so that the demo ends soon.
const (
	usageWindow  = time.Second
	leaveDelay   = 100 * time.Millisecond
	drainTime    = 10 * time.Second
	startupLimit = 20 * time.Second
)

// environment holds the stand-ins of a deployment and a gateway in each availability zone.
type environment struct {
	deployment    Deployment
	store         *platformtest.Store
	usageReceiver *platformtest.UsageReceiver
	services      []*platformtest.Server
	engines       []*platformtest.Server
	gateways      []*runningGateway
	configVersion int
}

// runningGateway is a gateway with its settings.
type runningGateway struct {
	*process.Gateway
	settings settings.Settings
}

// newEnvironment starts the stand-ins: the platform, and a plain service and an engine in each availability zone.
func newEnvironment(t platformtest.Cleaner, d Deployment) *environment {
	e := &environment{deployment: d, store: platformtest.NewStore(t), usageReceiver: platformtest.NewUsageReceiver(t)}
	for _, zone := range d.AvailabilityZones {
		e.services = append(e.services, platformtest.NewServer(t, d.Service+"-"+zone, d.Service, nil))
		e.engines = append(e.engines, platformtest.NewServer(t, d.Engines+"-"+zone, d.Engines, map[string]int{d.Model: firstVersion}))
		e.services[len(e.services)-1].Zone = zone
		e.engines[len(e.engines)-1].Zone = zone
	}
	e.configure(d.keys())
	for _, server := range e.servers() {
		e.store.Register(server, false)
	}
	return e
}

func (e *environment) servers() []*platformtest.Server { return slices.Concat(e.services, e.engines) }

// configure writes the next version of the configuration, with the keys of each organisation.
func (e *environment) configure(keys map[string][]string) {
	e.configVersion++
	e.store.Configure(e.configVersion, e.deployment.Host, e.deployment.Model, e.deployment.routes(), keys)
}

// startGateways starts a gateway in each availability zone and waits until all are ready.
func (e *environment) startGateways(ctx context.Context, t platformtest.Cleaner, log zerolog.Logger) error {
	addresses := loopback.NewAllocator()
	for _, zone := range e.deployment.AvailabilityZones {
		set, err := e.gatewaySettings(zone, e.store.NewEndpoint(t).URL(), addresses)
		if err != nil {
			return err
		}
		gateway, err := process.StartGateway(ctx, set, log.With().Str("hostId", set.HostID).Logger())
		if err != nil {
			return errors.Wrap(err, set.HostID)
		}
		t.Cleanup(gateway.Close)
		e.gateways = append(e.gateways, &runningGateway{Gateway: gateway, settings: set})
	}
	return waitUntil(ctx, "all gateways to be ready", startupLimit, func() bool {
		return !slices.ContainsFunc(e.gateways, func(g *runningGateway) bool { return !g.ready(ctx) })
	})
}

// gatewaySettings returns the settings of a gateway; all gateways but the first have the first as their seed.
func (e *environment) gatewaySettings(zone, storeURL string, nextAddress func() (netip.AddrPort, error)) (settings.Settings, error) {
	set := settings.Settings{
		HostID: "entry-" + zone, AvailabilityZone: zone, PlatformURL: storeURL, ReportsURL: e.usageReceiver.URL(),
		PeerSecret: "secret of the played deployment", UsageWindow: usageWindow, LeaveDelay: leaveDelay,
		DrainTime: drainTime, BodyLimitBytes: settings.DefaultBodyLimitBytes,
	}
	for _, address := range []*netip.AddrPort{&set.Listen, &set.PeerListen, &set.AdminListen} {
		var err error
		if *address, err = nextAddress(); err != nil {
			return set, err
		}
	}
	if len(e.gateways) > 0 {
		set.Seeds = []netip.AddrPort{e.gateways[0].settings.PeerListen}
	}
	return set, nil
}

// ready reports whether the gateway's admin interface answers /readyz with status 200.
func (g *runningGateway) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.settings.AdminListen.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// drain shuts all gateways down gracefully, as SIGTERM does.
func (e *environment) drain(ctx context.Context) error {
	for _, gateway := range e.gateways {
		if err := gateway.Drain(ctx); err != nil {
			return errors.Wrap(err, gateway.settings.HostID)
		}
	}
	return nil
}

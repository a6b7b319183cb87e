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

// Times of a played deployment, small so that it ends soon.
const (
	usageWindow = time.Second
	leaveDelay  = 100 * time.Millisecond
	drainTime   = 10 * time.Second
	readyLimit  = 20 * time.Second
)

// stage is a deployment's stand-ins with a gateway in each availability zone.
type stage struct {
	deployment Deployment
	store      *platformtest.Store
	duties     *platformtest.UsageReceiver
	services   []*platformtest.Server
	engines    []*platformtest.Server
	gateways   []*entry
	version    int
}

// entry is a running gateway with its settings.
type entry struct {
	*process.Gateway
	set settings.Settings
}

// newStage starts the stand-ins: a plain service and an engine in each availability zone.
func newStage(t platformtest.Cleaner, d Deployment) *stage {
	s := &stage{deployment: d, store: platformtest.NewStore(t), duties: platformtest.NewUsageReceiver(t)}
	for _, zone := range d.AvailabilityZones {
		s.services = append(s.services, platformtest.NewServer(t, d.Service+"-"+zone, d.Service, nil))
		s.engines = append(s.engines, platformtest.NewServer(t, d.Engines+"-"+zone, d.Engines, map[string]int{d.Model: firstVersion}))
		s.services[len(s.services)-1].Zone = zone
		s.engines[len(s.engines)-1].Zone = zone
	}
	s.configure(d.keys())
	for _, server := range s.servers() {
		s.store.Register(server, false)
	}
	return s
}

func (s *stage) servers() []*platformtest.Server { return slices.Concat(s.services, s.engines) }

// configure writes the next version of the configuration.
func (s *stage) configure(keys map[string][]string) {
	s.version++
	s.store.Configure(s.version, s.deployment.Host, s.deployment.Model, s.deployment.routes(), keys)
}

// startGateways starts a gateway in each availability zone and waits until all are ready.
func (s *stage) startGateways(ctx context.Context, t platformtest.Cleaner, log zerolog.Logger) error {
	addresses := loopback.Addresses()
	for _, zone := range s.deployment.AvailabilityZones {
		set, err := s.settings(zone, s.store.NewEndpoint(t).URL(), addresses)
		if err != nil {
			return err
		}
		gateway, err := process.StartGateway(ctx, set, log.With().Str("hostId", set.HostID).Logger())
		if err != nil {
			return errors.Wrap(err, set.HostID)
		}
		t.Cleanup(gateway.Close)
		s.gateways = append(s.gateways, &entry{Gateway: gateway, set: set})
	}
	return until(ctx, "gateways ready", readyLimit, func() bool {
		return !slices.ContainsFunc(s.gateways, func(e *entry) bool { return !e.ready(ctx) })
	})
}

func (s *stage) settings(zone, storeURL string, next func() (netip.AddrPort, error)) (settings.Settings, error) {
	set := settings.Settings{
		HostID: "entry-" + zone, AvailabilityZone: zone, PlatformURL: storeURL, ReportsURL: s.duties.URL(),
		PeerSecret: "secret of the played deployment", UsageWindow: usageWindow, LeaveDelay: leaveDelay,
		DrainTime: drainTime, BodyLimitBytes: settings.DefaultBodyLimitBytes,
	}
	for _, address := range []*netip.AddrPort{&set.Listen, &set.PeerListen, &set.AdminListen} {
		var err error
		if *address, err = next(); err != nil {
			return set, err
		}
	}
	if len(s.gateways) > 0 {
		set.Seeds = []netip.AddrPort{s.gateways[0].set.PeerListen}
	}
	return set, nil
}

// ready asks the gateway's operators' interface.
func (e *entry) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.set.AdminListen.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// drain ends all gateways as SIGTERM does.
func (s *stage) drain(ctx context.Context) error {
	for _, each := range s.gateways {
		if err := each.Drain(ctx); err != nil {
			return errors.Wrap(err, each.set.HostID)
		}
	}
	return nil
}

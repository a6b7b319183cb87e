// Package process puts the parts of one process together: listeners, clients, duties and the order in which they end.
package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/admin"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// runtime is what entries and agents have in common.
type runtime struct {
	set         settings.Settings
	log         zerolog.Logger
	incarnation uint64
	registry    *prometheus.Registry
	platform    *platform.Client
	members     *membership.List
	client      *peer.Client
	peers       *peer.Registry
	peerOptions []peer.Option
	ranking     ranking
	// server is set by servePeers.
	server *peer.Server
}

// peersState is the dump of a process's connections to and from other processes.
type peersState struct {
	Client peer.ClientState `json:"client"`
	Server peer.ServerState `json:"server"`
}

// newRuntime builds the common parts; they end with ctx.
func newRuntime(ctx context.Context, set settings.Settings, log zerolog.Logger) (*runtime, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	options, err := peerOptions(set)
	if err != nil {
		return nil, err
	}
	r := &runtime{
		set:         set,
		log:         log,
		incarnation: incarnation,
		registry:    prometheus.NewRegistry(),
		platform:    platform.NewClient(set.PlatformURL),
		peers:       peer.NewRegistry(),
		peerOptions: options,
	}
	r.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.client = peer.NewClient(ctx, []byte(set.PeerSecret), options...)
	r.members = membership.NewList(ctx, r.platform, membership.WithRelays(membership.NewPeerExchange(r.client),
		membership.Self{HostID: set.HostID, AvailabilityZone: set.AvailabilityZone}))
	r.members.Register(r.peers)
	return r, nil
}

// newIncarnation returns a number that no other run of any process has: request ids and usage cells
// of two runs must never be taken for each other.
func newIncarnation() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, errors.Wrap(err, "incarnation")
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// listen opens the address of a settings field.
func listen(ctx context.Context, field string, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address.String())
	return l, errors.Wrapf(err, "%s", field)
}

// servePeers starts to take connections of other processes; all handlers must be registered.
func (r *runtime) servePeers(ctx context.Context) (*peer.Server, error) {
	l, err := listen(ctx, "peerListen", r.set.PeerListen)
	if err != nil {
		return nil, err
	}
	r.server = peer.NewServer(ctx, l, r.peers, []byte(r.set.PeerSecret), r.peerOptions...)
	return r.server, nil
}

// closePeers ends the serving of other processes.
//
// Guard: a process that is started again under the same address can't listen while its former listener is open, and the end of a context
// closes that only a moment later.
func closePeers(server *peer.Server, log zerolog.Logger) {
	if err := server.Close(); err != nil {
		log.Warn().Err(err).Msg("peer listener not closed")
	}
}

// serveAdmin starts the operator's interface of a host that serves while the follower's view is fresh.
func (r *runtime) serveAdmin(ctx context.Context, follower *configuration.Follower, dumps map[string]admin.Dump) (*admin.Server, error) {
	l, err := listen(ctx, "adminListen", r.set.AdminListen)
	if err != nil {
		return nil, err
	}
	dumps["configuration"] = follower.State
	dumps["membership"] = r.members.State
	dumps["peers"] = func() any { return peersState{Client: r.client.State(), Server: r.server.State()} }
	serving := admin.WithServing(func() bool { return follower.Fresh(time.Now()) })
	return admin.NewServer(ctx, l, r.registry, dumps, serving), nil
}

// drainable is a process that ends without cutting off a request.
type drainable interface {
	drain(ctx context.Context) error
	close()
}

// serve runs a started process until ctx ends, then drains it within the time of the settings.
func serve(ctx context.Context, p drainable, set settings.Settings, log zerolog.Logger) error {
	log.Info().Msg("serving")
	<-ctx.Done()
	log.Info().Msg("draining")
	started := time.Now()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), set.DrainTime)
	defer cancel()
	err := p.drain(limit)
	p.close()
	log.Info().Err(err).Dur("took", time.Since(started)).Msg("ended")
	return err
}

// Package process assembles the parts of a process: listeners, clients and duties. It starts them and shuts them down in
// order.
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

// runtime contains the parts that entries and agents have in common.
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

// peersState is the debug dump of a process's connections to and from other processes.
type peersState struct {
	Client peer.ClientState `json:"client"`
	Server peer.ServerState `json:"server"`
}

// newRuntime starts the common parts. They run until ctx ends.
func newRuntime(ctx context.Context, set settings.Settings, log zerolog.Logger) (*runtime, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	options, err := peerOptions(set, registry, log)
	if err != nil {
		return nil, err
	}
	r := &runtime{
		set:         set,
		log:         log,
		incarnation: incarnation,
		registry:    registry,
		platform:    platform.NewClient(set.PlatformURL),
		peers:       peer.NewRegistry(),
		peerOptions: options,
	}
	r.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.client = peer.NewClient(ctx, []byte(set.PeerSecret), options...)
	r.members = membership.NewList(ctx, r.platform, membership.WithRelays(membership.NewPeerRelayClient(r.client),
		membership.Self{HostID: set.HostID, AvailabilityZone: set.AvailabilityZone}))
	r.members.Register(r.peers)
	return r, nil
}

// newIncarnation returns a random number that identifies this run of the process. Request IDs and usage cells contain it,
// so that those of two runs are never confused.
func newIncarnation() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, errors.Wrap(err, "incarnation")
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// listen opens a TCP listener. Errors name the settings field that holds the address.
func listen(ctx context.Context, field string, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address.String())
	return l, errors.Wrapf(err, "%s", field)
}

// servePeers starts to accept connections from other processes. All handlers must be registered before.
func (r *runtime) servePeers(ctx context.Context) (*peer.Server, error) {
	l, err := listen(ctx, "peerListen", r.set.PeerListen)
	if err != nil {
		return nil, err
	}
	r.server = peer.NewServer(ctx, l, r.peers, []byte(r.set.PeerSecret), r.peerOptions...)
	return r.server, nil
}

// closePeers closes the listener for other processes.
//
// When the context ends, the listener is closed asynchronously. Without this call, a process that is restarted at once under
// the same address could not listen.
func closePeers(server *peer.Server, log zerolog.Logger) {
	if err := server.Close(); err != nil {
		log.Warn().Err(err).Msg("cannot close the peer listener")
	}
}

// serveAdmin starts the operator's interface. It reports the host as serving while the follower's view is fresh.
func (r *runtime) serveAdmin(ctx context.Context, follower *configuration.Follower, dumps map[string]admin.Dump) (*admin.Server, error) {
	l, err := listenAdmin(ctx, r.set, r.registry, r.log)
	if err != nil {
		return nil, err
	}
	dumps["configuration"] = follower.State
	dumps["membership"] = r.members.State
	dumps["peers"] = func() any { return peersState{Client: r.client.State(), Server: r.server.State()} }
	serving := admin.WithServing(func() bool { return follower.Fresh(time.Now()) })
	return admin.NewServer(ctx, l, r.registry, dumps, serving), nil
}

// drainable is a process that can stop without interrupting requests.
type drainable interface {
	drain(ctx context.Context) error
	close()
}

// serve waits until ctx ends, then drains the process within the drain time of the settings and closes it.
func serve(ctx context.Context, p drainable, set settings.Settings, log zerolog.Logger) error {
	log.Info().Msg("serving")
	<-ctx.Done()
	log.Info().Msg("draining")
	started := time.Now()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), set.DrainTime)
	defer cancel()
	err := p.drain(limit)
	p.close()
	log.Info().Err(err).Dur("took", time.Since(started)).Msg("drained and stopped")
	return err
}

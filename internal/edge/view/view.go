// Package view follows what the platform's store says of configuration, backend servers and weight versions. Entries tell each
// other the revisions that they have, so that one which the store turns away, or whose watch hangs, follows through the others.
package view

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// Kinds are the kinds of objects that every entry follows.
var Kinds = []string{platform.KindConfiguration, platform.KindServers, platform.KindModelVersions}

// Snapshot is what the store says, decoded. It never changes.
type Snapshot struct {
	// Table is nil until a configuration is known.
	Table   *routing.Table
	Servers []backend.Server
	// ServersKnown is set once the list of servers was read, empty or not.
	ServersKnown bool
	// Versions are the newest weight versions by model.
	Versions map[string]int
}

// View holds the newest state. It is safe for concurrent use.
type View struct {
	log     zerolog.Logger
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex
	parts    map[string]Part
	changed  chan struct{}
	tableAt  time.Time
	onChange []func(*Snapshot)
	// read are the entries of servers as they were decoded.
	read map[string]readServer
}

// readServer is a decoded entry of a server, or why it can't be read.
type readServer struct {
	version product.Version
	server  backend.Server
	err     error
}

// New returns a view that knows nothing. Each onChange is called with every new state, one state at a time.
func New(log zerolog.Logger, onChange ...func(*Snapshot)) *View {
	v := &View{log: log, parts: map[string]Part{}, changed: make(chan struct{}), onChange: onChange}
	v.current.Store(&Snapshot{})
	return v
}

// Now returns the newest state.
func (v *View) Now() *Snapshot { return v.current.Load() }

// Changed is closed when the state changes.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Revisions returns the revision of each kind that is known.
func (v *View) Revisions() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	revisions := make(map[string]uint64, len(v.parts))
	for kind, part := range v.parts {
		revisions[kind] = part.Revision
	}
	return revisions
}

// Part returns what is known of a kind.
func (v *View) Part(kind string) (Part, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	part, ok := v.parts[kind]
	return part, ok
}

// Offer takes a part over if it is newer, and reports whether it was.
func (v *View) Offer(part Part) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known, ok := v.parts[part.Kind]; ok && known.Revision >= part.Revision {
		return false
	}
	next := *v.current.Load()
	if !v.apply(&next, part) {
		return false
	}
	v.parts[part.Kind] = part
	v.current.Store(&next)
	for _, tell := range v.onChange {
		tell(&next)
	}
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

func (v *View) apply(next *Snapshot, part Part) bool {
	switch part.Kind {
	case platform.KindConfiguration:
		return v.applyConfiguration(next, part)
	case platform.KindServers:
		v.applyServers(next, part)
	case platform.KindModelVersions:
		v.applyVersions(next, part)
	}
	return true
}

// applyConfiguration never goes back to an older configuration, whatever revision it comes with.
func (v *View) applyConfiguration(next *Snapshot, part Part) bool {
	for _, object := range part.Objects {
		if object.Name != platform.NameConfiguration {
			continue
		}
		table, err := platform.ReadConfiguration(object.Value)
		if err != nil {
			v.log.Error().Err(err).Uint64("revision", uint64(object.Version)).Msg("configuration refused")
			return false
		}
		if next.Table == nil || table.Version > next.Table.Version {
			next.Table = table
			v.tableAt = time.Now()
			v.log.Info().Uint64("version", table.Version).Uint64("revision", uint64(object.Version)).
				Int("routes", table.RouteCount()).Msg("configuration in force")
		}
	}
	return true
}

func (v *View) applyServers(next *Snapshot, part Part) {
	before := map[backend.Key]backend.Server{}
	for _, server := range next.Servers {
		before[server.Key()] = server
	}
	next.Servers = nil
	next.ServersKnown = true
	v.readServers(part)
	for _, object := range part.Objects {
		read := v.read[object.Name]
		if read.err != nil {
			continue
		}
		server := read.server
		next.Servers = append(next.Servers, server)
		former, known := before[server.Key()]
		delete(before, server.Key())
		if !known || former.Draining != server.Draining {
			v.log.Info().Str("server", server.ID).Str("pool", server.Pool).Bool("draining", server.Draining).
				Stringer("address", server.Address).Uint64("revision", part.Revision).Msg("server listed")
		}
	}
	for _, gone := range before {
		v.log.Info().Str("server", gone.ID).Str("pool", gone.Pool).Uint64("revision", part.Revision).Msg("server gone")
	}
}

// readServers decodes the entries that changed; of 2,200 entries a few change at a time, several times a second.
func (v *View) readServers(part Part) {
	next := make(map[string]readServer, len(part.Objects))
	for _, object := range part.Objects {
		read, known := v.read[object.Name]
		if !known || read.version != object.Version {
			read = readServer{version: object.Version}
			read.server, read.err = platform.ReadServer(object.Name, object.Value)
			if read.err != nil {
				v.log.Warn().Err(read.err).Uint64("revision", uint64(object.Version)).Msg("server entry ignored")
			}
		}
		next[object.Name] = read
	}
	v.read = next
}

func (v *View) applyVersions(next *Snapshot, part Part) {
	versions := map[string]int{}
	for _, object := range part.Objects {
		model, version, err := platform.ReadModelVersion(object.Value)
		if err != nil {
			v.log.Warn().Err(err).Str("object", object.Name).Msg("model version ignored")
			continue
		}
		versions[model] = version
		if next.Versions[model] != version {
			v.log.Info().Str("model", model).Int("version", version).Uint64("revision", part.Revision).Msg("weight version named")
		}
	}
	next.Versions = versions
}

// State is the dump of a view.
type State struct {
	ConfigurationVersion uint64            `json:"configurationVersion"`
	ConfigurationSince   time.Time         `json:"configurationSince,omitzero"`
	Servers              []backend.Server  `json:"servers"`
	Versions             map[string]int    `json:"versions"`
	Revisions            map[string]uint64 `json:"revisions"`
}

// State returns the dump; it holds no key material.
func (v *View) State() any {
	snapshot := v.Now()
	state := State{Servers: snapshot.Servers, Versions: snapshot.Versions, Revisions: v.Revisions()}
	if snapshot.Table != nil {
		state.ConfigurationVersion = snapshot.Table.Version
	}
	v.mu.Lock()
	state.ConfigurationSince = v.tableAt
	v.mu.Unlock()
	return state
}

// Ready waits until a configuration and a list of servers are known; false if ctx ended first.
func (v *View) Ready(ctx context.Context) bool {
	for {
		changed := v.Changed()
		if now := v.Now(); now.Table != nil && now.ServersKnown {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// Package view holds the current configuration, backend servers and weight versions from the platform's store. Entries, the
// processes that accept client requests, tell each other which revisions they have, so that an entry that the store refuses,
// or whose watch hangs, is updated by the others.
package view

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// Kinds are the kinds of objects that every entry keeps up to date.
var Kinds = []string{platform.KindConfiguration, platform.KindEvacuations, platform.KindServers, platform.KindModelVersions}

// exchangedKinds are the kinds of collections that entries fetch from each other.
var exchangedKinds = slices.Concat(Kinds, []string{kindWeights})

// Snapshot is the decoded content of the store at one moment. It is immutable.
type Snapshot struct {
	// Table is nil until the first configuration arrives.
	Table   *routing.Table
	Servers []backend.Server
	// ServersKnown is set once the server list was received, even if it is empty.
	ServersKnown bool
	// Evacuated holds the availability zones that are evacuated as of the store's revision EvacuatedRevision; nil until that is known.
	Evacuated         map[string]bool
	EvacuatedRevision uint64
	// Versions are the newest weight versions by model.
	Versions map[string]int
}

// Complete reports whether all is known without which nothing may be sent to a server.
func (s *Snapshot) Complete() bool { return s.Table != nil && s.ServersKnown && s.Evacuated != nil }

// View holds the newest known state of the store. It is safe for concurrent use.
type View struct {
	log     zerolog.Logger
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	collections map[string]Collection
	changed     chan struct{}
	tableSince  time.Time
	// serversAppliedAt is when ApplyServerChanges last raised the revision of the server list.
	serversAppliedAt time.Time
	onChange         []func(*Snapshot)
	// decoded are the decoded server records by object name.
	decoded map[string]decodedServer
	// registrations decides which servers count as registered.
	registrations backend.Registrations
}

// decodedServer is a decoded server record, or the error of decoding it.
type decodedServer struct {
	version product.Version
	server  backend.Server
	err     error
}

// New returns an empty view. Each onChange function is called with every new snapshot, one snapshot at a time.
func New(log zerolog.Logger, onChange ...func(*Snapshot)) *View {
	v := &View{log: log, collections: map[string]Collection{}, changed: make(chan struct{}), onChange: onChange}
	v.current.Store(&Snapshot{})
	return v
}

// Snapshot returns the newest snapshot.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed at the next change of the state.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Revisions returns the revision of each known kind.
func (v *View) Revisions() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	revisions := make(map[string]uint64, len(v.collections))
	for kind, collection := range v.collections {
		revisions[kind] = collection.Revision
	}
	return revisions
}

// Collection returns the known objects of a kind; false if nothing is known of it.
func (v *View) Collection(kind string) (Collection, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	collection, ok := v.collections[kind]
	return collection, ok
}

// ApplyIfNewer replaces the collection of a kind if the given one is newer and valid, and reports whether it did.
func (v *View) ApplyIfNewer(collection Collection) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applyIfNewer(collection)
}

// ApplyServerChanges applies changes of the server list that were read from the store.
func (v *View) ApplyServerChanges(now time.Time, changes platform.Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	registrations, weights := v.splitServerChanges(changes)
	if len(registrations.Changes) > 0 || now.Sub(v.serversAppliedAt) >= maxServersRevisionAge {
		v.serversAppliedAt = now
		v.applyIfNewer(v.collections[platform.KindServers].withChanges(registrations))
	}
	v.applyIfNewer(Collection{Kind: kindWeights}.withChanges(weights))
}

// ApplyServerList applies a server list that was read from the store. Its records also count as weight versions, because a list that other
// entries had sent may be as new and lack these.
func (v *View) ApplyServerList(list Collection) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyIfNewer(list)
	v.applyIfNewer(Collection{Kind: kindWeights, Revision: list.Revision, Objects: list.Objects})
}

// CompleteServersRevision returns the revision up to which all changes of servers, weight versions included, are known; false if some may be
// missing.
func (v *View) CompleteServersRevision() (uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	weights, known := v.collections[kindWeights]
	return min(v.collections[platform.KindServers].Revision, weights.Revision), known
}

// applyIfNewer is ApplyIfNewer for callers that hold the lock.
func (v *View) applyIfNewer(collection Collection) bool {
	if known, ok := v.collections[collection.Kind]; ok && known.Revision >= collection.Revision {
		return false
	}
	if collection.Kind == kindWeights {
		servers, listed := v.collections[platform.KindServers]
		if !listed {
			return false
		}
		merged, added := mergeWeights(v.collections[kindWeights], collection, servers)
		if !added {
			v.collections[kindWeights] = merged
			return true
		}
		collection = merged
	}
	next := *v.current.Load()
	if !v.apply(&next, collection) {
		return false
	}
	v.publish(&next)
	return true
}

// publish replaces the snapshot. The caller holds the lock.
func (v *View) publish(next *Snapshot) {
	v.current.Store(next)
	for _, notify := range v.onChange {
		notify(next)
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// UpdateOutage records whether the store is down now, and drops the servers that have not registered again since an outage.
func (v *View) UpdateOutage(now time.Time, down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if down {
		v.registrations.StoreIsDown(now)
	}
	if !v.registrations.Expire(now) {
		return
	}
	next := *v.current.Load()
	v.replaceServers(&next, v.collections[platform.KindServers].Revision)
	v.publish(&next)
}

// apply stores a collection and updates the snapshot from it. It returns false, and changes nothing, if the collection is invalid.
func (v *View) apply(next *Snapshot, collection Collection) bool {
	if collection.Kind == platform.KindConfiguration && !v.applyConfiguration(next, collection) {
		return false
	}
	v.collections[collection.Kind] = collection
	switch collection.Kind {
	case platform.KindServers, kindWeights:
		v.applyServers(next, collection.Revision)
	case platform.KindEvacuations:
		v.applyEvacuations(next, collection)
	case platform.KindModelVersions:
		v.applyVersions(next, collection)
	}
	return true
}

// applyConfiguration puts a configuration in force if its version is higher than the current one, whatever its revision. It
// returns false if the configuration is invalid.
func (v *View) applyConfiguration(next *Snapshot, collection Collection) bool {
	for _, object := range collection.Objects {
		if object.Name != platform.NameConfiguration {
			continue
		}
		table, err := platform.ReadConfiguration(object.Value)
		if err != nil {
			v.log.Error().Err(err).Uint64("revision", uint64(object.Version)).Msg("invalid configuration ignored")
			return false
		}
		if next.Table == nil || table.Version > next.Table.Version {
			next.Table = table
			v.tableSince = time.Now()
			v.log.Info().Uint64("version", table.Version).Uint64("revision", uint64(object.Version)).
				Int("routes", table.RouteCount()).Msg("configuration in force")
		}
	}
	return true
}

func (v *View) applyEvacuations(next *Snapshot, collection Collection) {
	previous := next.Evacuated
	next.Evacuated = map[string]bool{}
	next.EvacuatedRevision = collection.Revision
	for _, object := range collection.Objects {
		next.Evacuated[object.Name] = true
		if !previous[object.Name] {
			v.log.Info().Str("availabilityZone", object.Name).Uint64("revision", uint64(object.Version)).Msg("availability zone evacuated")
		}
	}
	for zone := range previous {
		if !next.Evacuated[zone] {
			v.log.Info().Str("availabilityZone", zone).Uint64("revision", collection.Revision).
				Msg("evacuation ended, servers count as cold")
		}
	}
}

func (v *View) applyServers(next *Snapshot, revision uint64) {
	objects := v.serverObjects()
	v.decodeServers(objects)
	listed := make([]backend.Server, 0, len(objects))
	for _, object := range objects {
		if read := v.decoded[object.Name]; read.err == nil {
			listed = append(listed, read.server)
		}
	}
	v.registrations.Replace(time.Now(), listed)
	next.ServersKnown = true
	v.replaceServers(next, revision)
	if lapsed := v.registrations.Lapsed(); lapsed > 0 {
		v.log.Info().Int("servers", lapsed).Uint64("revision", revision).Msg("expired registrations kept after an outage of the store")
	}
}

// replaceServers replaces the servers of the snapshot by those that count as registered, and logs what changed.
func (v *View) replaceServers(next *Snapshot, revision uint64) {
	before := map[backend.Key]backend.Server{}
	for _, server := range next.Servers {
		before[server.Key()] = server
	}
	next.Servers = v.registrations.Servers()
	for _, server := range next.Servers {
		previous, known := before[server.Key()]
		delete(before, server.Key())
		if !known || previous.Draining != server.Draining || server.ColdLeft > previous.ColdLeft {
			v.log.Info().Str("server", server.ID).Str("pool", server.Pool).Bool("draining", server.Draining).Dur("coldFor", server.ColdLeft).
				Stringer("address", server.Address).Uint64("revision", revision).Msg("server added or changed")
		}
	}
	for _, removed := range before {
		v.log.Info().Str("server", removed.ID).Str("pool", removed.Pool).Uint64("revision", revision).Msg("server removed")
	}
}

// decodeServers decodes the server records that changed. Only a few of up to 2,200 records change at a time, but several times
// a second.
func (v *View) decodeServers(objects []product.Object) {
	next := make(map[string]decodedServer, len(objects))
	for _, object := range objects {
		read, known := v.decoded[object.Name]
		if !known || read.version != object.Version {
			failedBefore := read.err != nil
			read = decodeServer(object)
			if read.err != nil && !failedBefore {
				v.log.Warn().Err(read.err).Uint64("revision", uint64(object.Version)).Msg("invalid server record ignored")
			}
		}
		next[object.Name] = read
	}
	v.decoded = next
}

func decodeServer(object product.Object) decodedServer {
	read := decodedServer{version: object.Version}
	read.server, read.err = platform.ReadServer(object.Name, object.Value)
	read.server.Revision = uint64(object.Version)
	return read
}

func (v *View) applyVersions(next *Snapshot, collection Collection) {
	versions := map[string]int{}
	for _, object := range collection.Objects {
		model, version, err := platform.ReadModelVersion(object.Value)
		if err != nil {
			v.log.Warn().Err(err).Str("object", object.Name).Msg("invalid model version ignored")
			continue
		}
		versions[model] = version
		if next.Versions[model] != version {
			v.log.Info().Str("model", model).Int("version", version).Uint64("revision", collection.Revision).Msg("weight version changed")
		}
	}
	next.Versions = versions
}

// State is the view's part of a state dump.
type State struct {
	ConfigurationVersion uint64            `json:"configurationVersion"`
	ConfigurationSince   time.Time         `json:"configurationSince,omitzero"`
	Servers              []backend.Server  `json:"servers"`
	Evacuated            map[string]bool   `json:"evacuated"`
	Versions             map[string]int    `json:"versions"`
	Revisions            map[string]uint64 `json:"revisions"`
}

// State returns the state dump, which contains no keys.
func (v *View) State() any {
	snapshot := v.Snapshot()
	state := State{Servers: snapshot.Servers, Evacuated: snapshot.Evacuated, Versions: snapshot.Versions, Revisions: v.Revisions()}
	if snapshot.Table != nil {
		state.ConfigurationVersion = snapshot.Table.Version
	}
	v.mu.Lock()
	state.ConfigurationSince = v.tableSince
	v.mu.Unlock()
	return state
}

// WaitReady waits until the snapshot is complete. It returns false if ctx ended first.
func (v *View) WaitReady(ctx context.Context) bool {
	for {
		changed := v.Changed()
		if v.Snapshot().Complete() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

package view

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// simulatedStore holds a server list and the history of its changes.
type simulatedStore struct {
	random   *rand.Rand
	revision product.Version
	servers  map[string]*simulatedServer
	history  []platform.Change
}

type simulatedServer struct {
	born, weights int
	state         string
	object        product.Object
}

func newSimulatedStore(seed uint64, servers int) *simulatedStore {
	s := &simulatedStore{random: rand.New(rand.NewPCG(seed, seed)), revision: 1, servers: map[string]*simulatedServer{}}
	for i := range servers {
		s.register(fmt.Sprintf("engine-%02d", i))
	}
	return s
}

func (s *simulatedStore) register(name string) {
	s.servers[name] = &simulatedServer{born: int(s.revision), weights: 1, state: "ready"}
	s.write(name)
}

// write stores the record of a server.
func (s *simulatedStore) write(name string) {
	s.revision++
	server := s.servers[name]
	server.object = product.Object{Name: name, Version: s.revision, Value: json.RawMessage(fmt.Sprintf(
		`{"service":"p","address":"10.0.0.9:80","zone":"a","slots":6,"state":%q,"born":%d,"models":[{"name":"m","version":%d}]}`,
		server.state, server.born, server.weights))}
	s.history = append(s.history, platform.Change{Object: server.object})
}

// step changes one server: nearly always its weights, sometimes its state, its process, or whether it is listed.
func (s *simulatedStore) step() {
	name := fmt.Sprintf("engine-%02d", s.random.IntN(12))
	server, listed := s.servers[name]
	switch draw := s.random.IntN(20); {
	case !listed:
		s.register(name)
	case draw == 0:
		s.revision++
		delete(s.servers, name)
		s.history = append(s.history, platform.Change{Object: product.Object{Name: name, Version: s.revision}, Removed: true})
	case draw == 1:
		server.state = map[string]string{"ready": "draining", "draining": "ready"}[server.state]
		s.write(name)
	case draw == 2:
		s.register(name)
	default:
		server.weights++
		s.write(name)
	}
}

// changesAfter returns what a watch from the revision returns.
func (s *simulatedStore) changesAfter(revision product.Version) platform.Changes {
	changes := platform.Changes{Revision: s.revision}
	for _, change := range s.history {
		if change.Object.Version > revision {
			changes.Changes = append(changes.Changes, change)
		}
	}
	return changes
}

// want returns the server list, without weight versions if asked.
func (s *simulatedStore) want(withWeights bool) map[string]string {
	want := map[string]string{}
	for name, server := range s.servers {
		want[name] = fmt.Sprint(server.state, server.born)
		if withWeights {
			want[name] += fmt.Sprint("/", server.weights)
		}
	}
	return want
}

func serverList(v *View, withWeights bool) map[string]string {
	got := map[string]string{}
	for _, server := range v.Snapshot().Servers {
		state := "ready"
		if server.Draining {
			state = "draining"
		}
		got[server.ID] = fmt.Sprint(state, server.Started.UnixMilli())
		if withWeights {
			got[server.ID] += fmt.Sprint("/", server.Models["m"])
		}
	}
	return got
}

// fetchFrom updates a kind from another view, as Follower.fetch does.
func fetchFrom(to, from *View, kind string) {
	known, _ := to.Collection(kind)
	source, _ := from.Collection(kind)
	if update := source.changesSince(known.Revision); update.Kind == kind {
		to.ApplyIfNewer(known.withUpdate(update))
	}
}

// Guards against entries that miss a change when weight versions spread apart from the other changes of servers: whoever follows the store,
// entries without an interest in weights must know all else of each server, and the others everything.
func TestServerListsAgreeWhileWeightsSpreadApart(t *testing.T) {
	for seed := range uint64(300) {
		store := newSimulatedStore(seed, 12)
		follower, standby, idle := New(zerolog.Nop()), New(zerolog.Nop()), New(zerolog.Nop())
		objects := func() (list []product.Object) {
			for _, name := range slices.Sorted(maps.Keys(store.servers)) {
				list = append(list, store.servers[name].object)
			}
			return list
		}
		follower.ApplyServerList(newCollection(platform.KindServers, uint64(store.revision), objects()))
		watched, at := store.revision, time.Now()
		for round := range 60 {
			for range 1 + store.random.IntN(6) {
				store.step()
			}
			at = at.Add(minServerWatchInterval)
			if changes := store.changesAfter(watched); len(changes.Changes) > 0 {
				follower.ApplyServerChanges(at, changes)
			}
			watched = store.revision
			for _, kind := range []string{kindWeights, platform.KindServers, kindWeights} {
				if store.random.IntN(3) > 0 {
					fetchFrom(standby, follower, kind)
				}
			}
			fetchFrom(idle, []*View{follower, standby}[store.random.IntN(2)], platform.KindServers)
			fetchFrom(idle, follower, platform.KindServers)
			if diff := cmp.Diff(store.want(true), serverList(follower, true)); diff != "" {
				t.Fatalf("seed %d, round %d, follower: %s", seed, round, diff)
			}
			if diff := cmp.Diff(store.want(false), serverList(idle, false)); diff != "" {
				t.Fatalf("seed %d, round %d, idle entry: %s", seed, round, diff)
			}
			if store.random.IntN(10) == 0 {
				// The follower fails. The standby watches from the revision of its own server list.
				follower, standby = standby, follower
				complete, known := follower.CompleteServersRevision()
				watched = product.Version(complete)
				if !known || store.random.IntN(4) == 0 {
					// The store has discarded the history, so its list is read.
					follower.ApplyServerList(newCollection(platform.KindServers, uint64(store.revision), objects()))
					watched = store.revision
				}
			}
		}
		fetchFrom(standby, follower, platform.KindServers)
		fetchFrom(standby, follower, kindWeights)
		if diff := cmp.Diff(store.want(true), serverList(standby, true)); diff != "" {
			t.Fatalf("seed %d, standby: %s", seed, diff)
		}
	}
}

// Guards against the cost of weight versions at entries that don't use them: 403 engines load a hundred versions a second, and each change
// reached each entry several times.
func TestWeightChangesLeaveTheServerListUnchanged(t *testing.T) {
	for _, servers := range []int{20, 403, 2200} {
		store := newSimulatedStore(1, servers)
		follower := New(zerolog.Nop())
		var objects []product.Object
		for _, name := range slices.Sorted(maps.Keys(store.servers)) {
			objects = append(objects, store.servers[name].object)
		}
		follower.ApplyIfNewer(newCollection(platform.KindServers, uint64(store.revision), objects))
		at := time.Now()
		follower.ApplyServerChanges(at, store.changesAfter(store.revision))
		known, _ := follower.Collection(platform.KindServers)
		for name, server := range store.servers {
			server.weights++
			store.write(name)
		}
		follower.ApplyServerChanges(at.Add(time.Second), store.changesAfter(product.Version(known.Revision)))
		if revision := follower.Revisions()[platform.KindServers]; revision != known.Revision {
			t.Errorf("%d servers: the list went from revision %d to %d", servers, known.Revision, revision)
		}
		later, _ := follower.Collection(platform.KindServers)
		if update := later.changesSince(known.Revision); len(update.Changed)+len(update.Removed) > 0 {
			t.Errorf("%d servers: other entries receive %d of them again", servers, len(update.Changed))
		}
		store.step()
		follower.ApplyServerChanges(at.Add(maxServersRevisionAge), store.changesAfter(product.Version(known.Revision)))
		if revision := follower.Revisions()[platform.KindServers]; revision != uint64(store.revision) {
			t.Errorf("%d servers: revision %d after %v, want %d: the next follower would watch from an older one", servers, revision, maxServersRevisionAge, store.revision)
		}
	}
}

// Guards against entries that disagree on which of them may use a cold server, which depends on its weight versions.
func TestWeightsOfColdServersReachAllEntries(t *testing.T) {
	cold := backend.Server{ID: "e", Pool: "p", Slots: 1, ColdLeft: time.Second, Models: map[string]int{"m": 1}}
	loaded := cold
	loaded.Models = map[string]int{"m": 2}
	if cold.DiffersInWeightsOnly(loaded) {
		t.Error("the change of a cold server's weights isn't sent to all entries")
	}
	cold.ColdLeft, loaded.ColdLeft = 0, 0
	if !cold.DiffersInWeightsOnly(loaded) {
		t.Error("the change of a warm server's weights is sent to all entries")
	}
}

package view

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// stallingStore is a store that can stop responding: it never answers the watches that it received meanwhile.
type stallingStore struct {
	mu           sync.Mutex
	unresponsive bool
	version      int
	changed      chan struct{}
}

func newStallingStore() *stallingStore {
	return &stallingStore{version: 1, changed: make(chan struct{})}
}

func (s *stallingStore) state() (unresponsive bool, version int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresponsive, s.version, s.changed
}

func (s *stallingStore) setState(unresponsive bool, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = unresponsive
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stallingStore) objects(kind string, version int) []product.Object {
	if kind != platform.KindConfiguration {
		return nil
	}
	return configurationCollection(uint64(version), version).Objects
}

func (s *stallingStore) List(ctx context.Context, kind string) ([]product.Object, product.Version, error) {
	unresponsive, version, _ := s.state()
	if unresponsive {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.objects(kind, version), product.Version(version), nil
}

func (s *stallingStore) Watch(ctx context.Context, kind string, after product.Version, wait time.Duration) (platform.Changes, error) {
	if unresponsive, _, _ := s.state(); unresponsive {
		// A watch received now is never answered, even after the store has recovered.
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return platform.Changes{}, errors.New("no answer")
	}
	for {
		_, version, changed := s.state()
		if version > int(after) {
			changes := platform.Changes{Revision: product.Version(version)}
			for _, object := range s.objects(kind, version) {
				changes.Changes = append(changes.Changes, platform.Change{Object: object})
			}
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return platform.Changes{}, ctx.Err()
		case <-changed:
		}
	}
}

// Changed never finds a change, as if its answers were seconds old.
func (s *stallingStore) Changed(ctx context.Context, _ string, _ product.Version) (bool, error) {
	unresponsive, _, _ := s.state()
	if unresponsive {
		<-ctx.Done()
		return false, ctx.Err()
	}
	return false, nil
}

// Guards against requests being served with a withdrawn key. The store stalls for two seconds, in which an entry starts,
// learns the configuration from others and begins to watch. After the recovery that watch is never answered, although probes
// are, and the entry kept the old configuration for 15 seconds.
func TestWatchStartedWhileStoreStallsIsRestarted(t *testing.T) {
	store := newStallingStore()
	store.setState(true, 1)
	v := New(zerolog.Nop())
	for _, kind := range Kinds {
		v.ApplyIfNewer(Collection{Kind: kind, Revision: 1, Objects: store.objects(kind, 1)})
	}
	ctx, cancel := context.WithCancel(t.Context())
	f := NewFollower(ctx, fakeMembers{self: "entry-1"}, v, store, nil, peer.NewRegistry(), zerolog.Nop())
	defer f.Wait()
	defer cancel()
	time.Sleep(2 * time.Second)
	store.setState(false, 1)
	time.Sleep(probeInterval)
	store.setState(false, 2)
	for deadline := time.Now().Add(2 * time.Second); v.Snapshot().Table == nil || v.Snapshot().Table.Version < 2; {
		if time.Now().After(deadline) {
			t.Fatal("the configuration is not in force two seconds after it was accepted")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a slow start of a large deployment whose entries all start at once, when data spreads from the first entries
// by gossip only.
func TestStartingEntryFetchesFromPredecessor(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	hosts := hostsInFollowOrder(standbys + 3)
	secret := []byte("a secret of the tests")
	registry := peer.NewRegistry()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(ctx, listener, registry, secret)
	client := peer.NewClient(ctx, secret)
	defer func() {
		cancel()
		_ = server.Close()
		client.Wait()
	}()
	source := New(zerolog.Nop())
	for _, kind := range Kinds {
		source.ApplyIfNewer(Collection{Kind: kind, Revision: 7, Objects: newStallingStore().objects(kind, 1)})
	}
	peer.Handle(registry, MethodCollection, func(_ context.Context, request CollectionRequest) (CollectionUpdate, error) {
		collection, _ := source.Collection(request.Kind)
		return collection.changesSince(request.Since), nil
	})
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	last := len(hosts) - 1
	starting := New(zerolog.Nop())
	members := fakeMembers{self: hosts[last], others: hosts[:last], address: address}
	f := NewFollower(ctx, members, starting, newStallingStore(), client, peer.NewRegistry(), zerolog.Nop())
	defer f.Wait()
	defer cancel()
	for deadline := time.Now().Add(300*time.Millisecond + 500*time.Millisecond); len(starting.Revisions()) < len(Kinds); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out with revisions %v", starting.Revisions())
		}
	}
	for kind, revision := range starting.Revisions() {
		if revision != 7 {
			t.Errorf("%s: revision = %d, want 7, the one of the predecessor", kind, revision)
		}
	}
}

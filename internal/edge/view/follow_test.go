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

// silentStore is a store that can fall silent: what comes to it meanwhile is never answered.
type silentStore struct {
	mu      sync.Mutex
	silent  bool
	version int
	changed chan struct{}
}

func newSilentStore() *silentStore { return &silentStore{version: 1, changed: make(chan struct{})} }

func (s *silentStore) state() (silent bool, version int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.version, s.changed
}

func (s *silentStore) set(silent bool, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silentStore) objects(kind string, version int) []product.Object {
	if kind != platform.KindConfiguration {
		return nil
	}
	return configuration(uint64(version), version).Objects
}

func (s *silentStore) List(ctx context.Context, kind string) ([]product.Object, product.Version, error) {
	silent, version, _ := s.state()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.objects(kind, version), product.Version(version), nil
}

func (s *silentStore) Watch(ctx context.Context, kind string, after product.Version, wait time.Duration) (platform.Changes, error) {
	if silent, _, _ := s.state(); silent {
		// The answer to a watch that came now never comes, also not once the store is back.
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

func (s *silentStore) Probe(ctx context.Context) error {
	silent, _, _ := s.state()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// The store falls silent for two seconds, in which an entry starts, learns the configuration from others and begins to watch. The store is
// back, a key is withdrawn, and requests with the key were served for 15 seconds more: the watch that began in the silence was never
// answered, though probes were.
func TestAWatchBegunInASilenceBeginsAnew(t *testing.T) {
	store := newSilentStore()
	store.set(true, 1)
	v := New(zerolog.Nop())
	for _, kind := range Kinds {
		v.Offer(Part{Kind: kind, Revision: 1, Objects: store.objects(kind, 1)})
	}
	ctx, cancel := context.WithCancel(t.Context())
	f := NewFollower(ctx, fakeMembers{self: "entry-1"}, v, store, nil, peer.NewRegistry(), zerolog.Nop())
	defer f.Wait()
	defer cancel()
	time.Sleep(2 * time.Second)
	store.set(false, 1)
	time.Sleep(probePause)
	store.set(false, 2)
	for end := time.Now().Add(2 * time.Second); v.Now().Table == nil || v.Now().Table.Version < 2; {
		if time.Now().After(end) {
			t.Fatal("the configuration is not in force two seconds after its acceptance")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against slow readiness of a large deployment after a common start, when data spreads from the first entries by gossip only.
func TestAFreshEntryFetchesFromAPredecessor(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	hosts := inOrder(standbys + 3)
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
	known := New(zerolog.Nop())
	for _, kind := range Kinds {
		known.Offer(Part{Kind: kind, Revision: 7, Objects: newSilentStore().objects(kind, 1)})
	}
	peer.Handle(registry, MethodPart, func(_ context.Context, q PartRequest) (PartAnswer, error) {
		part, _ := known.Part(q.Kind)
		return part.since(q.Known), nil
	})
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	last := len(hosts) - 1
	fresh := New(zerolog.Nop())
	members := fakeMembers{self: hosts[last], others: hosts[:last], address: address}
	f := NewFollower(ctx, members, fresh, newSilentStore(), client, peer.NewRegistry(), zerolog.Nop())
	defer f.Wait()
	defer cancel()
	for end := time.Now().Add(300*time.Millisecond + 500*time.Millisecond); len(fresh.Revisions()) < len(Kinds); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out with revisions %v", fresh.Revisions())
		}
	}
	for kind, revision := range fresh.Revisions() {
		if revision != 7 {
			t.Errorf("%s was read from the store: revision %d", kind, revision)
		}
	}
}

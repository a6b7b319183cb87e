package batchjob

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// testSecret is the secret that the entries of a test share.
const testSecret = "a secret of the tests"

// storeFault is how the store treats the calls of one entry.
type storeFault string

const (
	faultNone storeFault = "none"
	// faultDown: the call fails with an error that says that it had no effect.
	faultDown storeFault = "down"
	// faultLost: a write is carried out, and its answer is lost.
	faultLost storeFault = "lost"
	// faultLate: a write is carried out later, and its answer is lost.
	faultLate storeFault = "late"
	// faultDropped: a write is never carried out, and no answer comes.
	faultDropped storeFault = "dropped"
)

var storeFaults = []storeFault{faultNone, faultDown, faultLost, faultLate, faultDropped}

// memoryStore is a store in memory that several entries use, each through a client of its own.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]json.RawMessage
	// delayed are the writes that are still to be carried out.
	delayed []func()
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]json.RawMessage{}} }

func (s *memoryStore) client() *storeClient { return &storeClient{store: s, fault: faultNone} }

func (s *memoryStore) put(t *testing.T, kind, name string, content any) {
	t.Helper()
	value, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	s.create(kind, name, value)
}

// create writes an object unless one of the name exists; it returns the existing one.
func (s *memoryStore) create(kind, name string, value json.RawMessage) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.objects[kind+"/"+name]; ok {
		return known, false
	}
	s.objects[kind+"/"+name] = value
	return nil, true
}

// carryOutDelayed carries out the oldest delayed write.
func (s *memoryStore) carryOutDelayed() {
	s.mu.Lock()
	var write func()
	if len(s.delayed) > 0 {
		write, s.delayed = s.delayed[0], s.delayed[1:]
	}
	s.mu.Unlock()
	if write != nil {
		write()
	}
}

// storeClient is the store client of one entry.
type storeClient struct {
	store *memoryStore
	mu    sync.Mutex
	fault storeFault
}

func (c *storeClient) setFault(fault storeFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}

func (c *storeClient) currentFault() storeFault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

func (c *storeClient) Get(_ context.Context, kind, name string) (product.Object, error) {
	if c.currentFault() == faultDown {
		return product.Object{}, product.ErrUnavailable
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	value, ok := c.store.objects[kind+"/"+name]
	if !ok {
		return product.Object{}, product.ErrNotFound
	}
	return product.Object{Name: name, Value: value}, nil
}

func (c *storeClient) Create(_ context.Context, kind, name string, value json.RawMessage) (product.Version, error) {
	switch c.currentFault() {
	case faultDown:
		return 0, product.ErrUnavailable
	case faultLost:
		c.store.create(kind, name, value)
		return 0, product.ErrOutcomeUnknown
	case faultLate:
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.delayed = append(c.store.delayed, func() { c.store.create(kind, name, value) })
		return 0, product.ErrOutcomeUnknown
	case faultDropped:
		return 0, product.ErrOutcomeUnknown
	default:
		if known, ok := c.store.create(kind, name, value); !ok {
			return 0, &platform.ConflictError{Object: product.Object{Name: name, Value: known}}
		}
		return 1, nil
	}
}

func (c *storeClient) List(context.Context, string) ([]product.Object, product.Version, error) {
	return nil, 0, product.ErrUnavailable
}

func (c *storeClient) Delete(context.Context, string, string, product.Version) error {
	return product.ErrUnavailable
}

// fakeMembers is an entry and the other living ones.
type fakeMembers struct {
	self   string
	others []gossip.Member
}

func (m fakeMembers) Self() gossip.Member { return gossip.Member{HostID: m.self} }

func (m fakeMembers) Alive(time.Time) []gossip.Member {
	return append([]gossip.Member(nil), m.others...)
}

func (m fakeMembers) Find(_ time.Time, hostID string) (gossip.Member, bool) {
	for _, member := range m.others {
		if member.HostID == hostID {
			return member, true
		}
	}
	return gossip.Member{}, false
}

// newTestManager returns the manager of an entry whose calls to other entries all fail, and which has no servers.
func newTestManager(ctx context.Context, store Store, members Members) *Manager {
	return NewManager(ctx, Deps{
		Store:    store,
		Balancer: backend.NewBalancer("self", "north-a"),
		Peers:    peer.NewClient(ctx, []byte(testSecret)),
		Members:  members,
		Outage:   func(time.Time) bool { return false },
		Demand:   func() batch.Demand { return batch.Demand{} },
		Metrics:  NewMetrics(prometheus.NewRegistry()),
		Log:      zerolog.Nop(),
	}, peer.NewRegistry())
}

// newManagerWithJob returns the manager of an entry whose store holds the job, accepted a moment ago.
func newManagerWithJob(ctx context.Context, t *testing.T, spec batch.Job, members fakeMembers) *Manager {
	t.Helper()
	// With the usual timeout, items would be given up and written to the store as lost.
	spec.Accepted = time.Now()
	spec.ItemTimeout = time.Hour
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	return newTestManager(ctx, store.client(), members)
}

// newStoredSpec returns a job of two items, accepted a moment ago by an entry that is no longer alive.
func newStoredSpec() *batch.Job {
	return &batch.Job{
		ID: "j", Organisation: "north", Owner: "gone", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour},
		Submission: batch.Submission{Items: []batch.Item{{ID: "a", Body: []byte("x")}, {ID: "b", Body: []byte("y")}}},
	}
}

// startPeer starts another entry that serves the methods, and returns its address.
func startPeer(ctx context.Context, t *testing.T, registry *peer.Registry) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = peer.NewServer(ctx, listener, registry, []byte(testSecret))
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

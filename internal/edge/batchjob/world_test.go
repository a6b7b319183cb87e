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

// testSecret is the secret of the entries of a test.
const testSecret = "a secret of the tests"

// storeFault is what the store does with the calls of one entry.
type storeFault string

const (
	faultNone storeFault = "none"
	// faultDown: nothing is done, and the entry knows.
	faultDown storeFault = "down"
	// faultLost: a write is done, and its answer is lost.
	faultLost storeFault = "lost"
	// faultLate: a write is done at a later moment, and its answer is lost.
	faultLate storeFault = "late"
	// faultDropped: a write is never done, and no answer comes.
	faultDropped storeFault = "dropped"
)

var storeFaults = []storeFault{faultNone, faultDown, faultLost, faultLate, faultDropped}

// sharedStore is a store in memory that several entries use, each through a door of its own.
type sharedStore struct {
	mu      sync.Mutex
	objects map[string]json.RawMessage
	// late are writes that are still to be carried out.
	late []func()
}

func newSharedStore() *sharedStore { return &sharedStore{objects: map[string]json.RawMessage{}} }

func (s *sharedStore) door() *storeDoor { return &storeDoor{store: s, fault: faultNone} }

func (s *sharedStore) put(t *testing.T, kind, name string, content any) {
	t.Helper()
	value, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	s.create(kind, name, value)
}

// create writes an object unless there is one of the name; it returns the one that stands in the way.
func (s *sharedStore) create(kind, name string, value json.RawMessage) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.objects[kind+"/"+name]; ok {
		return known, false
	}
	s.objects[kind+"/"+name] = value
	return nil, true
}

// carryOut does the oldest write that is late.
func (s *sharedStore) carryOut() {
	s.mu.Lock()
	var write func()
	if len(s.late) > 0 {
		write, s.late = s.late[0], s.late[1:]
	}
	s.mu.Unlock()
	if write != nil {
		write()
	}
}

// storeDoor is an entry's way to the store.
type storeDoor struct {
	store *sharedStore
	mu    sync.Mutex
	fault storeFault
}

func (d *storeDoor) set(fault storeFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

func (d *storeDoor) now() storeFault {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault
}

func (d *storeDoor) Get(_ context.Context, kind, name string) (product.Object, error) {
	if d.now() == faultDown {
		return product.Object{}, product.ErrUnavailable
	}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	value, ok := d.store.objects[kind+"/"+name]
	if !ok {
		return product.Object{}, product.ErrNotFound
	}
	return product.Object{Name: name, Value: value}, nil
}

func (d *storeDoor) Create(_ context.Context, kind, name string, value json.RawMessage) (product.Version, error) {
	switch d.now() {
	case faultDown:
		return 0, product.ErrUnavailable
	case faultLost:
		d.store.create(kind, name, value)
		return 0, product.ErrUnsettled
	case faultLate:
		d.store.mu.Lock()
		defer d.store.mu.Unlock()
		d.store.late = append(d.store.late, func() { d.store.create(kind, name, value) })
		return 0, product.ErrUnsettled
	case faultDropped:
		return 0, product.ErrUnsettled
	default:
		if known, ok := d.store.create(kind, name, value); !ok {
			return 0, &platform.ConflictError{Object: product.Object{Name: name, Value: known}}
		}
		return 1, nil
	}
}

func (d *storeDoor) List(context.Context, string) ([]product.Object, product.Version, error) {
	return nil, 0, product.ErrUnavailable
}

func (d *storeDoor) Delete(context.Context, string, string, product.Version) error {
	return product.ErrUnavailable
}

// entries are a host and those that it hears of.
type entries struct {
	self   string
	others []gossip.Member
}

func (e entries) Self() gossip.Member { return gossip.Member{HostID: e.self} }

func (e entries) Alive(time.Time) []gossip.Member { return append([]gossip.Member(nil), e.others...) }

func (e entries) Find(_ time.Time, hostID string) (gossip.Member, bool) {
	for _, member := range e.others {
		if member.HostID == hostID {
			return member, true
		}
	}
	return gossip.Member{}, false
}

// entryOf returns the manager of an entry whose calls to others all fail, and whose servers run nothing.
func entryOf(ctx context.Context, store Store, members Members) *Manager {
	return NewManager(ctx, Deps{
		Store:   store,
		Book:    backend.NewBook("self", "north-a"),
		Peers:   peer.NewClient(ctx, []byte(testSecret)),
		Members: members,
		Outage:  func(time.Time) bool { return false },
		Demand:  func() batch.Demand { return batch.Demand{} },
		Metrics: NewMetrics(prometheus.NewRegistry()),
		Log:     zerolog.Nop(),
	}, peer.NewRegistry())
}

// testManager returns a manager of an entry among others whose store holds the job, accepted a moment ago.
func testManager(ctx context.Context, t *testing.T, spec batch.Job, members entries) *Manager {
	t.Helper()
	// Items that are given up would be written to the store.
	spec.Accepted = time.Now()
	spec.ItemTimeout = time.Hour
	store := newSharedStore()
	store.put(t, KindJobs, spec.ID, spec)
	return entryOf(ctx, store.door(), members)
}

// storedSpec is a job of two items that an entry which is gone accepted a moment ago.
func storedSpec() *batch.Job {
	return &batch.Job{
		ID: "j", Organisation: "north", Owner: "gone", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour},
		Submission: batch.Submission{Items: []batch.Item{{ID: "a", Body: []byte("x")}, {ID: "b", Body: []byte("y")}}},
	}
}

// served serves the methods as another entry, and returns its address.
func served(ctx context.Context, t *testing.T, registry *peer.Registry) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = peer.NewServer(ctx, listener, registry, []byte(testSecret))
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

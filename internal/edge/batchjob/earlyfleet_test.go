package batchjob

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// earlyFleet is a number of entries that may begin jobs without the store they share, and one server with a few slots.
type earlyFleet struct {
	store    *memoryStore
	server   *platformtest.Server
	managers []*Manager
	clients  []*probedStore
	kill     []context.CancelFunc
	down     atomic.Bool
}

// probedStore counts the creates of jobs, and how many are in progress at once. Creates wait for delay.
type probedStore struct {
	*storeClient
	mu                   sync.Mutex
	delay                time.Duration
	creates, active, top int
}

func (s *probedStore) Create(ctx context.Context, kind, name string, value json.RawMessage) (product.Version, error) {
	s.mu.Lock()
	if kind == KindJobs {
		s.creates++
		s.active++
		defer func() {
			s.mu.Lock()
			s.active--
			s.mu.Unlock()
		}()
	}
	s.top = max(s.top, s.active)
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	return s.storeClient.Create(ctx, kind, name, value)
}

const earlySlots = 4

func newEarlyFleet(t *testing.T, count int) *earlyFleet {
	t.Helper()
	f := &earlyFleet{store: newMemoryStore(), server: platformtest.NewServer(t, "s", "p", map[string]int{"m": 1})}
	members := make([]gossip.Member, count)
	registries := make([]*peer.Registry, count)
	for i := range count {
		ctx, cancel := context.WithCancel(t.Context())
		f.kill = append(f.kill, cancel)
		registries[i] = peer.NewRegistry()
		members[i] = gossip.Member{HostID: testHostID(i), Address: startPeer(ctx, t, registries[i])}
		client := &probedStore{storeClient: f.store.client()}
		f.clients = append(f.clients, client)
		balancer := backend.NewBalancer(testHostID(i), "north-a")
		balancer.Sync(time.Now(), []backend.Server{{ID: "s", Pool: "p", Address: f.server.Address(), Slots: earlySlots, Models: map[string]int{"m": 1}}})
		others := slices.Delete(slices.Clone(members), i, i+1)
		f.managers = append(f.managers, NewManager(ctx, Deps{
			Store: client, Balancer: balancer, Servers: exchange.NewClient(), Peers: peer.NewClient(ctx, []byte(testSecret)),
			Members: fakeMembers{self: testHostID(i), others: others},
			Outage:  func(time.Time) bool { return f.down.Load() },
			Demand:  func() batch.Demand { return batch.Demand{Models: []string{"m"}} },
			Metrics: NewMetrics(prometheus.NewRegistry()), Log: zerolog.Nop(), EarlyGeneration: true,
		}, registries[i]))
	}
	for i, m := range f.managers {
		m.members = fakeMembers{self: testHostID(i), others: slices.Delete(slices.Clone(members), i, i+1)}
	}
	t.Cleanup(func() {
		for i, m := range f.managers {
			f.kill[i]()
			m.Wait()
		}
	})
	return f
}

// setStore sets how the store treats all calls, and whether the entries know that it is down.
func (f *earlyFleet) setStore(fault storeFault, down bool) {
	for _, client := range f.clients {
		client.setFault(fault)
	}
	f.down.Store(down)
}

// newStep returns a submission of some items.
func newStep(id string, items int) *batch.Job {
	spec := &batch.Job{ID: id, Organisation: "north", Accepted: time.Now()}
	spec.Terms = batch.Terms{Pool: "p", Host: "h", MaxAttempts: 3, ItemTimeout: time.Hour, ResultDeadline: time.Hour}
	spec.Model, spec.MinVersion = "m", 1
	for i := range items {
		spec.Items = append(spec.Items, batch.Item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/", Body: []byte("x"), ExpectedTokens: 100, Header: []request.HeaderField{{Name: "X-Model", Value: "m"}},
		})
	}
	return spec
}

// refuseUnknown submits a job and checks that the answer promises nothing: a refusal that says that nothing has run or will run would be
// wrong once a job may have begun.
func refuseUnknown(t *testing.T, m *Manager, spec *batch.Job) {
	t.Helper()
	copied := *spec
	err := m.Submit(t.Context(), &copied)
	if refusal, ok := verdict.As(err); !ok || refusal.Verdict != verdict.MayHaveRun || refusal.RetryAfter <= 0 {
		t.Fatalf("submission answered with %v", err)
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not in time: " + what)
}

func (f *earlyFleet) requests() int { return len(f.server.Requests()) }

// runners returns the entries that have the job as unaccepted.
func (f *earlyFleet) runners(id string) []*Manager {
	return slices.DeleteFunc(slices.Clone(f.managers), func(m *Manager) bool { _, ok := m.findUnaccepted(id); return !ok })
}

// checkResults waits until the store holds one result of each item, and checks that the entry lists the same.
func (f *earlyFleet) checkResults(t *testing.T, m *Manager, spec *batch.Job) {
	t.Helper()
	eventually(t, "all results stored", func() bool { return len(storedResults(t, f.store, spec.ID)) >= len(spec.Items) })
	stored := storedResults(t, f.store, spec.ID)
	ids := map[string]bool{}
	for _, result := range stored {
		ids[result.ID] = result.State == batch.StateCompleted && result.Text != ""
	}
	if len(stored) != len(spec.Items) || len(ids) != len(spec.Items) {
		t.Errorf("%d results of %d items", len(stored), len(ids))
	}
	// One read returns what the entry has listed so far; the next one continues there.
	var listed []batch.Result
	for len(listed) < len(stored) {
		_, results, err := m.Results(t.Context(), spec.ID, spec.Organisation, len(listed), time.Second, 1<<20)
		if err != nil || len(results) == 0 {
			t.Fatalf("%d of %d results listed: %v", len(listed), len(stored), err)
		}
		listed = append(listed, results...)
	}
	if diff := cmp.Diff(stored, listed); diff != "" {
		t.Errorf("listed: %s", diff)
	}
}

package batchjob

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// countingStore counts the reads of each object of the store.
type countingStore struct {
	*storeClient
	mu    *sync.Mutex
	reads map[string]int
}

func (c countingStore) Get(ctx context.Context, kind, name string) (product.Object, error) {
	c.mu.Lock()
	c.reads[kind+"/"+name]++
	c.mu.Unlock()
	return c.storeClient.Get(ctx, kind, name)
}

// newConnectedManagers returns the managers of count entries that share a store and can call each other. Reads counts the reads of each
// object.
func newConnectedManagers(ctx context.Context, t *testing.T, store *memoryStore, count int) (managers []*Manager, reads map[string]int) {
	t.Helper()
	reads = map[string]int{}
	var mu sync.Mutex
	registries := make([]*peer.Registry, count)
	members := make([]gossip.Member, count)
	for i := range count {
		registries[i] = peer.NewRegistry()
		members[i] = gossip.Member{HostID: testHostID(i), Cores: 1, Address: startPeer(ctx, t, registries[i])}
	}
	for i := range count {
		var others []gossip.Member
		for other, member := range members {
			if other != i {
				others = append(others, member)
			}
		}
		managers = append(managers, NewManager(ctx, Deps{
			Store:    countingStore{storeClient: store.client(), mu: &mu, reads: reads},
			Balancer: backend.NewBalancer(testHostID(i), "north-a"),
			Peers:    peer.NewClient(ctx, []byte(testSecret)),
			Members:  fakeMembers{self: testHostID(i), others: others},
			Outage:   func(time.Time) bool { return false },
			Demand:   func() batch.Demand { return batch.Demand{} },
			Metrics:  NewMetrics(prometheus.NewRegistry()),
			Log:      zerolog.Nop(),
		}, registries[i]))
	}
	return managers, reads
}

// Guards against every entry reading all pages of a job that none of them has in memory, as after a full restart.
func TestJobsNotInMemoryAreReadFromTheStoreOnce(t *testing.T) {
	const count, pages = 12, 8
	ctx, cancel := context.WithCancel(t.Context())
	store := newMemoryStore()
	spec := newStoredSpec()
	spec.Items = nil
	for number := 1; number <= pages; number++ {
		item := fmt.Sprint("item", number)
		spec.Items = append(spec.Items, batch.Item{ID: item, Body: []byte(item)})
		store.put(t, KindPages, pageName(spec.ID, number), batch.Page{Writer: 9, Serial: number, Results: []batch.Result{{ID: item}}})
	}
	store.put(t, KindJobs, spec.ID, spec)
	managers, reads := newConnectedManagers(ctx, t, store, count)
	defer func() {
		cancel()
		for _, m := range managers {
			m.Wait()
		}
	}()
	for i, m := range managers {
		total, results, err := m.Results(ctx, spec.ID, spec.Organisation, i%pages, 0, 1<<20)
		if err != nil || total != pages || len(results) != pages-i%pages {
			t.Errorf("entry %d returned %d of %d results: %v", i, len(results), total, err)
		}
		body, err := m.Body(ctx, spec.ID, spec.Organisation, "item1")
		if err != nil || string(body) != "item1" {
			t.Errorf("entry %d returned body %q: %v", i, body, err)
		}
		if _, _, err := m.Results(ctx, spec.ID, "another", 0, 0, 1<<20); !isNotFound(err) {
			t.Errorf("entry %d answered another organisation: %v", i, err)
		}
	}
	if got := reads[KindPages+"/"+pageName(spec.ID, 1)]; got != 1 {
		t.Errorf("the first page was read %d times", got)
	}
}

// Guards against a read that fails while the loss of the job's store reader is undetected.
func TestJobIsReadWithoutItsStoreReader(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	store.put(t, KindPages, pageName(spec.ID, 1), batch.Page{Writer: 9, Serial: 1, Results: []batch.Result{{ID: "a"}, {ID: "b"}}})
	var others []gossip.Member
	for i := range 20 {
		others = append(others, gossip.Member{HostID: testHostID(i), Cores: 1})
	}
	m := newTestManager(ctx, store.client(), fakeMembers{self: "self", others: others})
	defer m.Wait()
	defer cancel()
	_, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, 0, 1<<20)
	if err != nil || len(results) != 2 {
		t.Errorf("results: %v, %v", results, err)
	}
	if body, err := m.Body(ctx, spec.ID, spec.Organisation, "a"); err != nil || string(body) != "x" {
		t.Errorf("body: %q, %v", body, err)
	}
}

// Guards against open jobs that stay without an owner after a full restart, and against owners other than those in the notes of the lease.
func TestOpenJobsRunAgainAtTheirFormerOwners(t *testing.T) {
	for _, test := range []struct {
		name string
		// formerOwner is the host in the note of the job; runs is the index of the entry that is expected to run it.
		formerOwner string
		runs        int
	}{
		{name: "another entry ran it", formerOwner: testHostID(2), runs: 2},
		{name: "this entry ran it", formerOwner: testHostID(0), runs: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			spec := newStoredSpec()
			store := newMemoryStore()
			store.put(t, KindJobs, spec.ID, spec)
			managers, reads := newConnectedManagers(ctx, t, store, 3)
			var waits conc.WaitGroup
			defer waits.Wait()
			for _, m := range managers {
				waits.Go(func() {
					<-ctx.Done()
					m.Wait()
				})
			}
			defer cancel()
			managers[0].Reopen([]string{formatOpenNote(test.formerOwner, spec.ID)}, 0)
			runs := func(i int) bool {
				j, ok := managers[i].find(spec.ID)
				return ok && j.isRunning()
			}
			for end := time.Now().Add(3 * time.Second); !runs(test.runs) && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			}
			for i := range managers {
				if runs(i) != (i == test.runs) {
					t.Errorf("entry %d runs the job: %v", i, runs(i))
				}
			}
			if got := reads[KindJobs+"/"+spec.ID]; got != 1 {
				t.Errorf("the job was read %d times", got)
			}
		})
	}
}

// Guards against several entries that read the notes of the lease reopening the same job at once.
func TestEntriesThatReadTheNotesReopenJobsInTurn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	managers, reads := newConnectedManagers(ctx, t, store, 3)
	defer func() {
		cancel()
		for _, m := range managers {
			m.Wait()
		}
	}()
	for turn, m := range managers {
		m.Reopen([]string{formatOpenNote(testHostID(2), spec.ID)}, turn)
	}
	time.Sleep(reopenDelay + rerunTurn/2)
	running := 0
	for _, m := range managers {
		if j, ok := m.find(spec.ID); ok && j.isRunning() {
			running++
		}
	}
	if got := reads[KindJobs+"/"+spec.ID]; running != 1 || got != 1 {
		t.Errorf("%d entries run the job; it was read %d times", running, got)
	}
}

// Guards against an entry that reopens jobs before the entries that precede it had their turn.
func TestEntryWaitsForItsTurnToReopenJobs(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	managers, _ := newConnectedManagers(ctx, t, store, 2)
	defer func() {
		cancel()
		for _, m := range managers {
			m.Wait()
		}
	}()
	runs := func() bool {
		j, ok := managers[1].find(spec.ID)
		return ok && j.isRunning()
	}
	managers[0].Reopen([]string{formatOpenNote(testHostID(1), spec.ID)}, 2)
	time.Sleep(reopenDelay + rerunTurn)
	if runs() {
		t.Error("the job was reopened before the entry's turn")
	}
	for end := time.Now().Add(3 * time.Second); !runs(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the job was not reopened")
		}
	}
}

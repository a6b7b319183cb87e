package batchjob

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// An entry learns from the store that a job has ended. A delayed request to run it must not start it, and the end must be announced again
// once an entry announces that it runs the job.
func TestEndReadFromTheStoreIsRemembered(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	store.put(t, KindEnds, spec.ID, endRecord{Accepted: spec.Accepted})
	m := newTestManager(ctx, store.client(), fakeMembers{self: "self", others: []gossip.Member{{HostID: "other"}}})
	defer m.Wait()
	defer cancel()
	if _, err := m.readJob(ctx, spec.ID, spec.Organisation); err != nil {
		t.Fatal(err)
	}
	if j, _ := m.find(spec.ID); !j.finished() {
		t.Fatal("the end wasn't read")
	}
	m.ApplyGossip(gossip.Member{HostID: "other"}, []string{"j"}, nil, nil)
	if owner, ok := m.livingOwner("j"); ok {
		t.Errorf("%s is recorded as the owner of a job whose end this entry has read", owner.HostID)
	}
	if _, ended := m.Jobs(time.Now()); len(ended) == 0 {
		t.Error("the end isn't announced again to the entry that runs the job")
	}
	// The job is dropped from memory, as any that is finished.
	m.mu.Lock()
	delete(m.jobs, spec.ID)
	m.mu.Unlock()
	specJSON, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.handleRun(ctx, RunRequest{Job: "j", Organisation: "north", From: "other", SpecJSON: specJSON}); err != nil {
		t.Fatal(err)
	}
	if j, ok := m.find("j"); ok && j.isRunning() {
		t.Error("a job runs whose end this entry has read")
	}
}

// An entry runs a job, leaves it to another one and drops it from memory while the write of a page is delayed. The same process runs the
// job again, and the delayed write is carried out: that page must not be taken for one that the second run wrote.
func TestSecondRunInOneProcessDoesNotTakeAPageOfTheFirstForItsOwn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	client := store.client()
	m := newTestManager(ctx, client, fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	write := func(item string) {
		j, _ := m.find(spec.ID)
		j.mu.Lock()
		j.progress.Start(item).Append(batch.Event{Number: 1, Data: "text of " + item}, 1)
		j.progress.RecordCompletion(time.Now(), item)
		page, _ := j.progress.Flush(time.Now())
		j.mu.Unlock()
		value, err := json.Marshal(page)
		if err != nil {
			t.Fatal(err)
		}
		m.tryWritePage(ctx, j, page, value)
	}
	m.runNewJob(spec)
	client.setFault(faultLate)
	write("a")
	client.setFault(faultNone)
	first, _ := m.find(spec.ID)
	first.stopRunning()
	for i := range maxIdleJobs + 1 {
		// Other jobs are read meanwhile, so that this one is the least recently used.
		each := *spec
		each.ID = "other" + string(rune('a'+i))
		m.cache(newJob(&each))
	}
	if _, known := m.find(spec.ID); known {
		t.Fatal("the job is still in memory")
	}
	if err := m.takeOver(ctx, RunRequest{Job: "j", Organisation: "north"}); err != nil {
		t.Fatal(err)
	}
	store.carryOutDelayed()
	write("b")
	_, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	other := newTestManager(ctx, store.client(), fakeMembers{self: "another", others: []gossip.Member{{HostID: "self"}}})
	_, listed, err := other.Results(ctx, spec.ID, spec.Organisation, 0, 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if len(results) == 0 || len(listed) == 0 || results[0].ID != listed[0].ID {
		t.Errorf("position 0 holds %v here and %v elsewhere", results, listed)
	}
}

// The preferred runner of a job has a living entry on record as the owner that doesn't run the job any more. Each entry at which the
// trainer reads requests the preferred runner to run the job. It must run it or refuse, because the requester records it as the owner.
func TestPreferredRunnerRunsAJobOrRefuses(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	spec.Accepted = time.Now().Add(-time.Minute)
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	m := newTestManager(ctx, store.client(), fakeMembers{self: "self", others: []gossip.Member{{HostID: "idle"}, {HostID: "asks"}}})
	defer m.Wait()
	defer cancel()
	m.recordOwner(spec.ID, "idle")
	for range 5 {
		if err := m.handleRun(ctx, RunRequest{Job: "j", Organisation: "north", From: "asks"}); err != nil {
			return
		}
		if j, ok := m.find("j"); ok && j.isRunning() {
			return
		}
	}
	t.Error("this entry agreed five times to run the job and doesn't run it")
}

// freezablePeer is the address of an entry behind a proxy, which forwards nothing while it is frozen, as if the process were stopped.
type freezablePeer struct {
	address netip.AddrPort
	frozen  atomic.Bool
}

func newFreezablePeer(ctx context.Context, t *testing.T) *freezablePeer {
	t.Helper()
	registry := peer.NewRegistry()
	peer.Handle(registry, MethodRead, func(context.Context, ReadRequest) (ReadAnswer, error) { return ReadAnswer{}, nil })
	target := startPeer(ctx, t, registry)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &freezablePeer{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				_ = to.Close()
				return
			}
			for p.frozen.Load() {
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = to.Write(buffer[:n])
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target.String())
			if err != nil {
				return
			}
			go forward(to, conn)
			go forward(conn, to)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return p
}

// cancellableStore is a store client whose reads fail once their context has ended, as those of the real one do.
type cancellableStore struct{ *storeClient }

func (c cancellableStore) Get(ctx context.Context, kind, name string) (product.Object, error) {
	if ctx.Err() != nil {
		return product.Object{}, product.ErrUnavailable
	}
	return c.storeClient.Get(ctx, kind, name)
}

// The entry that runs a job is frozen and not yet detected as lost. A body and results that are in the store, or here, must reach the
// caller before it gives up, 1.5 s after the wait that it allows.
func TestFrozenOwnerDoesNotDelayCallers(t *testing.T) {
	for _, test := range []struct {
		name string
		call func(ctx context.Context, m *Manager, spec *batch.Job) error
	}{
		{name: "results", call: func(ctx context.Context, m *Manager, spec *batch.Job) error {
			_, _, err := m.Results(ctx, spec.ID, spec.Organisation, 0, 0, 1000)
			return err
		}},
		{name: "end", call: func(ctx context.Context, m *Manager, spec *batch.Job) error {
			return m.End(ctx, spec.ID, spec.Organisation)
		}},
		{name: "body", call: func(ctx context.Context, m *Manager, spec *batch.Job) error {
			_, err := m.Body(ctx, spec.ID, spec.Organisation, "a")
			return err
		}},
		{name: "body of a job that is in memory here", call: func(ctx context.Context, m *Manager, spec *batch.Job) error {
			m.cache(newJob(spec))
			_, err := m.Body(ctx, spec.ID, spec.Organisation, "a")
			return err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			spec := newStoredSpec()
			store := newMemoryStore()
			store.put(t, KindJobs, spec.ID, spec)
			store.put(t, KindPages, pageName(spec.ID, 1), batch.Page{Writer: 9, Results: []batch.Result{{ID: "a"}}})
			owner := newFreezablePeer(ctx, t)
			m := newTestManager(ctx, cancellableStore{store.client()}, fakeMembers{self: "self", others: []gossip.Member{{HostID: "frozen", Address: owner.address}}})
			defer m.Wait()
			defer cancel()
			if _, err := peer.Call[ReadRequest, ReadAnswer](ctx, m.peers, owner.address, MethodRead, ReadRequest{}); err != nil {
				t.Fatal(err)
			}
			owner.frozen.Store(true)
			m.recordOwner(spec.ID, "frozen")
			started := time.Now()
			err := test.call(ctx, m, spec)
			if took := time.Since(started); err != nil || took > 1500*time.Millisecond {
				t.Errorf("%v after %v", err, took)
			}
		})
	}
}

// The entry that runs a job has queried the store and freezes before it answers a read of another entry. Meanwhile a result is listed and
// shown elsewhere. The outdated answer must not be passed on later than a second after that.
func TestDelayedAnswerIsNotPassedOn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	shown := make(chan time.Time, 1)
	registry := peer.NewRegistry()
	peer.Handle(registry, MethodRead, func(context.Context, ReadRequest) (ReadAnswer, error) {
		// The store had no page for this entry, which now freezes while another entry writes one.
		store.put(t, KindPages, pageName(spec.ID, 1), batch.Page{Writer: 9, Results: []batch.Result{{ID: "a"}}})
		shown <- time.Now()
		time.Sleep(1500 * time.Millisecond)
		return ReadAnswer{Known: true, Total: 2}, nil
	})
	m := newTestManager(ctx, store.client(), fakeMembers{self: "self", others: []gossip.Member{{HostID: "other", Address: startPeer(ctx, t, registry)}}})
	defer m.Wait()
	defer cancel()
	m.recordOwner(spec.ID, "other")
	_, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, time.Second, 1000)
	shownAt := <-shown
	if age := time.Since(shownAt); err == nil && len(results) == 0 && age > time.Second {
		t.Errorf("an empty list is returned for a position whose result was shown %v before", age)
	}
}

// Guards against counting jobs that don't run here, and against counting only one of several jobs of a model.
func TestTokenRatesAreThoseOfRunningJobs(t *testing.T) {
	m := newTestManager(t.Context(), newMemoryStore().client(), fakeMembers{self: "self"})
	for _, test := range []struct {
		id      string
		running bool
	}{{"a", true}, {"b", true}, {"c", false}} {
		spec := &batch.Job{ID: test.id, Terms: batch.Terms{ResultDeadline: 2 * time.Second}, Submission: batch.Submission{
			Model: "m", Items: []batch.Item{{ID: test.id + "1", ExpectedTokens: 30}, {ID: test.id + "2"}},
		}}
		j := newJob(spec)
		j.running = test.running
		m.cache(j)
	}
	if got := m.TokenRates(); len(got) != 1 || got["m"] != 31 {
		t.Errorf("token rates %v, want 31 of model m only", got)
	}
}

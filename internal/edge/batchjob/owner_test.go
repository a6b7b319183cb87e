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

// An entry learned from the store that a job has ended. A request to run it that comes late must not run it, and who says that it runs it
// must be told.
func TestAnEndReadFromTheStoreIsRemembered(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := storedSpec()
	store := newSharedStore()
	store.put(t, KindJobs, spec.ID, spec)
	store.put(t, KindEnds, spec.ID, end{Accepted: spec.Accepted})
	m := entryOf(ctx, store.door(), entries{self: "self", others: []gossip.Member{{HostID: "other"}}})
	defer m.Wait()
	defer cancel()
	if _, err := m.read(ctx, spec.ID, spec.Organisation); err != nil {
		t.Fatal(err)
	}
	if j, _ := m.find(spec.ID); !j.over() {
		t.Fatal("the end wasn't read")
	}
	m.Heard(gossip.Member{HostID: "other"}, []string{"j"}, nil, nil)
	if owner, ok := m.owner("j"); ok {
		t.Errorf("%s is noted as the owner of a job that has ended, as this entry has read", owner.HostID)
	}
	if _, ended := m.Jobs(time.Now()); len(ended) == 0 {
		t.Error("the entry that says that it runs the job isn't told of its end")
	}
	// The job is dropped from memory, as any that is over.
	m.mu.Lock()
	delete(m.jobs, spec.ID)
	m.mu.Unlock()
	fresh, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.runFor(ctx, RunRequest{Job: "j", Organisation: "north", From: "other", Fresh: fresh}); err != nil {
		t.Fatal(err)
	}
	if j, ok := m.find("j"); ok && j.running() {
		t.Error("a job runs whose end this entry has read")
	}
}

// An entry ran a job, left it to another one and dropped it from memory; a page of it is still on its way to the store. It runs the job again, as
// the same process, and the late page is carried out: it must not be taken for the page that this second run wrote.
func TestASecondRunInOneProcessKnowsItsPagesFromTheFirst(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := storedSpec()
	store := newSharedStore()
	store.put(t, KindJobs, spec.ID, spec)
	door := store.door()
	m := entryOf(ctx, door, entries{self: "self"})
	defer m.Wait()
	defer cancel()
	write := func(item string) {
		j, _ := m.find(spec.ID)
		j.mu.Lock()
		j.progress.Start(item).Append(batch.Event{Number: 1, Data: "text of " + item}, 1)
		j.progress.Completed(time.Now(), item)
		page, _ := j.progress.Flush(time.Now())
		j.mu.Unlock()
		value, err := json.Marshal(page)
		if err != nil {
			t.Fatal(err)
		}
		m.tryWrite(ctx, j, page, value)
	}
	m.run(spec)
	door.set(faultLate)
	write("a")
	door.set(faultNone)
	first, _ := m.find(spec.ID)
	first.yield()
	for i := range keepMost + 1 {
		// Others are read meanwhile, so that the first run is the longest unused one.
		each := *spec
		each.ID = "other" + string(rune('a'+i))
		m.keep(newJob(&each))
	}
	if _, known := m.find(spec.ID); known {
		t.Fatal("not dropped")
	}
	if err := m.take(ctx, RunRequest{Job: "j", Organisation: "north"}); err != nil {
		t.Fatal(err)
	}
	store.carryOut()
	write("b")
	_, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	other := entryOf(ctx, store.door(), entries{self: "another", others: []gossip.Member{{HostID: "self"}}})
	_, listed, err := other.Results(ctx, spec.ID, spec.Organisation, 0, 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if len(results) == 0 || len(listed) == 0 || results[0].ID != listed[0].ID {
		t.Errorf("position 0 holds %v here and %v elsewhere", results, listed)
	}
}

// The home of a model believes that a living entry runs a job, which doesn't any more. Asked to run it by each entry at which its trainer
// reads, it must run it or say that it doesn't: "given to its home" is noted as an owner there.
func TestAHomeThatDoesNotRunAJobSaysSo(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := storedSpec()
	spec.Accepted = time.Now().Add(-time.Minute)
	store := newSharedStore()
	store.put(t, KindJobs, spec.ID, spec)
	m := entryOf(ctx, store.door(), entries{self: "self", others: []gossip.Member{{HostID: "idle"}, {HostID: "asks"}}})
	defer m.Wait()
	defer cancel()
	m.noteOwner(spec.ID, "idle")
	for range 5 {
		if err := m.runFor(ctx, RunRequest{Job: "j", Organisation: "north", From: "asks"}); err != nil {
			return
		}
		if j, ok := m.find("j"); ok && j.running() {
			return
		}
	}
	t.Error("asked five times to run the job, this entry agreed, and doesn't run it")
}

// stopped is an entry behind a proxy that passes nothing on any more once it is stopped, as for a process that is frozen.
type stopped struct {
	address netip.AddrPort
	frozen  atomic.Bool
}

func stoppable(ctx context.Context, t *testing.T) *stopped {
	t.Helper()
	registry := peer.NewRegistry()
	peer.Handle(registry, MethodRead, func(context.Context, ReadRequest) (ReadAnswer, error) { return ReadAnswer{}, nil })
	behind := served(ctx, t, registry)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stopped{address: l.Addr().(*net.TCPAddr).AddrPort()}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				_ = to.Close()
				return
			}
			for s.frozen.Load() {
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = to.Write(buffer[:n])
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", behind.String())
			if err != nil {
				return
			}
			go pass(to, conn)
			go pass(conn, to)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// patientDoor is a door of the store whose calls end with their context, as those of the real one do.
type patientDoor struct{ *storeDoor }

func (d patientDoor) Get(ctx context.Context, kind, name string) (product.Object, error) {
	if ctx.Err() != nil {
		return product.Object{}, product.ErrUnavailable
	}
	return d.storeDoor.Get(ctx, kind, name)
}

// The entry that runs a job is frozen, and not noticed yet. A body and results that are in the store, or here, must reach who asks before he
// gives up, 1.5 s after the wait that he allows.
func TestAFrozenOwnerHoldsNobodyUp(t *testing.T) {
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
		{name: "body of a job that is known here", call: func(ctx context.Context, m *Manager, spec *batch.Job) error {
			m.keep(newJob(spec))
			_, err := m.Body(ctx, spec.ID, spec.Organisation, "a")
			return err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			spec := storedSpec()
			store := newSharedStore()
			store.put(t, KindJobs, spec.ID, spec)
			store.put(t, KindPages, pageName(spec.ID, 1), batch.Page{Writer: 9, Results: []batch.Result{{ID: "a"}}})
			owner := stoppable(ctx, t)
			m := entryOf(ctx, patientDoor{store.door()}, entries{self: "self", others: []gossip.Member{{HostID: "frozen", Address: owner.address}}})
			defer m.Wait()
			defer cancel()
			if _, err := peer.Ask[ReadRequest, ReadAnswer](ctx, m.peers, owner.address, MethodRead, ReadRequest{}); err != nil {
				t.Fatal(err)
			}
			owner.frozen.Store(true)
			m.noteOwner(spec.ID, "frozen")
			began := time.Now()
			err := test.call(ctx, m, spec)
			if took := time.Since(began); err != nil || took > 1500*time.Millisecond {
				t.Errorf("%v after %v", err, took)
			}
		})
	}
}

// The entry that runs a job has asked the store and is frozen before it answers a read of another entry. Meanwhile a result is listed and shown
// elsewhere. The answer of before must not be passed on later than a second after that.
func TestAnAnswerThatWasHeldUpIsNotPassedOn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := storedSpec()
	store := newSharedStore()
	store.put(t, KindJobs, spec.ID, spec)
	shown := make(chan time.Time, 1)
	registry := peer.NewRegistry()
	peer.Handle(registry, MethodRead, func(context.Context, ReadRequest) (ReadAnswer, error) {
		// It was told by the store that nothing is listed, and stands still from here on.
		store.put(t, KindPages, pageName(spec.ID, 1), batch.Page{Writer: 9, Results: []batch.Result{{ID: "a"}}})
		shown <- time.Now()
		time.Sleep(1500 * time.Millisecond)
		return ReadAnswer{Known: true, Total: 2}, nil
	})
	m := entryOf(ctx, store.door(), entries{self: "self", others: []gossip.Member{{HostID: "other", Address: served(ctx, t, registry)}}})
	defer m.Wait()
	defer cancel()
	m.noteOwner(spec.ID, "other")
	_, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, time.Second, 1000)
	at := <-shown
	if age := time.Since(at); err == nil && len(results) == 0 && age > time.Second {
		t.Errorf("nothing is shown at a position that was shown %v before", age)
	}
}

// Guards against counting jobs that don't run here, and against counting only one of several jobs of a model.
func TestTokenRatesAreThoseOfRunningJobs(t *testing.T) {
	m := entryOf(t.Context(), newSharedStore().door(), entries{self: "self"})
	for _, test := range []struct {
		id   string
		runs bool
	}{{"a", true}, {"b", true}, {"c", false}} {
		spec := &batch.Job{ID: test.id, Terms: batch.Terms{ResultDeadline: 2 * time.Second}, Submission: batch.Submission{
			Model: "m", Items: []batch.Item{{ID: test.id + "1", ExpectedTokens: 30}, {ID: test.id + "2"}},
		}}
		j := newJob(spec)
		j.runs = test.runs
		m.keep(j)
	}
	if got := m.TokenRates(); len(got) != 1 || got["m"] != 31 {
		t.Errorf("token rates %v, want 31 of model m only", got)
	}
}

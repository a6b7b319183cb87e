package batchjob

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// slowDoor is a door of a store that is slow: each read takes a third of a second, and ends with its context.
type slowDoor struct{ *storeDoor }

func (d slowDoor) Get(ctx context.Context, kind, name string) (product.Object, error) {
	timer := time.NewTimer(330 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return d.storeDoor.Get(ctx, kind, name)
	case <-ctx.Done():
		return product.Object{}, product.ErrUnavailable
	}
}

// The store is slow, and the entry that ran a job of some pages is gone. What was read of it for one call must help the next one: a trainer that
// asks again and again must be shown the job, and the job must be taken over.
func TestAJobOfSomePagesIsReadFromASlowStore(t *testing.T) {
	for _, test := range []struct {
		name string
		call func(ctx context.Context, m *Manager, spec *batch.Job) bool
	}{
		{name: "read", call: func(ctx context.Context, m *Manager, spec *batch.Job) bool {
			began := time.Now()
			_, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, time.Second, 1<<20)
			t.Logf("%d results, %v, after %v", len(results), err, time.Since(began))
			return len(results) > 0
		}},
		{name: "taken over", call: func(_ context.Context, m *Manager, spec *batch.Job) bool {
			m.rerun(spec.ID, "gone")
			j, ok := m.find(spec.ID)
			return ok && j.running()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			spec := storedSpec()
			spec.Accepted = time.Now().Add(-time.Minute)
			store := newSharedStore()
			for number := 1; number <= 8; number++ {
				id := fmt.Sprint("item", number)
				spec.Items = append(spec.Items, batch.Item{ID: id})
				store.put(t, KindPages, pageName(spec.ID, number), batch.Page{Writer: 9, Serial: number, Results: []batch.Result{{ID: id}}})
			}
			store.put(t, KindJobs, spec.ID, spec)
			m := entryOf(ctx, slowDoor{store.door()}, entries{self: "self"})
			defer m.Wait()
			defer cancel()
			for range 4 {
				if test.call(ctx, m, spec) {
					return
				}
			}
			t.Error("not in four tries")
		})
	}
}

// stuckDoor is a door of a store whose reads end with their context only.
type stuckDoor struct{ *storeDoor }

func (d stuckDoor) Get(ctx context.Context, _, _ string) (product.Object, error) {
	<-ctx.Done()
	return product.Object{}, product.ErrUnavailable
}

// The store hangs. A trainer gives up 1.5 s after the wait that it allows, and must have an answer by then.
func TestAReadEndsBeforeItsTrainerGivesUp(t *testing.T) {
	for _, known := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := storedSpec()
		m := entryOf(ctx, stuckDoor{newSharedStore().door()}, entries{self: "self"})
		if known {
			m.run(spec)
		}
		const wait = 200 * time.Millisecond
		began := time.Now()
		_, _, err := m.Results(ctx, spec.ID, spec.Organisation, 0, wait, 1000)
		if took := time.Since(began); err == nil || took > wait+1400*time.Millisecond {
			t.Errorf("known %v: %v after %v", known, err, took)
		}
		cancel()
		m.Wait()
	}
}

// A read of the store takes a third of a second, and a page is written right after it found none. What the store said then must not answer a read
// that comes in after the page was shown.
func TestAnAnswerOfTheStoreIsAsOldAsItsQuestion(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	spec := storedSpec()
	store := newSharedStore()
	m := entryOf(ctx, slowDoor{store.door()}, entries{self: "self"})
	j := newJob(spec)
	asked := time.Now()
	if err := m.catchUp(ctx, j); err != nil {
		t.Fatal(err)
	}
	if _, _, ok := j.show(asked.Add(100*time.Millisecond), 0, 1000); ok {
		t.Error("a question that was asked before the read came in answers it")
	}
}

// The answer to an acceptance was lost, and its trainer is gone. The job was accepted, so it is found and run; that somebody reads the body of an
// item here meanwhile, and the job is in memory by that, doesn't mean that anybody runs it.
func TestALostAcceptanceIsFoundOut(t *testing.T) {
	for _, read := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := storedSpec()
		door := newSharedStore().door()
		door.set(faultLost)
		m := entryOf(ctx, door, entries{self: "self"})
		if err := m.Submit(ctx, spec); err == nil {
			t.Fatal("accepted without an answer of the store")
		}
		door.set(faultNone)
		if read {
			if _, err := m.Body(ctx, spec.ID, spec.Organisation, "a"); err != nil {
				t.Fatal(err)
			}
		}
		runs := false
		for end := time.Now().Add(4 * settlePause); !runs && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			j, ok := m.find(spec.ID)
			runs = ok && j.running()
		}
		if !runs {
			t.Errorf("read %v: nobody runs the job", read)
		}
		cancel()
		m.Wait()
	}
}

package batchjob

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// An entry runs a job and hears of no other entry, while it reaches the store and the servers. The job is ended at another entry, and its trainer
// told so. Three seconds later nothing of it may begin to run any more.
func TestARunnerThatHearsNobodyLearnsOfTheEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := storedSpec()
	store := newSharedStore()
	store.put(t, KindJobs, spec.ID, spec)
	m := entryOf(ctx, store.door(), entries{self: "self"})
	defer m.Wait()
	defer cancel()
	m.run(spec)
	other := entryOf(ctx, store.door(), entries{self: "other"})
	if err := other.End(ctx, spec.ID, spec.Organisation); err != nil {
		t.Fatal(err)
	}
	j, _ := m.find(spec.ID)
	for end := time.Now().Add(3200 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if j.over() {
			return
		}
	}
	t.Error("the job runs on, its end has stood in the store for three seconds")
}

// A job is ended at an entry that has read it, while another one is known to run it. The one that runs it is told, as it is by an entry that
// hasn't read the job.
func TestTheOwnerIsToldOfAnEndAtAnEntryThatHasReadTheJob(t *testing.T) {
	for _, read := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := storedSpec()
		store := newSharedStore()
		store.put(t, KindJobs, spec.ID, spec)
		var told atomic.Int32
		registry := peer.NewRegistry()
		peer.Handle(registry, MethodEnd, func(context.Context, EndRequest) (EndAnswer, error) {
			told.Add(1)
			return EndAnswer{Known: true}, nil
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = peer.NewServer(ctx, l, registry, []byte("a secret of the tests"))
		owner := gossip.Member{HostID: "other", Address: l.Addr().(*net.TCPAddr).AddrPort()}
		m := entryOf(ctx, store.door(), entries{self: "self", others: []gossip.Member{owner}})
		if read {
			if _, err := m.read(ctx, spec.ID, spec.Organisation); err != nil {
				t.Fatal(err)
			}
		}
		m.noteOwner(spec.ID, owner.HostID)
		if err := m.End(ctx, spec.ID, spec.Organisation); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if told.Load() == 0 {
			t.Errorf("read before: %v: the entry that runs the job wasn't told", read)
		}
		cancel()
		m.Wait()
	}
}

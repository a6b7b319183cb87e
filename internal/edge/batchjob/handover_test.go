package batchjob

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// leavingStore is a store client with which the manager begins to leave while a job is being read.
type leavingStore struct {
	*storeClient
	manager atomic.Pointer[Manager]
}

func (c *leavingStore) Get(ctx context.Context, kind, name string) (product.Object, error) {
	if m := c.manager.Load(); m != nil {
		m.HandOverJobs(ctx)
	}
	return c.storeClient.Get(ctx, kind, name)
}

// Guards against a job that no entry runs because one agreed to run it and began to leave before it did.
func TestEntryThatBeginsToLeaveRefusesAJob(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	client := &leavingStore{storeClient: store.client()}
	m := newTestManager(ctx, client, fakeMembers{self: "self"})
	client.manager.Store(m)
	defer m.Wait()
	defer cancel()
	if err := m.handleRun(ctx, RunRequest{Job: spec.ID, Organisation: spec.Organisation, From: "other"}); err == nil {
		t.Error("the entry agreed to run the job, and doesn't")
	}
}

// startTaker starts an entry that refuses the first requests to run a job. It returns the entry, and what counts the requests and tells
// when it has agreed to one.
func startTaker(ctx context.Context, t *testing.T, refusals int) (member gossip.Member, agreed chan struct{}) {
	t.Helper()
	agreed = make(chan struct{})
	var requests atomic.Int64
	registry := peer.NewRegistry()
	peer.Handle(registry, MethodRun, func(context.Context, RunRequest) (RunAnswer, error) {
		switch n := requests.Add(1); {
		case n <= int64(refusals):
			return RunAnswer{}, errors.New("the store can't be read")
		case n == int64(refusals)+1:
			close(agreed)
		}
		return RunAnswer{}, nil
	})
	return gossip.Member{HostID: "taker", Address: startPeer(ctx, t, registry)}, agreed
}

// startSilentEntry starts an entry that is preferred for all jobs and answers no request.
func startSilentEntry(ctx context.Context, t *testing.T) gossip.Member {
	t.Helper()
	registry := peer.NewRegistry()
	peer.Handle(registry, MethodRun, func(ctx context.Context, _ RunRequest) (RunAnswer, error) {
		<-ctx.Done()
		return RunAnswer{}, ctx.Err()
	})
	return gossip.Member{HostID: "silent", Cores: 100, Address: startPeer(ctx, t, registry)}
}

// Guards against jobs that no entry runs because the others refused them once when their entry left, or because that entry first waited for a
// store that it can't reach, or for an entry that doesn't answer.
func TestLeavingEntryHandsOverItsJobs(t *testing.T) {
	for _, test := range []struct {
		name     string
		refusals int
		// silent is set if the entry that is asked first doesn't answer.
		silent bool
		// storeDown is set if the leaving entry doesn't reach the store, where it has a result to write.
		storeDown bool
	}{
		{name: "taken at once"},
		{name: "refused three times", refusals: 3},
		{name: "no store", storeDown: true},
		{name: "first entry silent", silent: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			taker, agreed := startTaker(ctx, t, test.refusals)
			client := newMemoryStore().client()
			members := fakeMembers{self: "self", others: []gossip.Member{taker}}
			if test.silent {
				members.others = append(members.others, startSilentEntry(ctx, t))
			}
			m := newTestManager(ctx, client, members)
			defer m.Wait()
			var handover conc.WaitGroup
			defer handover.Wait()
			defer cancel()
			if test.storeDown {
				client.setFault(faultDown)
			}
			j := m.startJob(newJob(newStoredSpec()))
			completeItem(j, "a")
			drain, stop := context.WithTimeout(ctx, 6*time.Second)
			defer stop()
			handover.Go(func() { m.HandOverJobs(drain) })
			select {
			case <-agreed:
			case <-time.After(maxIdleOfJob):
				t.Errorf("no entry runs the job after %v", maxIdleOfJob)
			}
		})
	}
}

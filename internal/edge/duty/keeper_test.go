package duty

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const zoneDuty = "serverOrders/om-north-a"

// quick is a lease short enough for tests; the order of its parts is that of the default.
func quick() lease.Timing {
	return lease.Timing{Term: 600 * time.Millisecond, Renew: 150 * time.Millisecond, Margin: 100 * time.Millisecond}
}

func holder(id string, incarnation uint64) Holder {
	return Holder{HostID: id, Address: netip.MustParseAddrPort("127.0.0.1:7400"), Incarnation: incarnation}
}

// start runs a keeper that ends with the returned function.
func start(t *testing.T, store platform.Store, self Holder, opts ...Option) (*Keeper, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	k := NewKeeper(ctx, store, zoneDuty, self, append([]Option{WithTiming(quick())}, opts...)...)
	stop := func() {
		cancel()
		k.Wait()
	}
	t.Cleanup(stop)
	return k, stop
}

// eventually waits for the keeper's changes until ok holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			t.Fatalf("never: %s", what)
		}
	}
}

func held(k *Keeper) bool {
	_, ok := k.Held(time.Now())
	return ok
}

// TestTakeoverAfterDeath is a holder's process that is killed.
//
// What a user would see: nobody orders servers any more. The holder dies without a release; another
// contender sees the object unchanged for a term and a margin, takes it and gets a higher number.
func TestTakeoverAfterDeath(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		first, stopFirst := start(t, store, holder("entry-1", 1))
		eventually(t, "first holds", func() bool { return held(first) })
		before, _ := first.Held(time.Now())
		second, stopSecond := start(t, store, holder("entry-2", 2))
		stopFirst()
		eventually(t, "second holds", func() bool { return held(second) })
		after, _ := second.Held(time.Now())
		if held(first) || after.Number <= before.Number {
			t.Errorf("first held %v, numbers %d then %d", held(first), before.Number, after.Number)
		}
		stopSecond()
	})
}

// TestPausedHolderKnowsWithoutCalls is a process that is stopped past its term.
//
// What a user would see: an order of a host that is not in charge any more. The process is stopped right
// after a check; when it goes on its control goroutine hasn't run yet. The clock alone must tell.
func TestPausedHolderKnowsWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var skipped atomic.Int64
		clock := func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }
		k, _ := start(t, standin.NewMemory(), holder("entry-1", 1), WithClock(clock))
		eventually(t, "holds", func() bool { _, ok := k.Held(clock()); return ok })
		fence, _ := k.Held(clock())
		woken := clock().Add(30 * time.Second)
		if _, ok := k.Held(woken); ok {
			t.Error("held 30 s after the renewal")
		}
		if !fence.Deadline.Before(woken) {
			t.Errorf("deadline %v is not before %v", fence.Deadline, woken)
		}
	})
}

// TestLostAnswers is a platform that loses the answers of writes.
//
// What a user would see: a duty that flaps or is never taken. The write that takes the lease, and some
// renewals, take effect but fail; the keeper reads the object and recognises its own record.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		store.LoseAnswers(1)
		k, _ := start(t, store, holder("entry-1", 1))
		eventually(t, "holds", func() bool { return held(k) })
		taken, _ := k.Held(time.Now())
		store.LoseAnswers(2)
		eventually(t, "renewed", func() bool {
			fence, ok := k.Held(time.Now())
			return ok && fence.Number > taken.Number+2
		})
		object, err := store.Get(context.Background(), ObjectPrefix+zoneDuty)
		if err != nil {
			t.Fatal(err)
		}
		record, err := lease.ReadRecord(object.Value)
		if err != nil || record.Holder != k.self {
			t.Errorf("record %+v, %v", record, err)
		}
	})
}

// TestOutage is a platform that is down for longer than a term.
//
// What a user would see: a holder that goes on although another could have been told otherwise, or a duty
// that stays free after the outage. The term runs out; after the outage a contender holds again.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		first, _ := start(t, store, holder("entry-1", 1))
		second, _ := start(t, store, holder("entry-2", 2))
		eventually(t, "one holds", func() bool { return held(first) || held(second) })
		store.Outage(true)
		eventually(t, "nobody holds", func() bool { return !held(first) && !held(second) })
		store.Outage(false)
		eventually(t, "one holds again", func() bool { return held(first) || held(second) })
	})
}

// TestRelease hands a duty over when a host leaves.
//
// What a user would see: a graceful restart that leaves a zone without orders for a whole term. The
// holder gives the object back and the watching contender takes it at once.
func TestRelease(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		slow := WithTiming(lease.Timing{Term: time.Hour, Renew: time.Minute, Margin: time.Minute})
		first, stopFirst := start(t, store, holder("entry-1", 1), slow)
		eventually(t, "first holds", func() bool { return held(first) })
		second, stopSecond := start(t, store, holder("entry-2", 2), slow)
		eventually(t, "second watches", func() bool { _, ok := second.Holder(); return ok })
		if err := first.Release(context.Background()); err != nil {
			t.Fatal(err)
		}
		if held(first) {
			t.Error("first holds after its release")
		}
		eventually(t, "second holds", func() bool { return held(second) })
		stopFirst()
		stopSecond()
	})
}

// TestReleaseInOutage ends with its context and holds nothing all the same.
func TestReleaseInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		k, _ := start(t, store, holder("entry-1", 1))
		eventually(t, "holds", func() bool { return held(k) })
		store.Outage(true)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if err := k.Release(ctx); err == nil {
			t.Error("released in an outage")
		}
		if held(k) {
			t.Error("held after release")
		}
	})
}

// TestObserver sees the holder and never takes the duty.
func TestObserver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		observer, _ := start(t, store, holder("entry-9", 9), WithContend(false))
		first, stop := start(t, store, holder("entry-1", 1))
		eventually(t, "observer sees the holder", func() bool {
			seen, ok := observer.Holder()
			return ok && seen == first.self
		})
		stop()
		never := time.After(3 * quick().Term)
		for over := false; !over; {
			select {
			case <-never:
				over = true
			case <-observer.Changed():
				t.Fatal("the observed holder changed")
			}
		}
		if held(observer) {
			t.Error("the observer holds the duty")
		}
	})
}

// A host that starts reads with the lease what its holder knew at its last renewal, also if the holder is gone by then. The lease itself must be
// the same with notes and without: the next host takes it over, and its own notes replace the former ones.
func TestNotesGoWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := standin.NewMemory()
		var open atomic.Pointer[[]string]
		open.Store(&[]string{"j1"})
		first, stopFirst := start(t, memory, holder("entry-1", 1), WithNotes(func() []string { return *open.Load() }, func([]string) {}))
		eventually(t, "first holds", func() bool { return held(first) })
		open.Store(&[]string{"j1", "j2"})
		<-time.After(2 * quick().Renew)
		stopFirst()
		var read atomic.Pointer[[]string]
		second, stopSecond := start(t, memory, holder("entry-2", 2),
			WithNotes(func() []string { return nil }, func(notes []string) { read.Store(&notes) }))
		eventually(t, "second has read the notes", func() bool { return read.Load() != nil })
		if diff := cmp.Diff([]string{"j1", "j2"}, *read.Load()); diff != "" {
			t.Errorf("notes: %s", diff)
		}
		eventually(t, "second holds", func() bool { return held(second) })
		stopSecond()
		third, _ := start(t, memory, holder("entry-3", 3),
			WithNotes(func() []string { return nil }, func(notes []string) { t.Errorf("notes of a former holder: %v", notes) }))
		eventually(t, "third holds", func() bool { return held(third) })
	})
}

// Guards against reads of the lease at a common start by entries that may not contend for it.
func TestAKeeperThatMayNotStartMakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := standin.NewMemory()
		var may atomic.Bool
		waiting, _ := start(t, memory, holder("entry-1", 1), WithStartIf(may.Load))
		<-time.After(4 * quick().Term)
		if _, err := memory.Get(t.Context(), ObjectPrefix+zoneDuty); !errors.Is(err, platform.ErrNotFound) {
			t.Fatalf("lease was written before the start: %v", err)
		}
		may.Store(true)
		eventually(t, "the keeper holds the duty", func() bool { return held(waiting) })
		may.Store(false)
		<-time.After(4 * quick().Term)
		if !held(waiting) {
			t.Error("a started keeper lost the duty")
		}
	})
}

// Guards against a delayed shutdown of a host whose keeper never started.
func TestAKeeperThatNeverStartedIsReleasedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waiting, _ := start(t, standin.NewMemory(), holder("entry-1", 1), WithStartIf(func() bool { return false }))
		began := time.Now()
		if err := waiting.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > startPause {
			t.Errorf("release took %v", took)
		}
	})
}

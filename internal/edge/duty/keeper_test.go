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

// shortTiming is a lease short enough for tests, with its times in the same order as in the default.
func shortTiming() lease.Timing {
	return lease.Timing{Term: 600 * time.Millisecond, Renew: 150 * time.Millisecond, Margin: 100 * time.Millisecond}
}

func holder(id string, incarnation uint64) Holder {
	return Holder{HostID: id, Address: netip.MustParseAddrPort("127.0.0.1:7400"), Incarnation: incarnation}
}

// startKeeper runs a keeper until the returned function is called.
func startKeeper(t *testing.T, store platform.Store, self Holder, opts ...Option) (*Keeper, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	k := NewKeeper(ctx, store, zoneDuty, self, append([]Option{WithTiming(shortTiming())}, opts...)...)
	stop := func() {
		cancel()
		k.Wait()
	}
	t.Cleanup(stop)
	return k, stop
}

// eventually polls until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for started := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(started) > 20*time.Second {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func held(k *Keeper) bool {
	_, ok := k.Held(time.Now())
	return ok
}

// Guards against a duty that stays unheld, for example no more orders for servers, after its holder's process is killed. The
// holder dies without a release; another contender sees the lease object unchanged for a term and a margin, takes it over and
// gets a higher number.
func TestTakeoverAfterDeath(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		first, stopFirst := startKeeper(t, store, holder("entry-1", 1))
		eventually(t, "first holds", func() bool { return held(first) })
		before, _ := first.Held(time.Now())
		second, stopSecond := startKeeper(t, store, holder("entry-2", 2))
		stopFirst()
		eventually(t, "second holds", func() bool { return held(second) })
		after, _ := second.Held(time.Now())
		if held(first) || after.Number <= before.Number {
			t.Errorf("first holds: %v; numbers = %d, then %d, want an increase", held(first), before.Number, after.Number)
		}
		stopSecond()
	})
}

// Guards against an order by a host that no longer holds the duty. Its process is paused right after a check until after the end
// of its term, and its control goroutine has not run since. Held must detect this from the clock, without a store call.
func TestPausedHolderKnowsWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var skipped atomic.Int64
		clock := func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }
		k, _ := startKeeper(t, standin.NewMemory(), holder("entry-1", 1), WithClock(clock))
		eventually(t, "the keeper holds", func() bool { _, ok := k.Held(clock()); return ok })
		fence, _ := k.Held(clock())
		resumed := clock().Add(30 * time.Second)
		if _, ok := k.Held(resumed); ok {
			t.Error("held 30 s after the renewal")
		}
		if !fence.Deadline.Before(resumed) {
			t.Errorf("deadline %v is not before %v", fence.Deadline, resumed)
		}
	})
}

// Guards against a duty that changes hands again and again or is never taken, while the platform loses the answers to writes.
// The write that takes the lease and some renewals take effect but fail; the keeper reads the object and recognises its own
// record.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		store.LoseAnswers(1)
		k, _ := startKeeper(t, store, holder("entry-1", 1))
		eventually(t, "the keeper holds", func() bool { return held(k) })
		taken, _ := k.Held(time.Now())
		store.LoseAnswers(2)
		eventually(t, "the lease is renewed", func() bool {
			fence, ok := k.Held(time.Now())
			return ok && fence.Number > taken.Number+2
		})
		object, err := store.Get(context.Background(), ObjectPrefix+zoneDuty)
		if err != nil {
			t.Fatal(err)
		}
		record, err := lease.ReadRecord(object.Value)
		if err != nil || record.Holder != k.self {
			t.Errorf("record = %+v, error = %v, want one of this holder", record, err)
		}
	})
}

// Guards against a holder that goes on while the platform is down for longer than a term, although another host may have taken
// over, and against a duty that stays unheld afterwards. The term must end, and a contender must hold again after the outage.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		first, _ := startKeeper(t, store, holder("entry-1", 1))
		second, _ := startKeeper(t, store, holder("entry-2", 2))
		eventually(t, "one holds", func() bool { return held(first) || held(second) })
		store.SetOutage(true)
		eventually(t, "nobody holds", func() bool { return !held(first) && !held(second) })
		store.SetOutage(false)
		eventually(t, "one holds again", func() bool { return held(first) || held(second) })
	})
}

// Guards against a graceful restart that leaves a zone without orders for a full term. The holder releases the lease object,
// and the contender that watches it takes over at once.
func TestRelease(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		slow := WithTiming(lease.Timing{Term: time.Hour, Renew: time.Minute, Margin: time.Minute})
		first, stopFirst := startKeeper(t, store, holder("entry-1", 1), slow)
		eventually(t, "first holds", func() bool { return held(first) })
		second, stopSecond := startKeeper(t, store, holder("entry-2", 2), slow)
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

// A release in an outage fails when its context ends, and the duty is not held afterwards all the same.
func TestReleaseInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		k, _ := startKeeper(t, store, holder("entry-1", 1))
		eventually(t, "the keeper holds", func() bool { return held(k) })
		store.SetOutage(true)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if err := k.Release(ctx); err == nil {
			t.Error("Release succeeded in an outage")
		}
		if held(k) {
			t.Error("duty held after Release")
		}
	})
}

// A keeper that does not contend sees the holder and never takes the duty over.
func TestObserver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemory()
		observer, _ := startKeeper(t, store, holder("entry-9", 9), WithContend(false))
		first, stop := startKeeper(t, store, holder("entry-1", 1))
		eventually(t, "observer sees the holder", func() bool {
			seen, ok := observer.Holder()
			return ok && seen == first.self
		})
		stop()
		timeout := time.After(3 * shortTiming().Term)
		for ended := false; !ended; {
			select {
			case <-timeout:
				ended = true
			case <-observer.Changed():
				t.Fatal("the observed holder changed")
			}
		}
		if held(observer) {
			t.Error("the observer holds the duty")
		}
	})
}

// A starting host reads from the lease what its holder knew at its last renewal, even if the holder has since died. Notes must not
// affect the lease: the next host takes it over, and its own notes replace the earlier ones.
func TestNotesAreStoredWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := standin.NewMemory()
		var openNotes atomic.Pointer[[]string]
		openNotes.Store(&[]string{"j1"})
		first, stopFirst := startKeeper(t, memory, holder("entry-1", 1), WithNotes(func() []string { return *openNotes.Load() }, func([]string) {}))
		eventually(t, "first holds", func() bool { return held(first) })
		openNotes.Store(&[]string{"j1", "j2"})
		<-time.After(2 * shortTiming().Renew)
		stopFirst()
		var read atomic.Pointer[[]string]
		second, stopSecond := startKeeper(t, memory, holder("entry-2", 2),
			WithNotes(func() []string { return nil }, func(notes []string) { read.Store(&notes) }))
		eventually(t, "second has read the notes", func() bool { return read.Load() != nil })
		if diff := cmp.Diff([]string{"j1", "j2"}, *read.Load()); diff != "" {
			t.Errorf("notes differ (-want +got):\n%s", diff)
		}
		eventually(t, "second holds", func() bool { return held(second) })
		stopSecond()
		third, _ := startKeeper(t, memory, holder("entry-3", 3),
			WithNotes(func() []string { return nil }, func(notes []string) { t.Errorf("third received the notes of an earlier holder: %v", notes) }))
		eventually(t, "third holds", func() bool { return held(third) })
	})
}

// Guards against reads of the lease by entries that may not contend for it, when all entries start at once.
func TestKeeperMakesNoCallsBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := standin.NewMemory()
		var may atomic.Bool
		waiting, _ := startKeeper(t, memory, holder("entry-1", 1), WithStartIf(may.Load))
		<-time.After(4 * shortTiming().Term)
		if _, err := memory.Get(t.Context(), ObjectPrefix+zoneDuty); !errors.Is(err, platform.ErrNotFound) {
			t.Fatalf("lease was written before the start: %v", err)
		}
		may.Store(true)
		eventually(t, "the keeper holds the duty", func() bool { return held(waiting) })
		may.Store(false)
		<-time.After(4 * shortTiming().Term)
		if !held(waiting) {
			t.Error("a started keeper lost the duty")
		}
	})
}

// Guards against a delayed shutdown of a host whose keeper never started.
func TestReleaseOfUnstartedKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waiting, _ := startKeeper(t, standin.NewMemory(), holder("entry-1", 1), WithStartIf(func() bool { return false }))
		started := time.Now()
		if err := waiting.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(started); took > startCheckInterval {
			t.Errorf("release took %v, want at most startCheckInterval", took)
		}
	})
}

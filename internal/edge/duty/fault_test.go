package duty

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// callsOfLease covers the first read, the taking and two renewals.
const callsOfLease = 4

// leaseCase is one fault of a holder's calls.
type leaseCase struct {
	with standin.Disturbance
	// call is the first one that is disturbed: 0 and 1 when the lease is taken, later ones when it is renewed.
	call int
	// lasting disturbs all calls from there on, until the lease is lost.
	lasting bool
	dies    bool
	down    bool
}

func leaseCases() []leaseCase {
	var cases []leaseCase
	both := []bool{false, true}
	for _, with := range standin.Disturbances() {
		for call := range callsOfLease {
			for _, lasting := range both {
				for _, dies := range both {
					for _, down := range both {
						if lasting || !down {
							cases = append(cases, leaseCase{with: with, call: call, lasting: lasting, dies: dies, down: down})
						}
					}
				}
			}
		}
	}
	return cases
}

// watcher looks at two keepers all the time.
type watcher struct {
	group conc.WaitGroup
	ended atomic.Bool
	both  atomic.Int64
}

// watch looks at the first keeper before and after the second: one that held under the same number at both
// looks held at the look between them too, so that a handover between two looks doesn't count.
func watch(first, second *Keeper) *watcher {
	w := &watcher{}
	w.group.Go(func() {
		for !w.ended.Load() {
			now := time.Now()
			before, heldBefore := first.Held(now)
			other, otherHolds := second.Held(now)
			after, heldAfter := first.Held(now)
			throughout := heldBefore && heldAfter && before.Number == after.Number
			if throughout && otherHolds && other.Number != before.Number {
				w.both.Add(1)
			}
			<-time.After(time.Millisecond)
		}
	})
	return w
}

func (w *watcher) stop() int64 {
	w.ended.Store(true)
	w.group.Wait()
	return w.both.Load()
}

// Two hosts are in charge at once, or nobody is for good. The calls of one contender are disturbed
// from each call on, once or for long, in each way; it dies then or wakes and goes on, the platform
// is down until after that or not, and another one stands by. At no moment may both hold; a new
// holder's number must be higher than the one before; and one must hold in the end.
func TestLeaseUnderFaults(t *testing.T) {
	for _, c := range leaseCases() {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, c.run)
		})
	}
}

func (c leaseCase) run(t *testing.T) {
	memory := standin.NewMemory()
	way := standin.NewDisturbed(memory)
	way.At(c.call, c.with, c.lasting)
	first, stopFirst := start(t, way, holder("entry-1", 1))
	<-way.Reached()
	memory.Outage(c.down)
	second, _ := start(t, memory, holder("entry-2", 2))
	w := watch(first, second)
	<-time.After(quick().Term + quick().Margin)
	before, _ := second.Held(time.Now())
	if c.dies {
		died := make(chan struct{})
		go func() {
			stopFirst()
			close(died)
		}()
		defer func() { <-died }()
	}
	way.Heal()
	memory.Outage(false)
	eventually(t, "one holds", func() bool { return !c.dies && held(first) || held(second) })
	if c.dies {
		eventually(t, "the other host holds", func() bool { return held(second) })
	}
	if after, ok := second.Held(time.Now()); ok && after.Number < before.Number {
		t.Errorf("number %d after %d", after.Number, before.Number)
	}
	if both := w.stop(); both > 0 {
		t.Errorf("both held at %d looks", both)
	}
}

// A zone stands without a holder after a host left, or the host that left still orders: the answer
// to its release is lost, or the release never arrives, comes late, twice, or after an outage. From
// the release on it must not hold, and the next contender must.
func TestReleaseUnderFaults(t *testing.T) {
	for _, with := range standin.Disturbances() {
		for _, down := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s down %v", with, down), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					memory := standin.NewMemory()
					way := standin.NewDisturbed(memory)
					first, _ := start(t, way, holder("entry-1", 1))
					eventually(t, "first holds", func() bool { return held(first) })
					second, _ := start(t, memory, holder("entry-2", 2))
					memory.Outage(down)
					way.At(0, with, true)
					w := watch(first, second)
					ctx, cancel := context.WithTimeout(t.Context(), quick().Renew)
					defer cancel()
					// Whether the release is known to have been written is not what counts here.
					_ = first.Release(ctx)
					if held(first) {
						t.Error("held after the release")
					}
					way.Heal()
					memory.Outage(false)
					eventually(t, "second holds", func() bool { return held(second) })
					if both := w.stop(); both > 0 || held(first) {
						t.Errorf("both held at %d looks; the first holds: %v", both, held(first))
					}
				})
			})
		}
	}
}

// A duty flaps or has two holders while each call of the platform takes a good part of the term, or
// longer than the term.
func TestLeaseWhileThePlatformIsSlow(t *testing.T) {
	for _, delay := range []time.Duration{quick().Renew / 2, quick().Term / 2, 2 * quick().Term} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				memory := standin.NewMemory()
				memory.Delay(delay)
				first, _ := start(t, memory, holder("entry-1", 1))
				second, _ := start(t, memory, holder("entry-2", 2))
				w := watch(first, second)
				<-time.After(6 * quick().Term)
				memory.Delay(0)
				eventually(t, "one holds", func() bool { return held(first) || held(second) })
				if both := w.stop(); both > 0 {
					t.Errorf("both held at %d looks", both)
				}
			})
		})
	}
}

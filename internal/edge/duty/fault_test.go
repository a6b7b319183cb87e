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

// leaseCalls covers the first read, the takeover and two renewals.
const leaseCalls = 4

// leaseCase is one fault in the store calls of a holder.
type leaseCase struct {
	disturbance standin.CallFault
	// firstCall is the first disturbed call: 0 and 1 belong to the takeover of the lease, later ones to renewals.
	firstCall int
	// lasting disturbs all calls from firstCall on, until the lease is lost.
	lasting      bool
	holderDies   bool
	platformDown bool
}

func leaseCases() []leaseCase {
	var cases []leaseCase
	bools := []bool{false, true}
	for _, disturbance := range standin.CallFaults() {
		for firstCall := range leaseCalls {
			for _, lasting := range bools {
				for _, holderDies := range bools {
					for _, platformDown := range bools {
						if lasting || !platformDown {
							cases = append(cases, leaseCase{
								disturbance: disturbance, firstCall: firstCall, lasting: lasting, holderDies: holderDies, platformDown: platformDown,
							})
						}
					}
				}
			}
		}
	}
	return cases
}

// overlapDetector counts the moments at which two keepers hold the duty at once.
type overlapDetector struct {
	group    conc.WaitGroup
	ended    atomic.Bool
	overlaps atomic.Int64
}

// detectOverlaps reads the first keeper before and after the second. Only if the first one held under the same number both
// times did it also hold when the second was read, so that a handover between two reads does not count.
func detectOverlaps(first, second *Keeper) *overlapDetector {
	d := &overlapDetector{}
	d.group.Go(func() {
		for !d.ended.Load() {
			now := time.Now()
			before, heldBefore := first.Held(now)
			other, otherHolds := second.Held(now)
			after, heldAfter := first.Held(now)
			heldThroughout := heldBefore && heldAfter && before.Number == after.Number
			if heldThroughout && otherHolds && other.Number != before.Number {
				d.overlaps.Add(1)
			}
			<-time.After(time.Millisecond)
		}
	})
	return d
}

func (d *overlapDetector) stop() int64 {
	d.ended.Store(true)
	d.group.Wait()
	return d.overlaps.Load()
}

// Guards against two holders at once and against a duty that stays unheld. Each fault is injected into the store calls of one
// contender, starting at each call, once or permanently. The contender then dies or continues, the platform is down until then
// or not, and a second contender is ready. The two must never hold at once, the number must never decrease, and one must hold in the end.
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
	disturbed := standin.NewFaultInjector(memory)
	disturbed.InjectAt(c.firstCall, c.disturbance, c.lasting)
	first, stopFirst := startKeeper(t, disturbed, holder("entry-1", 1))
	<-disturbed.Injected()
	memory.SetOutage(c.platformDown)
	second, _ := startKeeper(t, memory, holder("entry-2", 2))
	detector := detectOverlaps(first, second)
	<-time.After(shortTiming().Term + shortTiming().Margin)
	before, _ := second.Held(time.Now())
	if c.holderDies {
		died := make(chan struct{})
		go func() {
			stopFirst()
			close(died)
		}()
		defer func() { <-died }()
	}
	disturbed.Heal()
	memory.SetOutage(false)
	eventually(t, "one holds", func() bool { return !c.holderDies && held(first) || held(second) })
	if c.holderDies {
		eventually(t, "the other host holds", func() bool { return held(second) })
	}
	if after, ok := second.Held(time.Now()); ok && after.Number < before.Number {
		t.Errorf("number = %d after %d", after.Number, before.Number)
	}
	if overlaps := detector.stop(); overlaps > 0 {
		t.Errorf("both held at %d checks", overlaps)
	}
}

// Guards against a zone without a holder after a host left, and against orders by the host that left. The answer to its
// release is lost, or the release never arrives, or arrives late, twice or after an outage. From the release on it must not
// hold, and the next contender must.
func TestReleaseUnderFaults(t *testing.T) {
	for _, disturbance := range standin.CallFaults() {
		for _, down := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s down %v", disturbance, down), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					memory := standin.NewMemory()
					disturbed := standin.NewFaultInjector(memory)
					first, _ := startKeeper(t, disturbed, holder("entry-1", 1))
					eventually(t, "first holds", func() bool { return held(first) })
					second, _ := startKeeper(t, memory, holder("entry-2", 2))
					memory.SetOutage(down)
					disturbed.InjectAt(0, disturbance, true)
					detector := detectOverlaps(first, second)
					ctx, cancel := context.WithTimeout(t.Context(), shortTiming().Renew)
					defer cancel()
					// It does not matter here whether the release is known to have been written.
					_ = first.Release(ctx)
					if held(first) {
						t.Error("held after the release")
					}
					disturbed.Heal()
					memory.SetOutage(false)
					eventually(t, "second holds", func() bool { return held(second) })
					if overlaps := detector.stop(); overlaps > 0 || held(first) {
						t.Errorf("both held at %d checks; first holds: %v", overlaps, held(first))
					}
				})
			})
		}
	}
}

// Guards against a duty with frequent changes of holder or with two holders while each call of the platform takes a large part
// of the term, or longer than the term.
func TestLeaseWhileThePlatformIsSlow(t *testing.T) {
	for _, delay := range []time.Duration{shortTiming().Renew / 2, shortTiming().Term / 2, 2 * shortTiming().Term} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				memory := standin.NewMemory()
				memory.SetDelay(delay)
				first, _ := startKeeper(t, memory, holder("entry-1", 1))
				second, _ := startKeeper(t, memory, holder("entry-2", 2))
				detector := detectOverlaps(first, second)
				<-time.After(6 * shortTiming().Term)
				memory.SetDelay(0)
				eventually(t, "one holds", func() bool { return held(first) || held(second) })
				if overlaps := detector.stop(); overlaps > 0 {
					t.Errorf("both held at %d checks", overlaps)
				}
			})
		})
	}
}

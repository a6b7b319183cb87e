package batchjob

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// setSlots changes the number of slots of a server.
func (p *unevenPool) setSlots(id string, slots int) {
	servers := p.balancer.Servers()
	for i := range servers {
		if servers[i].ID == id {
			servers[i].Slots = slots
		}
	}
	p.balancer.Sync(time.Now(), servers)
}

// makeSuspect records that servers ended under the item, as often as makes a suspect.
func makeSuspect(j *job, item string) {
	for range batch.MaxServerEnds - 1 {
		j.progress.RecordServerEnd(item, batch.EndedRun{Last: 1})
	}
}

// startedWithin reports whether a server of the pool got the item within the time.
func startedWithin(server *platformtest.Server, item string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, got := range server.Requests() {
			if got.ID() == item {
				return true
			}
		}
	}
	return false
}

// Guards against a suspect that waits beside a free slot for as long as another suspect runs at the server that the plan prefers.
func TestSuspectStartsWhileThePreferredServerRunsAnother(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newUnevenPool(ctx, t)
	defer p.Wait()
	defer cancel()
	p.setSlots("fast", 3)
	p.serverEnds.Started("fast", "other")
	j := newPlacedJob("j", "a", "b")
	makeSuspect(j, "a")
	p.startJob(j)
	if !startedWithin(p.slow, "a", time.Second) {
		t.Error("the suspect has not started at the other server within a second")
	}
	if !startedWithin(p.fast, "b", time.Second) {
		t.Error("the item behind the suspect has not started at the preferred server")
	}
}

// Guards against an item that waits beside an idle server until it no longer needs one, because the plan prefers a server that runs others.
func TestItemThatNeedsAnIdleServerGetsIt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newUnevenPool(ctx, t)
	defer p.Wait()
	defer cancel()
	p.setSlots("fast", 3)
	j := newPlacedJob("j", "a")
	for range batch.MaxServerEnds {
		j.progress.RecordServerEnd("a", batch.EndedRun{Last: 1})
	}
	j.progress.ReleaseForIsolatedRun(time.Now(), "a")
	p.startJob(j)
	if !startedWithin(p.slow, "a", 500*time.Millisecond) {
		t.Error("the item has not started at the idle server")
	}
}

// Guards against a waiting item that no plan starts because running items, more than a pass has plans, would gain by the free slot and can't
// move to it.
func TestRefusedMovesDoNotKeepASlotFromAWaitingItem(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newUnevenPool(ctx, t)
	defer p.Wait()
	defer cancel()
	servers := p.balancer.Servers()
	servers[0].Models = map[string]int{"m": 2}
	p.balancer.Sync(time.Now(), servers)
	p.acquire(t, "slow")
	p.balancer.Release("fast")
	// A short output is expected of the waiting item, so that the others gain more by the fast server.
	for range 50 {
		p.lengths.RecordFinished("m", 10, 10)
	}
	items := []string{"waits"}
	for i := range 2 * maxPlans {
		items = append(items, fmt.Sprintf("runs-%d", i))
	}
	j := newPlacedJob("j", items...)
	j.spec.SingleVersion = true
	j.spec.Items[0].ExpectedTokens = 10
	j.mu.Lock()
	for _, item := range items[1:] {
		r := p.newRunLocked(j, j.progress.Item(item), backend.Server{ID: "slow"})
		_, r.cancel = context.WithCancelCause(ctx)
		r.output.Append(batch.Event{Number: 1, Data: "x"}, 1)
	}
	j.mu.Unlock()
	p.placeItems(ctx, j, &placer{})
	defer j.wg.Wait()
	defer cancel()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.progress.IsWaiting("waits") {
		t.Error("the item waits beside a free slot")
	}
}

// Guards against sound items that wait behind more suspects than there are servers, and against suspects that share a server.
func TestItemsStartBesideMoreSuspectsThanServers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newUnevenPool(ctx, t)
	defer p.Wait()
	defer cancel()
	p.setSlots("fast", 12)
	p.setSlots("slow", 12)
	var items []string
	for i := range 10 {
		items = append(items, fmt.Sprintf("suspect-%d", i))
	}
	items = append(items, "sound-0", "sound-1", "sound-2", "sound-3")
	j := newPlacedJob("j", items...)
	for _, item := range items[:10] {
		makeSuspect(j, item)
	}
	p.placeItems(ctx, j, &placer{})
	defer j.wg.Wait()
	defer cancel()
	j.mu.Lock()
	defer j.mu.Unlock()
	suspects := map[string]int{}
	for item, r := range j.runs {
		if j.progress.Suspect(item) {
			suspects[r.server.ID]++
		}
	}
	if suspects["fast"] != 1 || suspects["slow"] != 1 || len(j.runs) != 6 {
		t.Errorf("%d items run, and suspects at %v; want the 4 sound ones and a suspect at each server", len(j.runs), suspects)
	}
}

// Guards against an item that runs twice at once: its move is given up, so that it starts elsewhere, and the end of the former run is
// recorded only after that.
func TestEndOfAFormerRunDoesNotQueueAnItemThatRuns(t *testing.T) {
	for _, test := range []struct {
		name string
		// giveUp makes the move impossible; release lets a withheld item run again.
		giveUp  func(p *unevenPool, j *job)
		release bool
	}{
		{name: "the destination runs another suspect", giveUp: func(p *unevenPool, j *job) {
			makeSuspect(j, "a")
			p.serverEnds.Started("fast", "other")
		}},
		{name: "the item is withheld, and released", release: true, giveUp: func(_ *unevenPool, j *job) {
			makeSuspect(j, "a")
			j.progress.RecordServerEnd("a", batch.EndedRun{Last: 1})
		}},
	} {
		for _, result := range []outcome{outcomeRefused, outcomeInterrupted, outcomeMoved} {
			t.Run(test.name+", "+result.String(), func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				p := newUnevenPool(ctx, t)
				defer p.Wait()
				defer cancel()
				p.balancer.Release("fast")
				j := newPlacedJob("j", "a")
				start := func() *itemRun {
					j.mu.Lock()
					defer j.mu.Unlock()
					if !j.progress.IsWaiting("a") {
						return nil
					}
					return p.newRunLocked(j, j.progress.Item("a"), backend.Server{ID: "slow"})
				}
				former := start()
				_, former.cancel = context.WithCancelCause(ctx)
				if err := p.moveItem(j, moveAction("a", "slow", "fast")); err != nil {
					t.Fatal(err)
				}
				test.giveUp(p, j)
				if next := p.continueMove(ctx, former, result); next != nil {
					t.Fatal("the item moves")
				}
				if test.release {
					j.progress.ReleaseForIsolatedRun(time.Now(), "a")
				}
				current := start()
				former.applyOutcome(result)
				if waits := j.progress.IsWaiting("a"); waits == (current != nil) {
					t.Errorf("waits: %v, runs: %v", waits, current != nil)
				}
				p.checkSlots(t)
			})
		}
	}
}

// Guards against a suspect that goes behind all other items whenever it can't start, and then waits for each of them.
func TestSuspectKeepsItsPlaceInTheQueue(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newUnevenPool(ctx, t)
	defer p.Wait()
	defer cancel()
	p.serverEnds.Started("slow", "other")
	j := newPlacedJob("j", "a", "b", "c")
	makeSuspect(j, "a")
	defer j.wg.Wait()
	defer cancel()
	// In the first pass the suspect may not use the only free slot, which another item gets. In the second one there is none.
	for range 2 {
		p.startItems(ctx, j)
		j.mu.Lock()
		next, ok := j.progress.Next()
		waiting := j.progress.Waiting()
		j.mu.Unlock()
		if !ok || next.ID != "a" || waiting != 2 {
			t.Fatalf("the next item of %d is %+v", waiting, next)
		}
		p.serverEnds.Ended("slow", "other")
	}
}

// Guards against a suspect that waits beside free slots for as long as other suspects run at all servers that have some.
func TestSuspectJoinsAnotherOneAfterAWhile(t *testing.T) {
	for name, uneven := range map[string]bool{"servers of equal speed": false, "servers of uneven speed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			p := newUnevenPool(ctx, t)
			defer p.Wait()
			defer cancel()
			p.setSlots("slow", 2)
			p.serverEnds.Started("slow", "other")
			j := newPlacedJob("j", "a")
			makeSuspect(j, "a")
			defer j.wg.Wait()
			defer cancel()
			var placer placer
			start := time.Now()
			for len(p.slow.Requests()) == 0 && time.Since(start) < 4*time.Second {
				if uneven {
					p.placeItems(ctx, j, &placer)
				} else {
					p.startItems(ctx, j)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if took := time.Since(start); took < time.Second || took > 4*time.Second {
				t.Errorf("the suspect started after %v", took)
			}
			if !strings.Contains(p.log(), "suspect item started beside another one") {
				t.Error("no line says that it shares the server")
			}
		})
	}
}

// Guards against an item that waits beside free slots because the wake-up that announced it was lost.
func TestWaitingItemStartsWithoutAWakeup(t *testing.T) {
	for name, uneven := range map[string]bool{"servers of equal speed": false, "servers of uneven speed": true} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			server := platformtest.NewServer(t, "s", "p", map[string]int{"m": 1})
			m := newPoolManager(ctx, backend.Server{ID: "s", Address: server.Address(), Slots: 2})
			defer m.Wait()
			defer cancel()
			if uneven {
				p := newUnevenPool(ctx, t)
				m, server = p.Manager, p.slow
			}
			j := newPlacedJob("j", "a")
			j.progress.Start("a")
			m.startJob(j)
			time.Sleep(checkInterval)
			j.mu.Lock()
			j.progress.Requeue("a")
			j.mu.Unlock()
			if !startedWithin(server, "a", 5*checkInterval) {
				t.Errorf("the item has not started within %v", 5*checkInterval)
			}
		})
	}
}

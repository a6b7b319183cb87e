package process

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/leader"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// arrivalTime is how long held bytes have to arrive once they may go on: TCP probes a closed window after some seconds at most.
const arrivalTime = 4 * time.Second

// losses are the ways in which the holder of the duties is lost.
var losses = []struct {
	name string
	// cut is set if the loss needs links between the processes.
	cut  bool
	lose func(trial *holderTrial, holder duty.Holder)
}{
	{name: "killed", lose: func(trial *holderTrial, holder duty.Holder) { trial.processes[holder.HostID].Kill() }},
	{name: "killed and started again", lose: func(trial *holderTrial, holder duty.Holder) {
		trial.processes[holder.HostID].Kill()
		time.Sleep(500 * time.Millisecond)
		if err := trial.processes[holder.HostID].Start(); err != nil {
			trial.t.Error(err)
		}
	}},
	{name: "paused", lose: func(trial *holderTrial, holder duty.Holder) {
		process := trial.processes[holder.HostID]
		process.Signal(syscall.SIGSTOP)
		trial.t.Cleanup(func() { process.Signal(syscall.SIGCONT) })
	}},
	{name: "terminated", lose: func(trial *holderTrial, holder duty.Holder) {
		trial.processes[holder.HostID].Signal(syscall.SIGTERM)
	}},
	{name: "cut off from the store and the others", cut: true, lose: func(trial *holderTrial, holder duty.Holder) {
		trial.endpoints[holder.HostID].HangCalls()
		for _, link := range trial.peers {
			link.cut()
		}
	}},
}

// Guards against an order that is held up while its holder is lost, and reaches the server after an order of the next holder.
func TestOrderDoesNotOutliveItsHolder(t *testing.T) {
	for _, loss := range losses {
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			trial := newHolderTrial(t, loss.cut)
			trial.orders.hold(platformtest.OrderCall)
			trial.store.PutModelVersion(longName, 2)
			holder := trial.awaitHeld(trial.orders)
			loss.lose(trial, holder)
			trial.awaitNextHolder(holder)
			trial.store.PutModelVersion(longName, 3)
			trial.eventually("the next holder orders the version", func() bool {
				for _, order := range trial.engine.ReceivedOrders() {
					if order.Version == 3 {
						return true
					}
				}
				return false
			})
			trial.orders.release()
			time.Sleep(arrivalTime)
			newest := uint64(0)
			for _, order := range trial.engine.ReceivedOrders() {
				if order.FenceToken < newest {
					t.Errorf("the order for version %d arrived with the number %d after one with %d", order.Version, order.FenceToken, newest)
				}
				newest = max(newest, order.FenceToken)
			}
		})
	}
}

// Guards against a usage report that is held up while its holder is lost, and arrives after a report of the next holder.
func TestUsageReportDoesNotOutliveItsHolder(t *testing.T) {
	for _, loss := range losses {
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			trial := newHolderTrial(t, loss.cut)
			trial.countCalls()
			trial.reports.hold(platformtest.ReportCall)
			holder := trial.awaitHeld(trial.reports)
			loss.lose(trial, holder)
			trial.awaitNextHolder(holder)
			before := len(trial.usageReceiver.Reports())
			trial.eventually("the next holder reports", func() bool { return len(trial.usageReceiver.Reports()) > before })
			trial.reports.release()
			time.Sleep(arrivalTime)
			newest := uint64(0)
			for _, report := range trial.usageReceiver.Reports() {
				if report.Fencing < newest {
					t.Errorf("the report of window %d arrived with the number %d after one with %d", report.Window, report.Fencing, newest)
				}
				newest = max(newest, report.Fencing)
			}
		})
	}
}

// Guards against a write to the store that is held up while its process is lost, and takes effect seconds later.
func TestStoreWriteDoesNotOutliveItsProcess(t *testing.T) {
	for _, loss := range losses[:3] {
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			trial := newHolderTrial(t, false)
			const host = "entry-0"
			trial.stores[host].hold(platformtest.CreateJobCall)
			// A process that has just started refuses jobs, and they are submitted again.
			go ticker.Every(t.Context(), 500*time.Millisecond, func(time.Time) {
				if trial.stores[host].heldConnection() == nil {
					trial.submitTo(t.Context(), host, "j1")
				}
			})
			trial.awaitHeld(trial.stores[host])
			loss.lose(trial, duty.Holder{HostID: host})
			// A write that is given up has ended by then.
			time.Sleep(2 * time.Second)
			trial.stores[host].release()
			time.Sleep(arrivalTime)
			if _, stored := trial.store.Get("jobs", "j1"); stored {
				t.Error("the job is in the store")
			}
		})
	}
}

// Guards against a lease that is released, and taken over at once, while a call of its holder is under way.
func TestLeaseIsReleasedAfterTheCallsUnderIt(t *testing.T) {
	for _, test := range []struct{ name, path string }{{name: "order", path: platformtest.OrderCall}, {name: "usage report", path: platformtest.ReportCall}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			trial := newHolderTrial(t, false)
			link := trial.orders
			if test.path == platformtest.ReportCall {
				link = trial.reports
				trial.countCalls()
			}
			link.hold(test.path)
			trial.store.PutModelVersion(longName, 2)
			holder := trial.awaitHeld(link)
			trial.processes[holder.HostID].Signal(syscall.SIGTERM)
			trial.eventually("the lease is released", func() bool {
				record := trial.leaseRecord()
				return record.Released || record.Holder != holder
			})
			if link.isOpen() {
				t.Error("the call is under way")
			}
		})
	}
}

// Guards against two holders at once, and orders of both in turn, where a network refuses and resets connections to a holder that is alive and
// reaches the store.
func TestRefusedHolderKeepsTheDuties(t *testing.T) {
	const (
		cuts    = 3
		cutTime = 2 * time.Second
	)
	t.Parallel()
	trial := newHolderTrial(t, true)
	trial.store.PutModelVersion(longName, 2)
	trial.eventually("the version is ordered", func() bool { return len(trial.engine.ReceivedOrders()) > 0 })
	// The others know the holder by then.
	time.Sleep(time.Second)
	holder := trial.leaseRecord().Holder
	for cut := range cuts {
		for _, link := range trial.peers {
			if link.Address == holder.Address {
				link.refuse()
			}
		}
		trial.store.PutModelVersion(longName, cut+3)
		time.Sleep(cutTime)
		for _, link := range trial.peers {
			if link.Address == holder.Address {
				link.listen(t, link.Address.String())
			}
		}
		if now := trial.leaseRecord(); now.Holder != holder || now.Released {
			t.Fatalf("cut %d: the lease is %+v, want it held by %s", cut, now, holder.HostID)
		}
		time.Sleep(cutTime)
	}
	numbers := map[uint64]bool{}
	for _, order := range trial.engine.ReceivedOrders() {
		numbers[order.FenceToken] = true
	}
	if len(numbers) != 1 {
		t.Errorf("orders of one holder carry %d numbers", len(numbers))
	}
}

// Guards against servers that get no orders for longer than the others need to know that the holder may not act any more. A holder that is
// killed, and refuses connections from then on, looks like one behind a network that refuses them: both keep the lease for its term.
func TestOrdersGoOnAfterTheHolderIsLost(t *testing.T) {
	timing := leader.LeaseTiming()
	limit := timing.Term + timing.Margin + 500*time.Millisecond
	for _, loss := range losses {
		if loss.name == "terminated" || loss.name == "killed and started again" {
			continue
		}
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			trial := newHolderTrial(t, loss.cut)
			trial.store.PutModelVersion(longName, 2)
			trial.eventually("the version is ordered", func() bool { return len(trial.engine.ReceivedOrders()) > 0 })
			renewal := trial.leaseRecord().Renewal
			trial.eventually("the lease is renewed", func() bool { return trial.leaseRecord().Renewal > renewal })
			// The others have heard of the renewal by then, from which they count their wait.
			time.Sleep(600 * time.Millisecond)
			holder := trial.leaseRecord().Holder
			loss.lose(trial, holder)
			lost := time.Now()
			trial.store.PutModelVersion(longName, 3)
			trial.eventually("the next holder orders the version", func() bool {
				return slices.ContainsFunc(trial.engine.ReceivedOrders(), func(order platformtest.Order) bool { return order.Holder != holder.HostID })
			})
			took := time.Since(lost)
			t.Logf("ordered after %v", took)
			if took > limit {
				t.Errorf("no order for %v, want at most %v", took, limit)
			}
			if earliest := timing.Term - timing.Margin - timing.Renew; took < earliest {
				t.Errorf("ordered after %v, while the holder's lease may have run for %v", took, earliest)
			}
		})
	}
}

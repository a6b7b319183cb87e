package process

import (
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

// Guards against servers that get no orders for longer than the others need to know that the holder may not act any more. An entry whose
// process has ended is known to others within their calls to it, some 0.4 s apart; a paused one keeps its lease.
func TestOrdersGoOnAfterTheHolderIsLost(t *testing.T) {
	timing := leader.LeaseTiming()
	for _, test := range []struct {
		name   string
		signal syscall.Signal
		limit  time.Duration
	}{
		{name: "killed", signal: syscall.SIGKILL, limit: 2 * time.Second},
		{name: "paused", signal: syscall.SIGSTOP, limit: timing.Term + timing.Margin + 500*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			trial := newHolderTrial(t, false)
			trial.store.PutModelVersion(longName, 2)
			trial.eventually("the version is ordered", func() bool { return len(trial.engine.ReceivedOrders()) > 0 })
			// The others know the holder by then.
			time.Sleep(time.Second)
			holder := trial.leaseRecord().Holder
			trial.processes[holder.HostID].Signal(test.signal)
			lost := time.Now()
			trial.store.PutModelVersion(longName, 3)
			trial.eventually("the next version is ordered", func() bool { return len(trial.engine.ReceivedOrders()) > 1 })
			took := time.Since(lost)
			t.Logf("ordered after %v", took)
			if took > test.limit {
				t.Errorf("no order for %v, want at most %v", took, test.limit)
			}
		})
	}
}

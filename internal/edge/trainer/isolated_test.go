package trainer

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// A trainer would learn from samples beyond the staleness bound. Host A, which holds the job, can't reach
// the platform, which others reach; it lapses, B takes the lease, and version 2 is accepted there. The
// balancer brings the trainer back to A, which has not learnt yet that it is cut off. Cause: A takes its
// own failed reads for an outage of the platform.
func TestCoordinatorCutFromPlatformDoesNotMoveAlone(t *testing.T) {
	w := newWorld(t)
	w.kill(hostA)
	way := standin.NewFaultInjector(w.store)
	w.start(hostA, hostB, way)
	w.lease.take(hostA, false)
	w.postVersion(hostA, 1)
	w.postStep(hostA, 1)
	w.collect(map[string]bool{}, w.getBatch(hostA, 1, 1, nil))
	header := w.withCursor()
	header["Request-Timeout"] = "3"
	way.InjectAt(0, standin.Refused, true)
	w.lease.take(hostB, true)
	if got := w.postVersion(hostB, 2); got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
	if got := w.getBatch(hostA, 1, 2, header); got.status == http.StatusOK {
		t.Errorf("A handed out a batch after version 2: %s", got.body)
	}
}

// A trainer would be given a batch by a coordinator that others have replaced. The holder of the
// lease is cut off from the platform and the relays, and takes that for an outage; another entry
// still reaches it and forwards a request with a cursor.
func TestIsolatedCoordinatorDoesNotMoveAlone(t *testing.T) {
	w, _ := worldInOutage(t)
	cut := hostA
	w.isolated.Store(&cut)
	header := w.withCursor()
	header["Request-Timeout"] = "2"
	for _, host := range []netip.AddrPort{hostA, hostB} {
		if got := w.getBatch(host, 1, 2, header); got.status != http.StatusServiceUnavailable {
			t.Errorf("%v: %d %s", host, got.status, got.body)
		}
	}
}

// The same, but the forwarded request came before the cut and waits for its samples meanwhile.
func TestIsolatedWhileForwardedRequestWaits(t *testing.T) {
	w, gate, waiting := worldWithRequest(t, hostB, "3")
	w.store.SetOutage(true)
	w.lease.lapse()
	cut := hostA
	w.isolated.Store(&cut)
	close(gate)
	if got := <-waiting; got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "mayHaveRun") {
		t.Errorf("%d %s", got.status, got.body)
	}
}

// A trainer would be served by a host that was replaced while it was stopped. It wakes in an outage of
// the platform that began after its successor had taken the lease.
func TestOutageCountsOnlySinceTheTerm(t *testing.T) {
	deadline := time.Now()
	cases := []struct {
		name     string
		reached  time.Time
		deadline time.Time
		down     bool
		want     bool
	}{
		{"down since the term", deadline.Add(-time.Second), deadline, true, true},
		{"reached after the term", deadline.Add(time.Second), deadline, true, false},
		{"not down", deadline.Add(-time.Second), deadline, false, false},
		{"no term", deadline, time.Time{}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &runner{machine: delivery.NewJob(testJob, hostA, 0), fence: Fence{Deadline: c.deadline}}
			r.deps.Outage = func(time.Time) (time.Time, bool) { return c.reached, c.down }
			r.checkOutage(time.Now())
			if r.outage != c.want {
				t.Errorf("outage is %v", r.outage)
			}
		})
	}
}

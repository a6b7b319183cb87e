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

// Guards against samples beyond the staleness bound. Host A, which holds the job, can't reach the platform, while others
// can. Its lease expires, B takes the lease, and B accepts version 2. The balancer sends the trainer back to A, which
// doesn't know yet that it is isolated. The failure occurs if A takes its own failed reads for an outage of the platform.
func TestCoordinatorCutOffFromPlatformDoesNotServe(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.kill(hostA)
	injector := standin.NewFaultInjector(cluster.store)
	cluster.start(hostA, hostB, injector)
	cluster.lease.take(hostA, false)
	cluster.postVersion(hostA, 1)
	cluster.postStep(hostA, 1)
	cluster.collect(map[string]bool{}, cluster.getBatch(hostA, 1, 1, nil))
	header := cluster.cursorHeader()
	header["Request-Timeout"] = "3"
	injector.InjectAt(0, standin.Refused, true)
	cluster.lease.take(hostB, true)
	if got := cluster.postVersion(hostB, 2); got.status != http.StatusOK {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
	if got := cluster.getBatch(hostA, 1, 2, header); got.status == http.StatusOK {
		t.Errorf("A delivered a batch after version 2: %s", got.body)
	}
}

// Guards against a batch from a coordinator that has been replaced. The holder of the lease is isolated from the platform
// and the relays, and takes that for an outage. Another entry still reaches it and forwards a request with a cursor.
func TestIsolatedCoordinatorDoesNotServe(t *testing.T) {
	cluster, _ := clusterInOutage(t)
	isolated := hostA
	cluster.isolated.Store(&isolated)
	header := cluster.cursorHeader()
	header["Request-Timeout"] = "2"
	for _, host := range []netip.AddrPort{hostA, hostB} {
		if got := cluster.getBatch(host, 1, 2, header); got.status != http.StatusServiceUnavailable {
			t.Errorf("%v: %d %s", host, got.status, got.body)
		}
	}
}

// Guards against the same failure if the forwarded request arrived before the isolation and waits for its samples.
func TestIsolatedWhileForwardedRequestWaits(t *testing.T) {
	cluster, gate, waiting := clusterWithWaitingRequest(t, hostB, "3")
	cluster.store.SetOutage(true)
	cluster.lease.expire()
	isolated := hostA
	cluster.isolated.Store(&isolated)
	close(gate)
	if got := <-waiting; got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "mayHaveRun") {
		t.Errorf("status %d: %s", got.status, got.body)
	}
}

// Guards against a trainer that is served by a host that was replaced while it was paused. The host resumes in an outage of
// the platform that began after its successor had taken the lease.
func TestOutageMustLastSinceTermEnd(t *testing.T) {
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

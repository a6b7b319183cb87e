package trainer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// jobTiming returns lease times that are short enough for tests, in the same order of size as the defaults.
func jobTiming() lease.Timing {
	return lease.Timing{Term: 800 * time.Millisecond, Renew: 200 * time.Millisecond, Margin: 120 * time.Millisecond}
}

// keeperLease is a lease that a real keeper maintains.
type keeperLease struct{ *duty.Keeper }

func (l keeperLease) Held(now time.Time) (Fence, bool) {
	fence, ok := l.Keeper.Held(now)
	return Fence{Number: fence.Number, Deadline: fence.Deadline}, ok
}

func (l keeperLease) Holder() (netip.AddrPort, bool) {
	holder, ok := l.Keeper.Holder()
	return holder.Address, ok
}

// leaseFor returns the fake lease unless the test uses real keepers.
func (cluster *testCluster) leaseFor(ctx context.Context, self netip.AddrPort) Lease {
	if cluster.newKeeper != nil {
		return cluster.newKeeper(ctx, self)
	}
	return hostLease{cluster.lease, self}
}

// clusterWithKeepers returns a cluster whose entries contend for the job's lease with real keepers. The first entry holds the
// lease at the start, and reaches the platform through a fault injector.
func clusterWithKeepers(t *testing.T) (*testCluster, *standin.FaultInjector) {
	t.Helper()
	cluster := newTestCluster(t)
	cluster.kill(hostA)
	cluster.kill(hostB)
	injector := standin.NewFaultInjector(cluster.store)
	cluster.newKeeper = func(ctx context.Context, self netip.AddrPort) Lease {
		store := platform.Store(cluster.store)
		if self == hostA {
			store = injector
		}
		holder := duty.Holder{HostID: self.String(), Address: self, Incarnation: uint64(self.Port())}
		return keeperLease{duty.NewKeeper(ctx, store, "trainerJob/"+testJob, holder, duty.WithTiming(jobTiming()))}
	}
	cluster.start(hostA, hostB, injector)
	cluster.eventually(hostA, "the first host holds the job", func(s *runnerStatus) bool { return s.Active })
	cluster.start(hostB, hostA, cluster.store)
	return cluster, injector
}

// requestUntilOK sends the request to the hosts in turn until one of them responds with 200, as a trainer does that continues
// with whichever entry responds.
func (cluster *testCluster) requestUntilOK(hosts []netip.AddrPort, method, path, content string) answer {
	cluster.t.Helper()
	var last answer
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		for _, host := range hosts {
			header := map[string]string{"Request-Timeout": "1"}
			if cluster.cursor != "" {
				header[HeaderCursor] = cluster.cursor
			}
			if last = cluster.call(host, method, path, content, header); last.status == http.StatusOK {
				return last
			}
		}
		<-time.After(20 * time.Millisecond)
	}
	cluster.t.Fatalf("%s %s: %d %s", method, path, last.status, last.body)
	return last
}

// hostFault is what happens to the coordinating host during a call of a stage.
type hostFault struct {
	name      string
	faultKind faultKind
	// apply returns the hosts that the trainer can still use.
	apply func(cluster *testCluster, injector *standin.FaultInjector) []netip.AddrPort
}

var bothHosts = []netip.AddrPort{hostA, hostB}

func doNothing(*testCluster, *standin.FaultInjector) []netip.AddrPort { return bothHosts }

func killHolder(cluster *testCluster, _ *standin.FaultInjector) []netip.AddrPort {
	cluster.kill(hostA)
	return []netip.AddrPort{hostB}
}

// duringOutage takes the platform down, waits for the given time, applies a fault, and brings the platform back.
func duringOutage(
	length time.Duration, fault func(*testCluster, *standin.FaultInjector) []netip.AddrPort,
) func(*testCluster, *standin.FaultInjector) []netip.AddrPort {
	return func(cluster *testCluster, injector *standin.FaultInjector) []netip.AddrPort {
		cluster.store.SetOutage(true)
		<-time.After(length)
		left := fault(cluster, injector)
		cluster.store.SetOutage(false)
		return left
	}
}

// freezeHolder also holds the holder's calls to the platform until another host holds the job. A host that resumes, or that
// is the only one cut off from the platform, has no fresh configuration at first.
func freezeHolder(cluster *testCluster, injector *standin.FaultInjector) []netip.AddrPort {
	freezeWriter(cluster, injector)
	close(cluster.callFaults.released)
	return bothHosts
}

func resumeHolder(cluster *testCluster, _ *standin.FaultInjector) []netip.AddrPort {
	close(cluster.callFaults.released)
	<-time.After(jobTiming().Renew)
	return bothHosts
}

func slowPlatform(cluster *testCluster, _ *standin.FaultInjector) []netip.AddrPort {
	cluster.store.SetDelay(jobTiming().Renew / 2)
	return bothHosts
}

var hostFaults = []hostFault{
	{"cut both ways", requestLost, doNothing},
	{"cut one way or answer lost", answerLost, doNothing},
	{"answer late", answerLate, doNothing},
	{"answer cut short", answerTruncated, doNothing},
	{"doubled", callDuplicated, doNothing},
	{"killed", callHeld, killHolder},
	{"answer lost, then killed", answerLost, killHolder},
	{"frozen and woken", callHeld, freezeHolder},
	{"platform down", answerLate, duringOutage(jobTiming().Renew, doNothing)},
	{"platform down for long", answerLate, duringOutage(3*jobTiming().Term, doNothing)},
	{"platform slow", answerLate, slowPlatform},
	{"killed while the platform is down", callHeld, duringOutage(jobTiming().Term, killHolder)},
	{"woken while the platform is down", callHeld, duringOutage(2*jobTiming().Term, resumeHolder)},
}

// Guards against a trainer that receives a sample twice, misses one, or gets no more samples. While samples are generated,
// copied or scored, some of these calls are lost, late, duplicated or cut short, and the host that coordinates the job with
// a real keeper is killed, or paused and resumed, with the platform down, slow or up. The trainer continues with whichever
// host responds. Each batch must be the same when it is requested again, and each sample must be delivered once, with its
// own score and the version that generated it.
func TestSamplesUnderFaults(t *testing.T) {
	for _, at := range []stage{stageGenerate, stageCopy, stageScore} {
		for _, skip := range []int{0, 3} {
			for _, f := range hostFaults {
				t.Run(fmt.Sprintf("%s call %d %s", at, skip, f.name), func(t *testing.T) {
					t.Parallel()
					cluster, injector := clusterWithKeepers(t)
					cluster.callFaults.inject(at, f.faultKind, skip, 2)
					cluster.requestUntilOK([]netip.AddrPort{hostA}, http.MethodPost, "/steps/1", stepBody)
					<-cluster.callFaults.injected
					cluster.takeAllBatches(f.apply(cluster, injector))
				})
			}
		}
	}
}

// takeAllBatches takes the three batches of the step, each of them twice, and checks that all samples are delivered once.
func (cluster *testCluster) takeAllBatches(hosts []netip.AddrPort) {
	cluster.t.Helper()
	seen := map[string]bool{}
	for n := 1; n <= 3; n++ {
		path := fmt.Sprintf("/steps/1/batches/%d", n)
		first := cluster.requestUntilOK(hosts, http.MethodGet, path, "")
		again := cluster.requestUntilOK(hosts, http.MethodGet, path, "")
		if first.body != again.body {
			cluster.t.Errorf("batch %d differs:\n%s\n%s", n, first.body, again.body)
		}
		for _, sample := range cluster.collect(seen, first).Samples {
			if sample.Score != 0.5 || len(sample.Spans) != 1 || sample.Spans[0].Version != 1 {
				cluster.t.Errorf("sample %+v", sample)
			}
		}
	}
	if len(seen) != 6 {
		cluster.t.Errorf("received %d samples, want 6", len(seen))
	}
}

// Guards against a step that is lost in part because its body is larger than one object of the platform. A coordinator that
// takes over after the first one died must find the whole body.
func TestStepBodyOfSeveralObjects(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.lease.take(hostA, false)
	long := strings.Repeat("log ", chunkBytes/4)
	content := fmt.Sprintf(`{"groups":[{"prompt":"first %s","samples":2},{"prompt":"second %s","samples":2}]}`, long, long)
	if got := cluster.call(hostA, http.MethodPost, "/steps/1", content, nil); got.status != http.StatusOK {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
	if chunks := cluster.record().Step.Chunks; chunks != 3 {
		t.Errorf("the body is in %d objects, want 3", chunks)
	}
	cluster.kill(hostA)
	cluster.start(hostA, hostB, cluster.store)
	cluster.lease.take(hostB, false)
	seen := map[string]bool{}
	for n := 1; n <= 2; n++ {
		for _, sample := range cluster.collect(seen, cluster.getBatch(hostB, 1, n, nil)).Samples {
			if !strings.HasSuffix(sample.Prompt, long) {
				t.Errorf("sample %s has a prompt of %d bytes", sample.SampleID, len(sample.Prompt))
			}
		}
	}
	if len(seen) != 4 {
		t.Errorf("received %d samples, want 4", len(seen))
	}
}

// Guards against samples of weights that should have been replaced. A new version is accepted while an engine fails to switch
// and continues with the old version. Its samples name the old version and are generated again; they are delivered once an
// engine serves the new version.
func TestFailedSwapDelaysSamples(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.lease.take(hostA, false)
	gate := cluster.engines.hold()
	cluster.postStep(hostA, 1)
	cluster.postVersion(hostA, 2)
	close(gate)
	if got := cluster.getBatch(hostA, 1, 1, map[string]string{"Request-Timeout": "1"}); got.status == http.StatusOK {
		t.Errorf("a batch of the old weights was delivered: %s", got.body)
	}
	cluster.engines.serve(2)
	seen := map[string]bool{}
	for n := 1; n <= 3; n++ {
		for _, sample := range cluster.collect(seen, cluster.getBatch(hostA, 1, n, nil)).Samples {
			if sample.Spans[0].Version != 2 {
				t.Errorf("sample %s was generated by version %d", sample.SampleID, sample.Spans[0].Version)
			}
		}
	}
}

package trainer

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// writeFault is a fault of the write of a manifest, combined with what happens to the host that writes it.
type writeFault struct {
	name          string
	platformFault standin.CallFault
	apply         func(cluster *testCluster, injector *standin.FaultInjector) []netip.AddrPort
}

// healLater removes the fault after one renewal interval, which is shorter than a term.
func healLater(_ *testCluster, injector *standin.FaultInjector) []netip.AddrPort {
	<-time.After(jobTiming().Renew)
	injector.Heal()
	return bothHosts
}

// killWriter kills the host. What it sent before may still arrive.
func killWriter(cluster *testCluster, injector *standin.FaultInjector) []netip.AddrPort {
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		cluster.stops[hostA]()
	}()
	<-time.After(jobTiming().Renew / 2)
	injector.Heal()
	<-killed
	delete(cluster.stops, hostA)
	return []netip.AddrPort{hostB}
}

// freezeWriter holds all platform calls of the host until the other host holds the job, and then releases them.
func freezeWriter(cluster *testCluster, injector *standin.FaultInjector) []netip.AddrPort {
	injector.InjectAt(0, standin.HeldBefore, true)
	isolated := hostA
	cluster.isolated.Store(&isolated)
	cluster.eventually(hostB, "the other host holds the job", func(s *runnerStatus) bool { return s.Active })
	injector.Heal()
	cluster.eventually(hostA, "the first host knows that the other holds the job", func(s *runnerStatus) bool { return !s.Active })
	cluster.isolated.Store(nil)
	return bothHosts
}

var writeFaults = []writeFault{
	{"cut both ways", standin.RequestLost, healLater},
	{"cut one way or answer lost", standin.AnswerLost, healLater},
	{"late", standin.Late, healLater},
	{"doubled", standin.Duplicated, healLater},
	{"refused", standin.Refused, healLater},
	{"killed before the effect", standin.HeldBefore, killWriter},
	{"killed after the effect", standin.HeldAfter, killWriter},
	{"answer lost, then killed", standin.AnswerLost, killWriter},
	{"sent late, then killed", standin.Late, killWriter},
	{"frozen before the effect", standin.HeldBefore, freezeWriter},
	{"frozen after the effect", standin.HeldAfter, freezeWriter},
	{"sent late, then frozen", standin.Late, freezeWriter},
	{"killed before the effect while the platform is down", standin.HeldBefore, duringOutage(jobTiming().Term, killWriter)},
	{"killed after the effect while the platform is down", standin.HeldAfter, duringOutage(jobTiming().Term, killWriter)},
	{"woken before the effect while the platform is down", standin.HeldBefore, duringOutage(2*jobTiming().Term, healLater)},
	{"woken after the effect while the platform is down", standin.HeldAfter, duringOutage(2*jobTiming().Term, healLater)},
	{"slow", standin.Duplicated, slowPlatform},
}

// Guards against a trainer that gets different samples when it repeats a request for a batch, gets samples twice, or gets
// no more samples. The write that decides a batch, the n-th of the job object, is lost, late, duplicated, refused or held,
// once or until the end of the fault. Its host continues, is killed, or is paused and resumed, also while the platform is
// down. A batch that the trainer received must not change, and each sample must be delivered once.
func TestBatchesUnderFaults(t *testing.T) {
	for skip := range 3 {
		for _, lasting := range []bool{false, true} {
			for _, f := range writeFaults {
				t.Run(fmt.Sprintf("write %d lasting %v %s", skip, lasting, f.name), func(t *testing.T) {
					t.Parallel()
					for range maxFaultTries {
						if takeBatchesDuringFault(t, skip, lasting, f) {
							return
						}
					}
					t.Error("the first host lost the job before the write in every try")
				})
			}
		}
	}
}

// maxFaultTries is how many times a test tries to inject a fault. On a busy machine the first host may lose its short lease,
// and with it the job, before it sends the write that is to fail.
const maxFaultTries = 5

// takeBatchesDuringFault takes all batches of a step while the fault is injected. It returns false if the first host lost the
// job before the fault. The batches that the trainer received are checked in both cases.
func takeBatchesDuringFault(t *testing.T, skip int, lasting bool, f writeFault) bool {
	t.Helper()
	cluster, injector := clusterWithKeepers(t)
	cluster.requestUntilOK([]netip.AddrPort{hostA}, http.MethodPost, "/steps/1", stepBody)
	cluster.eventually(hostA, "all samples scored, or the other host has the job",
		func(s *runnerStatus) bool { return scored(6)(s) || !s.Active })
	injector.InjectAtWrite(delivery.ObjectName(testJob), skip, f.platformFault, lasting)
	taken, done := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-injector.Injected():
			f.apply(cluster, injector)
			done <- true
		case <-taken:
			injector.Heal()
			done <- false
		}
	}()
	cluster.takeAllBatches(bothHosts)
	close(taken)
	return <-done
}

// lostAnswers are the faults of a host after it sent a response that the trainer didn't receive.
var lostAnswers = []hostFault{
	{"cut one way, answer lost or cut short", "", doNothing},
	{"cut both ways", "", disconnectHolder},
	{"killed", "", killHolder},
	{"frozen and woken", "", freezeAfterAnswer},
	{"platform slow", "", slowPlatform},
	{"platform down", "", duringOutage(jobTiming().Renew, doNothing)},
	{"platform down for long", "", duringOutage(3*jobTiming().Term, doNothing)},
	{"killed while the platform is down", "", duringOutage(2*jobTiming().Term, killHolder)},
	{"woken while the platform is down", "", duringOutage(2*jobTiming().Term, pauseAfterAnswer)},
}

func freezeAfterAnswer(cluster *testCluster, injector *standin.FaultInjector) []netip.AddrPort {
	cluster.callFaults.inject(stageGenerate, callHeld, 0, 1)
	return freezeHolder(cluster, injector)
}

// disconnectHolder makes the holder unreachable for a time. The trainer sends its further requests to the other host.
func disconnectHolder(cluster *testCluster, _ *standin.FaultInjector) []netip.AddrPort {
	holder, _ := cluster.peers.at(hostA)
	cluster.peers.set(hostA, nil)
	time.AfterFunc(2*jobTiming().Renew, func() { cluster.peers.set(hostA, holder) })
	return []netip.AddrPort{hostB}
}

// pauseAfterAnswer holds the host's platform calls for one term during the outage.
func pauseAfterAnswer(_ *testCluster, injector *standin.FaultInjector) []netip.AddrPort {
	injector.InjectAt(0, standin.HeldBefore, true)
	<-time.After(jobTiming().Term)
	injector.Heal()
	return bothHosts
}

// Guards against a trainer that receives other samples than the job object records, or receives some twice. The response with
// batch n is lost, or arrives late, after the trainer has repeated the request. The host that sent it continues, dies, or is
// paused and resumed, with the platform up, slow or down. When the trainer requests the batch again without the cursor that
// was lost with the response, the batch must be the same.
func TestDeliveryUnderFaults(t *testing.T) {
	for number := 1; number <= 3; number++ {
		for _, f := range lostAnswers {
			t.Run(fmt.Sprintf("batch %d %s", number, f.name), func(t *testing.T) {
				t.Parallel()
				cluster, injector := clusterWithKeepers(t)
				cluster.requestUntilOK([]netip.AddrPort{hostA}, http.MethodPost, "/steps/1", stepBody)
				path := func(n int) string { return fmt.Sprintf("/steps/1/batches/%d", n) }
				seen := map[string]bool{}
				for n := 1; n < number; n++ {
					cluster.collect(seen, cluster.requestUntilOK(bothHosts, http.MethodGet, path(n), ""))
				}
				cursor := cluster.cursor
				late := cluster.requestUntilOK(bothHosts, http.MethodGet, path(number), "")
				cluster.cursor = cursor
				left := f.apply(cluster, injector)
				again := cluster.requestUntilOK(left, http.MethodGet, path(number), "")
				if late.body != again.body {
					t.Errorf("batch %d was\n%s\nand is now\n%s", number, late.body, again.body)
				}
				cluster.collect(seen, again)
				for n := number + 1; n <= 3; n++ {
					cluster.collect(seen, cluster.requestUntilOK(left, http.MethodGet, path(n), ""))
				}
				if len(seen) != 6 {
					t.Errorf("received %d samples, want 6", len(seen))
				}
			})
		}
	}
}

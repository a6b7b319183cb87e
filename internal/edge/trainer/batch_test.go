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

// faultOfWrite is what happens to the write of a manifest and to the host that writes it.
type faultOfWrite struct {
	name   string
	with   standin.CallFault
	happen func(w *world, way *standin.FaultInjector) []netip.AddrPort
}

// healLater ends the disturbance after a part of the term.
func healLater(_ *world, way *standin.FaultInjector) []netip.AddrPort {
	<-time.After(jobTiming().Renew)
	way.Heal()
	return bothHosts
}

// killWriter kills the host; what it sent may still arrive.
func killWriter(w *world, way *standin.FaultInjector) []netip.AddrPort {
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		w.stops[hostA]()
	}()
	<-time.After(jobTiming().Renew / 2)
	way.Heal()
	<-killed
	delete(w.stops, hostA)
	return []netip.AddrPort{hostB}
}

// freezeWriter holds all calls of the host until another one holds the job.
func freezeWriter(w *world, way *standin.FaultInjector) []netip.AddrPort {
	way.InjectAt(0, standin.HeldBefore, true)
	cut := hostA
	w.isolated.Store(&cut)
	w.eventually(hostB, "the other host holds the job", func(s *runnerStatus) bool { return s.Active })
	way.Heal()
	w.eventually(hostA, "the first host knows of the other", func(s *runnerStatus) bool { return !s.Active })
	w.isolated.Store(nil)
	return bothHosts
}

var writeFaults = []faultOfWrite{
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

// A trainer gets a batch with other samples when it asks again, some samples twice, or none any more.
// The write that settles a batch, the n-th of the job object, is lost, late, doubled, refused or held,
// once or until the end of the fault, and its host goes on, is killed, or frozen and woken, also while the
// platform is down. Whatever the trainer was given must stay, and each sample must come once.
func TestBatchesUnderFaults(t *testing.T) {
	for skip := range 3 {
		for _, lasting := range []bool{false, true} {
			for _, f := range writeFaults {
				t.Run(fmt.Sprintf("write %d lasting %v %s", skip, lasting, f.name), func(t *testing.T) {
					t.Parallel()
					for range disturbTries {
						if takeWithFault(t, skip, lasting, f) {
							return
						}
					}
					t.Error("the first host lost the job each time before it came to the write")
				})
			}
		}
	}
}

// disturbTries is how often a fault is tried for. On a busy machine the first host may lose its short lease, and the job, before
// it comes to the write that is to be disturbed.
const disturbTries = 5

// takeWithFault takes all batches of a step while the fault comes; false if the first host lost the job before. What the trainer
// was given is judged in any case.
func takeWithFault(t *testing.T, skip int, lasting bool, f faultOfWrite) bool {
	t.Helper()
	w, way := keptWorld(t)
	w.insist([]netip.AddrPort{hostA}, http.MethodPost, "/steps/1", body)
	w.eventually(hostA, "all samples scored, or the job is the other host's", func(s *runnerStatus) bool { return scored(6)(s) || !s.Active })
	way.InjectAtWrite(delivery.ObjectName(testJob), skip, f.with, lasting)
	taken, done := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-way.Injected():
			f.happen(w, way)
			done <- true
		case <-taken:
			way.Heal()
			done <- false
		}
	}()
	w.takeAll(bothHosts)
	close(taken)
	return <-done
}

// lostAnswers are what happens to the host after it gave an answer that the trainer didn't get.
var lostAnswers = []faultOfHost{
	{"cut one way, answer lost or cut short", "", nothing},
	{"cut both ways", "", cutHolder},
	{"killed", "", killHolder},
	{"frozen and woken", "", freezeAfterAnswer},
	{"platform slow", "", slowPlatform},
	{"platform down", "", duringOutage(jobTiming().Renew, nothing)},
	{"platform down for long", "", duringOutage(3*jobTiming().Term, nothing)},
	{"killed while the platform is down", "", duringOutage(2*jobTiming().Term, killHolder)},
	{"woken while the platform is down", "", duringOutage(2*jobTiming().Term, wakeAfterAnswer)},
}

func freezeAfterAnswer(w *world, way *standin.FaultInjector) []netip.AddrPort {
	w.calls.arm(stageGenerate, held, 0, 1)
	return freezeHolder(w, way)
}

// cutHolder lets the other host, which the trainer asks on, not reach the holder for a time.
func cutHolder(w *world, _ *standin.FaultInjector) []netip.AddrPort {
	holder, _ := w.peers.at(hostA)
	w.peers.set(hostA, nil)
	time.AfterFunc(2*jobTiming().Renew, func() { w.peers.set(hostA, holder) })
	return []netip.AddrPort{hostB}
}

// wakeAfterAnswer stops the host's calls for as long as a term within the outage.
func wakeAfterAnswer(_ *world, way *standin.FaultInjector) []netip.AddrPort {
	way.InjectAt(0, standin.HeldBefore, true)
	<-time.After(jobTiming().Term)
	way.Heal()
	return bothHosts
}

// A trainer learns from other samples than the job object says, or from some twice: the answer with
// batch n was lost on its way, or comes late, after the trainer has asked again, and the host that gave
// it goes on, dies, or is frozen and woken, with the platform up, slow or down. Asked again, without the
// cursor that was lost with the answer, the batch must be the same.
func TestDeliveryUnderFaults(t *testing.T) {
	for number := 1; number <= 3; number++ {
		for _, f := range lostAnswers {
			t.Run(fmt.Sprintf("batch %d %s", number, f.name), func(t *testing.T) {
				t.Parallel()
				w, way := keptWorld(t)
				w.insist([]netip.AddrPort{hostA}, http.MethodPost, "/steps/1", body)
				path := func(n int) string { return fmt.Sprintf("/steps/1/batches/%d", n) }
				seen := map[string]bool{}
				for n := 1; n < number; n++ {
					w.collect(seen, w.insist(bothHosts, http.MethodGet, path(n), ""))
				}
				cursor := w.cursor
				late := w.insist(bothHosts, http.MethodGet, path(number), "")
				w.cursor = cursor
				left := f.happen(w, way)
				again := w.insist(left, http.MethodGet, path(number), "")
				if late.body != again.body {
					t.Errorf("batch %d was\n%s\nand is\n%s", number, late.body, again.body)
				}
				w.collect(seen, again)
				for n := number + 1; n <= 3; n++ {
					w.collect(seen, w.insist(left, http.MethodGet, path(n), ""))
				}
				if len(seen) != 6 {
					t.Errorf("%d samples came, not 6", len(seen))
				}
			})
		}
	}
}

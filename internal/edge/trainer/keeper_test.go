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

// jobTiming is a lease short enough for tests; the order of its parts is that of the default.
func jobTiming() lease.Timing {
	return lease.Timing{Term: 800 * time.Millisecond, Renew: 200 * time.Millisecond, Margin: 120 * time.Millisecond}
}

// keptLease is a lease under the real keeper.
type keptLease struct{ *duty.Keeper }

func (l keptLease) Held(now time.Time) (Fence, bool) {
	fence, ok := l.Keeper.Held(now)
	return Fence{Number: fence.Number, Deadline: fence.Deadline}, ok
}

func (l keptLease) Holder() (netip.AddrPort, bool) {
	holder, ok := l.Keeper.Holder()
	return holder.Address, ok
}

// leaseFor is the fake lease unless the test keeps a real one.
func (w *world) leaseFor(ctx context.Context, self netip.AddrPort) Lease {
	if w.keep != nil {
		return w.keep(ctx, self)
	}
	return leaseOf{w.lease, self}
}

// keptWorld is two entries that contend for the job's lease with the real keeper. The first, which
// holds it at the start, reaches the platform over a way that can be disturbed.
func keptWorld(t *testing.T) (*world, *standin.FaultInjector) {
	t.Helper()
	w := newWorld(t)
	w.kill(hostA)
	w.kill(hostB)
	way := standin.NewFaultInjector(w.store)
	w.keep = func(ctx context.Context, self netip.AddrPort) Lease {
		store := platform.Store(w.store)
		if self == hostA {
			store = way
		}
		holder := duty.Holder{HostID: self.String(), Address: self, Incarnation: uint64(self.Port())}
		return keptLease{duty.NewKeeper(ctx, store, "trainerJob/"+testJob, holder, duty.WithTiming(jobTiming()))}
	}
	w.start(hostA, hostB, way)
	w.eventually(hostA, "the first host holds the job", func(s *runnerStatus) bool { return s.Active })
	w.start(hostB, hostA, w.store)
	return w, way
}

// insist asks the hosts in turn until one answers well, as a trainer does that goes on with whichever
// entry answers.
func (w *world) insist(hosts []netip.AddrPort, method, path, content string) answer {
	w.t.Helper()
	var last answer
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		for _, host := range hosts {
			header := map[string]string{"Request-Timeout": "1"}
			if w.cursor != "" {
				header[HeaderCursor] = w.cursor
			}
			if last = w.call(host, method, path, content, header); last.status == http.StatusOK {
				return last
			}
		}
		<-time.After(20 * time.Millisecond)
	}
	w.t.Fatalf("%s %s: %d %s", method, path, last.status, last.body)
	return last
}

// faultOfHost is what happens to the coordinating host while a call of a stage is under way.
type faultOfHost struct {
	name   string
	mishap mishap
	// happen returns the hosts that are left.
	happen func(w *world, way *standin.FaultInjector) []netip.AddrPort
}

var bothHosts = []netip.AddrPort{hostA, hostB}

func nothing(*world, *standin.FaultInjector) []netip.AddrPort { return bothHosts }

func killHolder(w *world, _ *standin.FaultInjector) []netip.AddrPort {
	w.kill(hostA)
	return []netip.AddrPort{hostB}
}

// duringOutage does something while the platform is down, for as long as given.
func duringOutage(length time.Duration, what func(*world, *standin.FaultInjector) []netip.AddrPort) func(*world, *standin.FaultInjector) []netip.AddrPort {
	return func(w *world, way *standin.FaultInjector) []netip.AddrPort {
		w.store.SetOutage(true)
		<-time.After(length)
		left := what(w, way)
		w.store.SetOutage(false)
		return left
	}
}

// freezeHolder stops the holder's calls to the platform as well, until another host holds the job. A
// host that wakes, or is cut off from the platform alone, has no fresh configuration at first.
func freezeHolder(w *world, way *standin.FaultInjector) []netip.AddrPort {
	freezeWriter(w, way)
	close(w.calls.healed)
	return bothHosts
}

func wake(w *world, _ *standin.FaultInjector) []netip.AddrPort {
	close(w.calls.healed)
	<-time.After(jobTiming().Renew)
	return bothHosts
}

func slowPlatform(w *world, _ *standin.FaultInjector) []netip.AddrPort {
	w.store.SetDelay(jobTiming().Renew / 2)
	return bothHosts
}

var hostFaults = []faultOfHost{
	{"cut both ways", requestLost, nothing},
	{"cut one way or answer lost", answerLost, nothing},
	{"answer late", answerLate, nothing},
	{"answer cut short", answerShort, nothing},
	{"doubled", callTwice, nothing},
	{"killed", held, killHolder},
	{"answer lost, then killed", answerLost, killHolder},
	{"frozen and woken", held, freezeHolder},
	{"platform down", answerLate, duringOutage(jobTiming().Renew, nothing)},
	{"platform down for long", answerLate, duringOutage(3*jobTiming().Term, nothing)},
	{"platform slow", answerLate, slowPlatform},
	{"killed while the platform is down", held, duringOutage(jobTiming().Term, killHolder)},
	{"woken while the platform is down", held, duringOutage(2*jobTiming().Term, wake)},
}

// A trainer learns from a sample twice, misses one, or stands idle for good. While samples are
// generated, copied or scored, some of those calls are lost, late, doubled or cut short, and the host
// that coordinates the job under the real keeper of its lease is killed, or frozen and woken, with
// the platform down, slow or up. The trainer goes on with whichever host answers; each batch must be
// the same when it is asked for again, and each sample must come once, with its own score and the
// version that made it.
func TestSamplesUnderFaults(t *testing.T) {
	for _, at := range []stage{stageGenerate, stageCopy, stageScore} {
		for _, skip := range []int{0, 3} {
			for _, f := range hostFaults {
				t.Run(fmt.Sprintf("%s call %d %s", at, skip, f.name), func(t *testing.T) {
					t.Parallel()
					w, way := keptWorld(t)
					w.calls.arm(at, f.mishap, skip, 2)
					w.insist([]netip.AddrPort{hostA}, http.MethodPost, "/steps/1", body)
					<-w.calls.reached
					w.takeAll(f.happen(w, way))
				})
			}
		}
	}
}

// takeAll takes the three batches of the step, each twice.
func (w *world) takeAll(hosts []netip.AddrPort) {
	w.t.Helper()
	seen := map[string]bool{}
	for n := 1; n <= 3; n++ {
		path := fmt.Sprintf("/steps/1/batches/%d", n)
		first := w.insist(hosts, http.MethodGet, path, "")
		again := w.insist(hosts, http.MethodGet, path, "")
		if first.body != again.body {
			w.t.Errorf("batch %d differs:\n%s\n%s", n, first.body, again.body)
		}
		for _, sample := range w.collect(seen, first).Samples {
			if sample.Score != 0.5 || len(sample.Spans) != 1 || sample.Spans[0].Version != 1 {
				w.t.Errorf("sample %+v", sample)
			}
		}
	}
	if len(seen) != 6 {
		w.t.Errorf("%d samples came, not 6", len(seen))
	}
}

// A step of many long prompts is larger than one object of the platform. A coordinator that takes
// over after the first one died has to find all of it.
func TestStepBodyOfSeveralObjects(t *testing.T) {
	w := newWorld(t)
	w.lease.take(hostA, false)
	long := strings.Repeat("log ", chunkBytes/4)
	content := fmt.Sprintf(`{"groups":[{"prompt":"first %s","samples":2},{"prompt":"second %s","samples":2}]}`, long, long)
	if got := w.call(hostA, http.MethodPost, "/steps/1", content, nil); got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
	if chunks := w.record().Step.Chunks; chunks != 3 {
		t.Errorf("the body is in %d objects, not 3", chunks)
	}
	w.kill(hostA)
	w.start(hostA, hostB, w.store)
	w.lease.take(hostB, false)
	seen := map[string]bool{}
	for n := 1; n <= 2; n++ {
		for _, sample := range w.collect(seen, w.getBatch(hostB, 1, n, nil)).Samples {
			if !strings.HasSuffix(sample.Prompt, long) {
				t.Errorf("sample %s has a prompt of %d bytes", sample.SampleID, len(sample.Prompt))
			}
		}
	}
	if len(seen) != 4 {
		t.Errorf("%d samples came, not 4", len(seen))
	}
}

// A trainer gets samples of weights that were to be replaced. A new version is accepted while an
// engine fails to switch and goes on with the old one. Its samples name the old version and are made
// anew; they come once an engine serves the new one.
func TestFailedSwapDelaysSamples(t *testing.T) {
	w := newWorld(t)
	w.lease.take(hostA, false)
	gate := w.engines.hold()
	w.postStep(hostA, 1)
	w.postVersion(hostA, 2)
	close(gate)
	if got := w.getBatch(hostA, 1, 1, map[string]string{"Request-Timeout": "1"}); got.status == http.StatusOK {
		t.Errorf("a batch of the old weights: %s", got.body)
	}
	w.engines.serve(2)
	seen := map[string]bool{}
	for n := 1; n <= 3; n++ {
		for _, sample := range w.collect(seen, w.getBatch(hostA, 1, n, nil)).Samples {
			if sample.Spans[0].Version != 2 {
				t.Errorf("sample %s was made by version %d", sample.SampleID, sample.Spans[0].Version)
			}
		}
	}
}

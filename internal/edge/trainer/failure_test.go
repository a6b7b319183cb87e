package trainer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

// heldWorld is two entries of which A reaches the platform over a held store, holds the job, and has
// scored all samples of step 1.
func heldWorld(t *testing.T) (*world, *heldStore) {
	t.Helper()
	w := newWorld(t)
	w.kill(hostA)
	store := newHeldStore(w.store)
	w.start(hostA, hostB, store)
	w.lease.take(hostA, false)
	w.postVersion(hostA, 1)
	w.postStep(hostA, 1)
	w.eventually(hostA, "all samples scored", scored(6))
	return w, store
}

// worldWithStep is two entries of which A holds the job and has accepted step 1.
func worldWithStep(t *testing.T) *world {
	t.Helper()
	w := newWorld(t)
	w.lease.take(hostA, false)
	w.postStep(hostA, 1)
	return w
}

// worldInOutage is the same after batch 1, in an outage of the platform in which the lease has lapsed.
func worldInOutage(t *testing.T) (*world, map[string]bool) {
	t.Helper()
	w := worldWithStep(t)
	seen := map[string]bool{}
	w.collect(seen, w.getBatch(hostA, 1, 1, nil))
	w.store.SetOutage(true)
	w.lease.lapse()
	return w, seen
}

// worldWithRequest is two entries of which A holds the job, and a request with a cursor at host, which waits
// for batch 1 until the gate is closed.
func worldWithRequest(t *testing.T, host netip.AddrPort, timeout string) (*world, chan struct{}, <-chan answer) {
	t.Helper()
	w := newWorld(t)
	gate := w.engines.hold()
	w.lease.take(hostA, false)
	w.postStep(hostA, 1)
	// The status may still show the step's own request, which would be taken for the batch's.
	w.eventually(hostA, "the step is answered", func(s *runnerStatus) bool { return s.Waiting == 0 })
	header := w.withCursor()
	header["Request-Timeout"] = timeout
	waiting := make(chan answer, 1)
	go func() { waiting <- w.getBatch(host, 1, 1, header) }()
	w.eventually(hostA, "the request waits", func(s *runnerStatus) bool { return s.Waiting == 1 })
	return w, gate, waiting
}

// collectFrom takes the batches of step 1 from the first one on; each sample may come once.
func (w *world) collectFrom(first int, seen map[string]bool, host netip.AddrPort) {
	w.t.Helper()
	for n := first; n <= 3; n++ {
		w.collect(seen, w.getBatch(host, 1, n, nil))
	}
}

// record reads the job object.
func (w *world) record() delivery.Record {
	w.t.Helper()
	object, err := w.store.Get(context.Background(), delivery.ObjectName(testJob))
	if err != nil {
		w.t.Fatal(err)
	}
	record, err := delivery.ParseRecord(object.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return record
}

// A trainer would learn from samples made by weights beyond the staleness bound. Host A decides on
// batch 1 at version 1 and is paused before its write is sent; B takes the lease and version 2 is
// accepted there; A wakes, believes in its lease still, and sends the write. Cause: a delivery and a
// new version pass each other.
func TestVersionRacesDelivery(t *testing.T) {
	w, store := heldWorld(t)
	store.holdNext(false)
	late := make(chan answer, 1)
	go func() { late <- w.getBatch(hostA, 1, 1, map[string]string{"Request-Timeout": "2"}) }()
	<-store.arrived
	w.lease.take(hostB, true)
	w.engines.serve(2)
	if got := w.postVersion(hostB, 2); got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
	close(store.release)
	if got := <-late; got.status == http.StatusOK {
		t.Errorf("A handed out a batch after version 2: %s", got.body)
	}
	for _, sample := range w.batch(w.getBatch(hostB, 1, 1, nil)).Samples {
		if sample.Spans[0].Version < 2 {
			t.Errorf("sample %s was made by version %d", sample.SampleID, sample.Spans[0].Version)
		}
	}
}

// A trainer would be refused batch 1 for good when it asks again. Host A decides on batch 1 and is
// paused before its write is sent; B takes the lease and hands out its own batch 1; A wakes when the
// time of its write is over. Cause: A takes the write that it never sent for an outage of the platform,
// and hands out a batch 1 of its own without writing it.
func TestWakeIsNoOutage(t *testing.T) {
	w, store := heldWorld(t)
	store.unsent = true
	store.holdNext(false)
	header := w.withCursor()
	header["Request-Timeout"] = "2"
	late := make(chan answer, 1)
	go func() { late <- w.getBatch(hostA, 1, 1, header) }()
	<-store.arrived
	w.lease.take(hostB, true)
	first := w.batch(w.getBatch(hostB, 1, 1, nil))
	close(store.release)
	if got := <-late; got.status == http.StatusOK {
		t.Errorf("A handed out a batch that B serves: %s", got.body)
	}
	if again := w.batch(w.getBatch(hostB, 1, 1, w.withCursor())); !cmp.Equal(first, again) {
		t.Errorf("batch 1 was\n%+v\nand is\n%+v", first, again)
	}
}

// A trainer would get batch 1 with other samples, and later some of them twice. The coordinator
// writes the manifest and dies before it answers; the trainer asks the successor for batch 1.
// Cause: the successor makes the batch anew and does not go by the job object.
func TestCoordinatorKilledAfterWrite(t *testing.T) {
	w, store := heldWorld(t)
	store.holdNext(true)
	unheard := make(chan answer, 1)
	go func() { unheard <- w.getBatch(hostA, 1, 1, nil) }()
	<-store.arrived
	written := w.record().Step.Manifest
	go close(store.release)
	w.kill(hostA)
	<-unheard
	w.start(hostA, hostB, w.store)
	w.engines.serve(2)
	w.lease.take(hostB, false)
	seen := map[string]bool{}
	first := w.collect(seen, w.getBatch(hostB, 1, 1, nil))
	for i, ref := range written.SampleRefs {
		want := delivery.SampleID{Job: testJob, Step: 1, Group: ref.Group, Index: ref.Index}.String()
		if first.Samples[i].SampleID != want || first.Samples[i].Spans[0].Version != 1 {
			t.Errorf("sample %d is %+v, the manifest says %s", i, first.Samples[i], want)
		}
	}
	w.collectFrom(2, seen, hostB)
}

// A trainer would stand idle through an outage, or get samples again after it. The platform goes
// down after batch 1 and the lease can't be renewed; the trainer asks on with its cursor; the
// coordinator dies and the platform comes back. Cause: the successor knows of batch 1 only.
func TestOutageWithCursor(t *testing.T) {
	w, seen := worldInOutage(t)
	w.collect(seen, w.getBatch(hostA, 1, 2, w.withCursor()))
	w.kill(hostA)
	w.start(hostA, hostB, w.store)
	w.store.SetOutage(false)
	w.lease.take(hostB, false)
	if got := w.record().Step.Batch; got != 1 {
		t.Errorf("the object knows of batch %d", got)
	}
	last := w.collect(seen, w.getBatch(hostB, 1, 3, w.withCursor()))
	if !last.Last || len(seen) != 6 {
		t.Errorf("last is %v after %d samples", last.Last, len(seen))
	}
}

// A trainer that asks again for a batch that it has would be refused for good, and stand idle. A hands out batch 2 in an
// outage, without writing it; the platform comes back, B takes the lease before A has written the batch, and A may die.
// The trainer, whose cursor came with batch 2, asks for it again, and once more when A holds the job again. Cause: the manifest
// is in A's memory only, and the cursor names the samples that came but not in which batch.
func TestBatchOfAnOutageIsRepeatedBySuccessors(t *testing.T) {
	for _, test := range []struct {
		name   string
		killed bool
	}{
		{name: "the first coordinator lives"},
		{name: "the first coordinator dies", killed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, _ := worldInOutage(t)
			first := w.getBatch(hostA, 1, 2, w.withCursor())
			w.batch(first)
			if test.killed {
				w.kill(hostA)
				w.start(hostA, hostB, w.store)
			}
			w.lease.take(hostB, false)
			w.store.SetOutage(false)
			for _, holder := range []netip.AddrPort{hostB, hostA} {
				w.lease.take(holder, false)
				if again := w.getBatch(holder, 1, 2, w.withCursor()); again.body != first.body {
					t.Errorf("batch 2 was\n%s\nand is at %v\n%d %s", first.body, holder, again.status, again.body)
				}
			}
		})
	}
}

// A trainer would be told that its batch is gone for good while the host that holds it is only out of reach. A hands out batch 2
// in an outage, while no other host takes a copy; B takes the lease and can't reach A for a time.
func TestBatchOfAnOutageWaitsForItsHolder(t *testing.T) {
	w, _ := worldInOutage(t)
	b, _ := w.peers.at(hostB)
	w.peers.set(hostB, nil)
	first := w.getBatch(hostA, 1, 2, w.withCursor())
	w.batch(first)
	w.peers.set(hostB, b)
	a, _ := w.peers.at(hostA)
	w.peers.set(hostA, nil)
	w.lease.take(hostB, false)
	w.store.SetOutage(false)
	got := w.getBatch(hostB, 1, 2, w.withCursor())
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "serverLost") {
		t.Errorf("%d %v %s", got.status, got.header, got.body)
	}
	w.peers.set(hostA, a)
	if again := w.getBatch(hostB, 1, 2, w.withCursor()); again.body != first.body {
		t.Errorf("batch 2 was\n%s\nand is\n%d %s", first.body, again.status, again.body)
	}
}

// A trainer without a cursor might get samples twice when the platform is back. The platform goes
// down after batch 1; the trainer asks for batch 2 without a cursor. Cause: nothing but the job
// object can tell what such a trainer has, so it has to wait, and is told when to come back.
func TestOutageWithoutCursor(t *testing.T) {
	w, seen := worldInOutage(t)
	got := w.getBatch(hostA, 1, 2, map[string]string{"Request-Timeout": "2"})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" ||
		!strings.Contains(got.body, "platformUnavailable") {
		t.Errorf("%d %v %s", got.status, got.header, got.body)
	}
	w.store.SetOutage(false)
	w.lease.take(hostA, false)
	w.collectFrom(2, seen, hostA)
}

// A trainer whose requests the balancer spreads would get samples twice. A is paused past its lease
// and B takes it; A wakes and believes on; the trainer asks both in turn. Cause: both move the same
// job from what each remembers.
func TestTwoBelievers(t *testing.T) {
	w := worldWithStep(t)
	w.eventually(hostA, "all samples scored", scored(6))
	w.lease.take(hostB, true)
	seen := map[string]bool{}
	for n := 1; n <= 3; n++ {
		short := map[string]string{"Request-Timeout": "0.5"}
		fromB := w.getBatch(hostB, 1, n, nil)
		w.collect(seen, fromB)
		if fromA := w.getBatch(hostA, 1, n, short); fromA.status == http.StatusOK && fromA.body != fromB.body {
			t.Errorf("batch %d differs:\n%s\n%s", n, fromA.body, fromB.body)
		}
	}
}

// A step would never end, or carry the score of another sample. The scoring service fails for a
// while, and its answers hold scores of other samples too.
func TestScoringFails(t *testing.T) {
	w := newWorld(t)
	w.scorer.failures = 8
	w.lease.take(hostA, false)
	w.postStep(hostA, 1)
	for n := 1; n <= 3; n++ {
		for _, sample := range w.batch(w.getBatch(hostA, 1, n, nil)).Samples {
			if sample.Score != 0.5 {
				t.Errorf("sample %s has score %v", sample.SampleID, sample.Score)
			}
		}
	}
}

// A trainer would be told that one version made a whole sample. The engine crashes after the first
// token; the weights change; another engine goes on from the prefix. Cause: the prefix is resumed
// without the version of its tokens.
func TestEngineCrashMidSample(t *testing.T) {
	w := newWorld(t)
	w.view.setBound(1)
	w.engines.crash = 1
	w.engines.crashTo = 2
	w.lease.take(hostA, false)
	w.postStep(hostA, 1)
	want := []delivery.Span{{Version: 1, From: 0, To: 1}, {Version: 2, From: 1, To: 2}}
	mixed := 0
	for n := 1; n <= 3; n++ {
		for _, sample := range w.batch(w.getBatch(hostA, 1, n, nil)).Samples {
			if cmp.Equal(want, sample.Spans) {
				mixed++
			}
		}
	}
	if mixed != 1 || w.engines.resumed != 1 {
		t.Errorf("%d samples of both versions, %d resumed", mixed, w.engines.resumed)
	}
}

// Whoever shows a withdrawn key would still get a batch, a minute later. The request waits for its
// batch while the key is withdrawn; then the batch is ready.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	w, gate, waiting := worldWithRequest(t, hostA, "20")
	w.view.withdraw(testKey)
	close(gate)
	if got := <-waiting; got.status != http.StatusUnauthorized || !strings.Contains(got.body, "keyWithdrawn") {
		t.Errorf("%d %s", got.status, got.body)
	}
}

// A job would stand still for ever. Batch 1 is written, and both hosts that hold its samples die
// before the trainer has it. Cause: no host can repeat the batch; it has to be made anew.
func TestBothCopiesLost(t *testing.T) {
	w := worldWithStep(t)
	w.getBatch(hostA, 1, 1, nil)
	w.kill(hostA)
	w.kill(hostB)
	w.start(hostB, hostA, w.store)
	w.start(hostA, hostB, w.store)
	w.lease.take(hostB, false)
	if got := w.getBatch(hostB, 1, 1, nil); !strings.Contains(got.body, "samplesLost") || got.header.Get("Retry-After") == "" {
		t.Fatalf("%d %s", got.status, got.body)
	}
	seen := map[string]bool{}
	w.collectFrom(1, seen, hostB)
	if len(seen) != 6 {
		t.Errorf("%d samples came, not 6", len(seen))
	}
}

// The platform would be written by a host that is no longer in charge. The host is paused between
// the decision and the write; its lease ends meanwhile.
func TestLeaseEndsBeforeWrite(t *testing.T) {
	w := newWorld(t)
	s := &storage{job: testJob, store: w.store, lease: leaseOf{w.lease, hostA}}
	write := writeOperation{write: delivery.Write{Record: delivery.Record{Job: testJob}}}
	if got, fenced := write.result(context.Background(), s).(delivery.WriteFenced); !fenced {
		t.Errorf("result %#v", got)
	}
	names := []string{}
	objects, err := w.store.List(context.Background(), "")
	for _, object := range objects {
		names = append(names, object.Name)
	}
	if err != nil || slices.Contains(names, delivery.ObjectName(testJob)) {
		t.Errorf("%v %v", names, err)
	}
}

// A trainer would stand idle while only one entry is left. The other entries are gone, so no sample
// can be copied; the step goes on with one copy after some tries.
func TestNoSecondHost(t *testing.T) {
	w := newWorld(t)
	w.kill(hostB)
	w.lease.take(hostA, false)
	w.postStep(hostA, 1)
	seen := map[string]bool{}
	w.collectFrom(1, seen, hostA)
}

// A step would last as long as its slowest engine. One call of sixty never ends; the others are done.
func TestStragglerIsHedged(t *testing.T) {
	w := newWorld(t)
	w.engines.stuck = testJob + "/1/0/7"
	w.lease.take(hostA, false)
	content := `{"groups":[{"prompt":"log","samples":60}]}`
	if got := w.call(hostA, http.MethodPost, "/steps/1", content, nil); got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
	seen := map[string]bool{}
	for n := 1; n <= 30; n++ {
		w.collect(seen, w.getBatch(hostA, 1, n, nil))
	}
	if len(seen) != 60 || w.engines.hedged == 0 {
		t.Errorf("%d samples, %d hedged", len(seen), w.engines.hedged)
	}
}

// A trainer that posts wrong bodies again and again would fill the coordinator's memory.
func TestRefusedBodiesAreForgotten(t *testing.T) {
	w := worldWithStep(t)
	for i := range 5 {
		content := fmt.Sprintf(`{"groups":[{"prompt":"other %d","samples":1}]}`, i)
		if got := w.call(hostA, http.MethodPost, "/steps/1", content, nil); got.status != http.StatusConflict {
			t.Fatalf("%d %s", got.status, got.body)
		}
	}
	c, _ := w.peers.at(hostA)
	r, _ := c.runner(testJob)
	w.kill(hostA)
	if len(r.bodies) != 1 {
		t.Errorf("%d bodies are kept", len(r.bodies))
	}
}

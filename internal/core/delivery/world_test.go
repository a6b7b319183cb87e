package delivery

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// fate is what becomes of a write.
type fate int

const (
	fateDone fate = iota
	fateLostApplied
	fateLostDropped
	fateLostLate
	// fateUnsent: the write's time was over before it was sent.
	fateUnsent
)

// lateWrite is a write whose answer was lost and which takes effect later.
type lateWrite struct {
	from      *coordinator
	record    Record
	ifVersion uint64
}

// coordinator is one process: a Job and its operations under way.
type coordinator struct {
	// id is never used again, unlike the place in the world.
	id    int
	job   *Job
	reads int
	write *Write
	// landed is the newest model version that a write of this process put into the object.
	landed int
	// cut says that the process can't reach the platform; unread, that its last read failed.
	cut    bool
	unread bool
	// given are the manifests handed out.
	given map[string]bool
}

// reply is an answer on its way to the trainer.
type reply struct {
	result Result
	digest string
}

// world is a platform, coordinators that may all believe in their lease, and one trainer.
type world struct {
	t         *rapid.T
	bound     int
	useCursor bool
	up        bool
	outages   int
	record    Record
	version   uint64
	late      []lateWrite
	fence     uint64
	coords    []*coordinator
	asked     AskID
	replies   []reply
	step      int
	batch     int
	posted    bool
	cursor    *Cursor
	accepted  map[string]bool
	manifests map[string]string
	processes int
	// issuers are the processes that held the lease, by fencing number.
	issuers map[uint64]int
	// cursors are those of the requests.
	cursors map[AskID]*Cursor
	// stored are the manifests that were in the object at some time.
	stored map[string]bool
	// alone counts the batches handed out without being written.
	alone int
	// kept are the manifests that hosts hold for the cursors that name them.
	kept map[string]Manifest
	// taken are the manifests that the trainer accepted, by step and batch.
	taken map[string]string
}

const (
	worldSteps   = 3
	worldSamples = 6
	worldBatch   = 2
)

var worldSizes = []int{4, 2}

func newWorld(t *rapid.T, useCursor bool) *world {
	w := &world{
		t: t, bound: rapid.IntRange(0, 1).Draw(t, "bound"), useCursor: useCursor, up: true, step: 1,
		accepted: map[string]bool{}, manifests: map[string]string{}, record: Record{Job: "fees"},
		issuers: map[uint64]int{}, cursors: map[AskID]*Cursor{}, stored: map[string]bool{},
		kept: map[string]Manifest{}, taken: map[string]string{},
	}
	for range 2 {
		w.coords = append(w.coords, w.newCoordinator())
	}
	w.take(0)
	return w
}

func (w *world) newCoordinator() *coordinator {
	self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 9000)
	w.processes++
	return &coordinator{id: w.processes, job: NewJob("fees", self, w.bound), given: map[string]bool{}}
}

// take gives the lease to a coordinator. What was known of an outage is over by then: a taker waits longer.
func (w *world) take(at int) {
	w.learn()
	w.lease(at)
}

// learn tells all coordinators of an outage.
func (w *world) learn() {
	for at, c := range w.coords {
		w.feed(at, OutageChanged{Established: !w.up && c.job.fence() == w.fence})
	}
}

func (w *world) lease(at int) {
	w.fence++
	w.issuers[w.fence] = w.coords[at].id
	w.feed(at, FenceChanged{Number: w.fence, Held: true})
}

// renew gives the newest holder a higher number without a gap.
func (w *world) renew(at int) {
	if w.coords[at].job.fence() != w.fence || w.fence == 0 {
		return
	}
	w.fence++
	w.issuers[w.fence] = w.coords[at].id
	w.feed(at, FenceChanged{Number: w.fence, Held: true, Renewed: true})
}

// feed hands an event to a coordinator and keeps its effects.
func (w *world) feed(at int, event Event) {
	c := w.coords[at]
	for _, effect := range c.job.Handle(event) {
		switch e := effect.(type) {
		case Read:
			c.reads++
		case Write:
			if c.write != nil {
				w.t.Fatalf("two writes under way")
			}
			c.write = &e
		case Answer:
			if kept, ok := e.Result.(BatchKept); ok {
				w.askKept(at, e.ID, kept)
				continue
			}
			w.note(c, e)
		}
	}
}

// askKept finds the manifest that a cursor names, and asks again with it under the same number.
func (w *world) askKept(at int, id AskID, named BatchKept) {
	manifest, ok := w.kept[named.Kept.Digest]
	if !ok {
		w.t.Fatalf("a cursor names the manifest %s, which nobody kept", named.Kept.Digest)
	}
	w.feed(at, BatchAsked{ID: id, Step: named.Step, Batch: manifest.Batch, Cursor: w.cursors[id], Manifest: &manifest})
}

// note checks an answer when it leaves the coordinator.
func (w *world) note(c *coordinator, answer Answer) {
	r := reply{result: answer.Result}
	if ready, ok := answer.Result.(BatchReady); ok {
		w.checkBound(ready.Manifest)
		r.digest = fmt.Sprint(ready.Manifest)
		if ready.Unwritten {
			w.kept[r.digest] = ready.Manifest
			ready.Cursor.Kept = &Kept{Digest: r.digest}
			r.result = ready
		}
		w.checkRepeated(ready, r.digest, w.cursors[answer.ID])
		if cursor := w.cursors[answer.ID]; !w.stored[r.digest] && !names(cursor, r.digest) {
			w.checkAlone(c, ready, cursor)
		}
		c.given[r.digest] = true
		key := batchKey(ready)
		known, seen := w.manifests[key]
		if seen && known != r.digest && (!w.useCursor || w.outages == 0) {
			w.t.Fatalf("batch %s changed between two answers:\n%s\n%s", key, known, r.digest)
		}
		w.manifests[key] = r.digest
	}
	if no, ok := answer.Result.(Refused); ok && strings.Contains(no.Refusal.Detail, "by a cursor") {
		w.checkRefused(no, w.cursors[answer.ID])
	}
	if accepted, ok := answer.Result.(VersionAccepted); ok && accepted.Cursor != nil {
		w.checkForward(w.cursors[answer.ID], *accepted.Cursor)
	}
	w.replies = append(w.replies, r)
}

// put applies a conditional write to the job object.
func (w *world) put(from *coordinator, record Record, ifVersion uint64) bool {
	if w.version != ifVersion {
		return false
	}
	from.landed = max(from.landed, record.ModelVersion)
	old := w.record
	w.record = record
	w.version++
	if record.ModelVersion < old.ModelVersion {
		w.t.Fatalf("the model version went back from %d to %d", old.ModelVersion, record.ModelVersion)
	}
	step := record.Step
	if step != nil && step.Manifest != nil {
		w.stored[fmt.Sprint(*step.Manifest)] = true
	}
	if step == nil || step.Manifest == nil || (old.Step != nil && fmt.Sprint(old.Step.Manifest) == fmt.Sprint(step.Manifest)) {
		return true
	}
	for _, ref := range step.Manifest.Refs {
		if ref.Oldest < record.ModelVersion-w.bound {
			w.t.Fatalf("manifest written with a sample of version %d at %d, bound %d", ref.Oldest, record.ModelVersion, w.bound)
		}
	}
	return true
}

// runRead ends a coordinator's read.
func (w *world) runRead(at int) {
	c := w.coords[at]
	if c.reads == 0 {
		return
	}
	c.reads--
	c.unread = !w.up || c.cut
	if c.unread {
		w.feed(at, ReadFailed{})
		return
	}
	w.feed(at, Loaded{Record: w.record, Version: w.version})
}

// runWrite ends a coordinator's write in the given way.
func (w *world) runWrite(at int, how fate) {
	c := w.coords[at]
	if c.write == nil {
		return
	}
	write := *c.write
	c.write = nil
	switch {
	case (!w.up || c.cut) && how == fateDone, how == fateUnsent:
		w.feed(at, WriteUnavailable{})
	case !w.up || c.cut || how == fateLostDropped:
		w.feed(at, WriteUnsettled{})
	case how == fateLostApplied:
		w.put(c, write.Record, write.IfVersion)
		w.feed(at, WriteUnsettled{})
	case how == fateLostLate:
		w.late = append(w.late, lateWrite{c, write.Record, write.IfVersion})
		w.feed(at, WriteUnsettled{})
	case w.put(c, write.Record, write.IfVersion):
		w.feed(at, Written{Version: w.version})
	default:
		w.feed(at, WriteConflicted{})
	}
}

func (w *world) runLate() {
	if len(w.late) == 0 || !w.up {
		return
	}
	w.put(w.late[0].from, w.late[0].record, w.late[0].ifVersion)
	w.late = w.late[1:]
}

// ask sends the trainer's next request.
func (w *world) ask(at int) {
	var cursor *Cursor
	if w.useCursor {
		cursor = w.cursor
	}
	w.asked++
	w.cursors[w.asked] = cursor
	if !w.posted {
		w.feed(at, StepAsked{
			ID: w.asked, Step: w.step, Digest: fmt.Sprint("body", w.step), Sizes: worldSizes,
			BatchSize: worldBatch, Chunks: 1, Cursor: cursor,
		})
		return
	}
	w.feed(at, BatchAsked{ID: w.asked, Step: w.step, Batch: w.batch + 1, Cursor: cursor})
}

// askAgain sends the trainer's last request for a batch again, with the cursor that came with it.
func (w *world) askAgain(at int) {
	if !w.posted || w.batch == 0 || !w.useCursor {
		return
	}
	w.asked++
	w.cursors[w.asked] = w.cursor
	w.feed(at, BatchAsked{ID: w.asked, Step: w.step, Batch: w.batch, Cursor: w.cursor})
}

// postVersion sends the model version that the trainer made last, or the next one.
func (w *world) postVersion(at int, version int) {
	var cursor *Cursor
	if w.useCursor {
		cursor = w.cursor
	}
	w.asked++
	w.cursors[w.asked] = cursor
	w.feed(at, VersionAsked{ID: w.asked, Version: version, Weights: fmt.Sprint("weights", version), Cursor: cursor})
}

// receive hands the trainer one answer; answers that it no longer waits for are ignored.
func (w *world) receive(at int) {
	r := w.replies[at]
	w.replies = slices.Delete(w.replies, at, at+1)
	switch e := r.result.(type) {
	case StepAccepted:
		if !w.posted && e.Cursor.Step == w.step {
			w.posted = true
			w.batch = 0
			w.cursor = &e.Cursor
		}
	case BatchReady:
		w.accept(e)
	case Refused:
		// The trainer posts a step again that a successor does not know.
		if e.Refusal.Reason == verdict.ReasonNotFound && w.posted {
			w.repost()
		}
	case VersionAccepted:
		if e.Cursor != nil && w.cursor != nil && e.Cursor.Step == w.cursor.Step && e.Cursor.Batch == w.cursor.Batch {
			w.cursor = e.Cursor
		}
	}
}

func (w *world) repost() {
	for at := range w.coords {
		w.asked++
		w.feed(at, StepAsked{
			ID: w.asked, Step: w.step, Digest: fmt.Sprint("body", w.step), Sizes: worldSizes,
			BatchSize: worldBatch, Chunks: 1, Cursor: w.cursor,
		})
	}
}

func (w *world) accept(e BatchReady) {
	if !w.posted || e.Step != w.step || e.Manifest.Batch != w.batch+1 {
		return
	}
	w.batch++
	w.cursor = &e.Cursor
	w.taken[batchKey(e)] = fmt.Sprint(e.Manifest)
	for _, ref := range e.Manifest.Refs {
		key := fmt.Sprintf("%d/%d/%d", e.Step, ref.Group, ref.Index)
		if w.accepted[key] {
			w.t.Fatalf("sample %s delivered twice", key)
		}
		w.accepted[key] = true
	}
	if e.Manifest.Last != (w.batch == worldSamples/worldBatch) {
		w.t.Fatalf("batch %d of step %d: last is %v", w.batch, e.Step, e.Manifest.Last)
	}
	if e.Manifest.Last && w.step < worldSteps {
		w.step++
		w.posted = false
	}
}

// round is one request of the trainer that is served without a fault of its own.
func (w *world) round(at int) {
	w.feed(at, Ticked{})
	w.runRead(at)
	w.ask(at)
	for range 3 {
		w.runWrite(at, fateDone)
		w.runRead(at)
	}
	if len(w.replies) > 0 {
		w.receive(len(w.replies) - 1)
	}
}

// workAll makes the samples of a coordinator ready.
func (w *world) workAll(at, version int) {
	for range 4 * worldSamples {
		w.progress(at, 1, version)
	}
}

func (w *world) finished() bool {
	return w.step == worldSteps && w.posted && w.batch == worldSamples/worldBatch
}

// progress moves one sample of a coordinator a stage on, made by weights of the given version.
func (w *world) progress(at, pick, version int) {
	job := w.coords[at].job
	var open []int
	for _, state := range []SampleState{StatePending, StateGenerating, StateGenerated, StateCopied} {
		open = append(open, job.Positions(state)...)
	}
	if len(open) == 0 {
		return
	}
	position := open[pick%len(open)]
	sample, work := job.Sample(position)
	switch sample.State {
	case StatePending:
		w.feed(at, SampleStarted{Work: work})
	case StateGenerating:
		tokens := append(slices.Clone(sample.Prefix), Token{Text: "x", Version: version})
		if pick%5 == 0 {
			w.feed(at, SampleFailed{Work: work, Tokens: tokens})
			return
		}
		digest := fmt.Sprintf("%d-%d-%d-%d", at, w.fence, position, work.Attempt)
		w.feed(at, SampleGenerated{Work: work, Tokens: tokens, Digest: digest})
	case StateGenerated:
		w.feed(at, SampleCopied{Work: work})
	default:
		w.feed(at, SampleScored{Work: work, Score: 1})
	}
}

// heal ends all faults and lets one coordinator finish the job.
func (w *world) heal() {
	w.up = true
	for len(w.late) > 0 {
		w.runLate()
	}
	w.coords = []*coordinator{w.newCoordinator()}
	w.take(0)
	for round := 0; !w.finished(); round++ {
		if round > 500 {
			w.t.Fatalf("no end after all faults: step %d batch %d posted %v, %+v", w.step, w.batch, w.posted, w.coords[0].job.Status())
		}
		w.feed(0, Ticked{})
		w.runRead(0)
		w.runWrite(0, fateDone)
		w.progress(0, 1, w.record.ModelVersion)
		w.ask(0)
		for len(w.replies) > 0 {
			w.receive(0)
		}
	}
	if len(w.accepted) != worldSteps*worldSamples {
		w.t.Fatalf("%d samples delivered, not %d", len(w.accepted), worldSteps*worldSamples)
	}
}

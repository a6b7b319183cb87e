package delivery

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// writeFault is the fault that a write meets.
type writeFault int

const (
	// faultNone: the write takes effect or conflicts, or it is refused while the platform is out of reach.
	faultNone writeFault = iota
	// faultAnswerLost: the write takes effect but its answer is lost.
	faultAnswerLost
	// faultRequestLost: the write never takes effect and its outcome is unknown.
	faultRequestLost
	// faultDelayed: the outcome is unknown and the write takes effect later.
	faultDelayed
	// faultUnsent: the write's deadline passed before it was sent.
	faultUnsent
)

// delayedWrite is a write whose answer was lost and that takes effect later.
type delayedWrite struct {
	from      *coordinator
	record    Record
	ifVersion uint64
}

// coordinator is one process: a Job and its operations in flight.
type coordinator struct {
	// id identifies the process and is never reused, unlike the index in simulation.coordinators.
	id    int
	job   *Job
	reads int
	write *Write
	// writtenVersion is the newest model version that a write of this process stored in the object.
	writtenVersion int
	// disconnected says that the process can't reach the platform; readFailed, that its last read failed.
	disconnected bool
	readFailed   bool
	// sentManifests is the set of manifests that the process sent to the trainer.
	sentManifests map[string]bool
}

// reply is an answer on its way to the trainer; digest identifies the manifest of a batch.
type reply struct {
	result Result
	digest string
}

// simulation models the platform, coordinators that may each believe that they hold the lease, and one
// trainer.
type simulation struct {
	t              *rapid.T
	stalenessBound int
	useCursor      bool
	platformUp     bool
	outages        int
	record         Record
	version        uint64
	delayedWrites  []delayedWrite
	fencingNumber  uint64
	coordinators   []*coordinator
	lastRequest    TrainerRequestID
	replies        []reply
	step           int
	batch          int
	posted         bool
	cursor         *Cursor
	// received is the set of samples that the trainer has received.
	received map[string]bool
	// manifests holds the manifest sent last for each batch, by step and batch.
	manifests   map[string]string
	lastProcess int
	// leaseHolders maps fencing numbers to the processes that held the lease under them.
	leaseHolders map[uint64]int
	// requestCursors holds the cursor that was sent with each request.
	requestCursors map[TrainerRequestID]*Cursor
	// storedManifests is the set of manifests that were in the job object at some time.
	storedManifests map[string]bool
	// offlineBatches counts the batches sent without being written.
	offlineBatches int
	// hostManifests holds the manifests that hosts store for the cursors that locate them, by digest.
	hostManifests map[string]Manifest
	// acceptedBatches holds the manifests that the trainer accepted, by step and batch.
	acceptedBatches map[string]string
}

const (
	simulatedSteps     = 3
	simulatedSamples   = 6
	simulatedBatchSize = 2
)

var simulatedGroupSizes = []int{4, 2}

func newSimulation(t *rapid.T, useCursor bool) *simulation {
	s := &simulation{
		t: t, stalenessBound: rapid.IntRange(0, 1).Draw(t, "bound"), useCursor: useCursor, platformUp: true, step: 1,
		received: map[string]bool{}, manifests: map[string]string{}, record: Record{Job: "fees"},
		leaseHolders: map[uint64]int{}, requestCursors: map[TrainerRequestID]*Cursor{}, storedManifests: map[string]bool{},
		hostManifests: map[string]Manifest{}, acceptedBatches: map[string]string{},
	}
	for range 2 {
		s.coordinators = append(s.coordinators, s.newCoordinator())
	}
	s.acquireLease(0)
	return s
}

func (s *simulation) newCoordinator() *coordinator {
	self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 9000)
	s.lastProcess++
	return &coordinator{id: s.lastProcess, job: NewJob("fees", self, s.stalenessBound), sentManifests: map[string]bool{}}
}

// acquireLease gives the lease to a coordinator. It first updates what the coordinators know of an outage,
// since a contender waits longer than that knowledge lasts.
func (s *simulation) acquireLease(index int) {
	s.announceOutage()
	s.grantLease(index)
}

// announceOutage reports to every coordinator whether there is an outage in which no other host has taken the
// lease.
func (s *simulation) announceOutage() {
	for index, c := range s.coordinators {
		s.handle(index, OutageChanged{Established: !s.platformUp && c.job.fencingNumber() == s.fencingNumber})
	}
}

func (s *simulation) grantLease(index int) {
	s.fencingNumber++
	s.leaseHolders[s.fencingNumber] = s.coordinators[index].id
	s.handle(index, LeaseChanged{FencingNumber: s.fencingNumber, Held: true})
}

// renewLease gives the current holder a higher fencing number without a gap.
func (s *simulation) renewLease(index int) {
	if s.coordinators[index].job.fencingNumber() != s.fencingNumber || s.fencingNumber == 0 {
		return
	}
	s.fencingNumber++
	s.leaseHolders[s.fencingNumber] = s.coordinators[index].id
	s.handle(index, LeaseChanged{FencingNumber: s.fencingNumber, Held: true, Renewed: true})
}

// handle passes an event to a coordinator and records its effects.
func (s *simulation) handle(index int, event Event) {
	c := s.coordinators[index]
	for _, effect := range c.job.Handle(event) {
		switch e := effect.(type) {
		case Read:
			c.reads++
		case Write:
			if c.write != nil {
				s.t.Fatalf("two writes in flight")
			}
			c.write = &e
		case Answer:
			if needed, ok := e.Result.(ManifestNeeded); ok {
				s.supplyManifest(index, e.ID, needed)
				continue
			}
			s.checkAnswer(c, e)
		}
	}
}

// supplyManifest looks up the manifest that a cursor locates, and repeats the request with it under the same
// ID.
func (s *simulation) supplyManifest(index int, id TrainerRequestID, needed ManifestNeeded) {
	manifest, ok := s.hostManifests[needed.ManifestLocation.Digest]
	if !ok {
		s.t.Fatalf("a cursor locates the manifest %s, which no host stores", needed.ManifestLocation.Digest)
	}
	s.handle(index, BatchRequested{ID: id, Step: needed.Step, Batch: manifest.Batch, Cursor: s.requestCursors[id], Manifest: &manifest})
}

// checkAnswer checks an answer when it leaves the coordinator, and puts it on its way to the trainer.
func (s *simulation) checkAnswer(c *coordinator, answer Answer) {
	r := reply{result: answer.Result}
	if ready, ok := answer.Result.(BatchReady); ok {
		s.checkStaleness(ready.Manifest)
		r.digest = fmt.Sprint(ready.Manifest)
		if ready.ManifestUnwritten {
			s.hostManifests[r.digest] = ready.Manifest
			ready.Cursor.ManifestLocation = &ManifestLocation{Digest: r.digest}
			r.result = ready
		}
		s.checkBatchUnchanged(ready, r.digest, s.requestCursors[answer.ID])
		if cursor := s.requestCursors[answer.ID]; !s.storedManifests[r.digest] && !namesManifest(cursor, r.digest) {
			s.checkOfflineBatch(c, ready, cursor)
		}
		c.sentManifests[r.digest] = true
		key := batchKey(ready)
		known, seen := s.manifests[key]
		if seen && known != r.digest && (!s.useCursor || s.outages == 0) {
			s.t.Fatalf("batch %s changed between two answers:\n%s\n%s", key, known, r.digest)
		}
		s.manifests[key] = r.digest
	}
	if refused, ok := answer.Result.(Refused); ok && strings.Contains(refused.Refusal.Detail, "by a cursor") {
		s.checkFinalRefusal(refused, s.requestCursors[answer.ID])
	}
	if accepted, ok := answer.Result.(VersionAccepted); ok && accepted.Cursor != nil {
		s.checkCursorNotBehind(s.requestCursors[answer.ID], *accepted.Cursor)
	}
	s.replies = append(s.replies, r)
}

// applyWrite applies a conditional write to the job object; it returns false on a conflict.
func (s *simulation) applyWrite(from *coordinator, record Record, ifVersion uint64) bool {
	if s.version != ifVersion {
		return false
	}
	from.writtenVersion = max(from.writtenVersion, record.ModelVersion)
	old := s.record
	s.record = record
	s.version++
	if record.ModelVersion < old.ModelVersion {
		s.t.Fatalf("the model version decreased from %d to %d", old.ModelVersion, record.ModelVersion)
	}
	step := record.Step
	if step != nil && step.Manifest != nil {
		s.storedManifests[fmt.Sprint(*step.Manifest)] = true
	}
	if step == nil || step.Manifest == nil || (old.Step != nil && fmt.Sprint(old.Step.Manifest) == fmt.Sprint(step.Manifest)) {
		return true
	}
	for _, ref := range step.Manifest.SampleRefs {
		if ref.OldestVersion < record.ModelVersion-s.stalenessBound {
			s.t.Fatalf("manifest written with a sample of version %d at model version %d, staleness bound %d",
				ref.OldestVersion, record.ModelVersion, s.stalenessBound)
		}
	}
	return true
}

// completeRead completes a coordinator's read.
func (s *simulation) completeRead(index int) {
	c := s.coordinators[index]
	if c.reads == 0 {
		return
	}
	c.reads--
	c.readFailed = !s.platformUp || c.disconnected
	if c.readFailed {
		s.handle(index, ReadFailed{})
		return
	}
	s.handle(index, Loaded{Record: s.record, Version: s.version})
}

// completeWrite completes a coordinator's write with the given fault.
func (s *simulation) completeWrite(index int, fault writeFault) {
	c := s.coordinators[index]
	if c.write == nil {
		return
	}
	write := *c.write
	c.write = nil
	switch {
	case (!s.platformUp || c.disconnected) && fault == faultNone, fault == faultUnsent:
		s.handle(index, WriteUnavailable{})
	case !s.platformUp || c.disconnected || fault == faultRequestLost:
		s.handle(index, WriteUncertain{})
	case fault == faultAnswerLost:
		s.applyWrite(c, write.Record, write.IfVersion)
		s.handle(index, WriteUncertain{})
	case fault == faultDelayed:
		s.delayedWrites = append(s.delayedWrites, delayedWrite{c, write.Record, write.IfVersion})
		s.handle(index, WriteUncertain{})
	case s.applyWrite(c, write.Record, write.IfVersion):
		s.handle(index, Written{Version: s.version})
	default:
		s.handle(index, WriteConflicted{})
	}
}

func (s *simulation) applyDelayedWrite() {
	if len(s.delayedWrites) == 0 || !s.platformUp {
		return
	}
	s.applyWrite(s.delayedWrites[0].from, s.delayedWrites[0].record, s.delayedWrites[0].ifVersion)
	s.delayedWrites = s.delayedWrites[1:]
}

// sendRequest sends the trainer's next request to a coordinator.
func (s *simulation) sendRequest(index int) {
	var cursor *Cursor
	if s.useCursor {
		cursor = s.cursor
	}
	s.lastRequest++
	s.requestCursors[s.lastRequest] = cursor
	if !s.posted {
		s.handle(index, StepRequested{
			ID: s.lastRequest, Step: s.step, Digest: fmt.Sprint("body", s.step), GroupSizes: simulatedGroupSizes,
			BatchSize: simulatedBatchSize, Chunks: 1, Cursor: cursor,
		})
		return
	}
	s.handle(index, BatchRequested{ID: s.lastRequest, Step: s.step, Batch: s.batch + 1, Cursor: cursor})
}

// repeatBatchRequest repeats the request for the batch that the trainer received last, with the cursor that
// came with it.
func (s *simulation) repeatBatchRequest(index int) {
	if !s.posted || s.batch == 0 || !s.useCursor {
		return
	}
	s.lastRequest++
	s.requestCursors[s.lastRequest] = s.cursor
	s.handle(index, BatchRequested{ID: s.lastRequest, Step: s.step, Batch: s.batch, Cursor: s.cursor})
}

// postVersion publishes a model version.
func (s *simulation) postVersion(index int, version int) {
	var cursor *Cursor
	if s.useCursor {
		cursor = s.cursor
	}
	s.lastRequest++
	s.requestCursors[s.lastRequest] = cursor
	s.handle(index, VersionRequested{ID: s.lastRequest, Version: version, Weights: fmt.Sprint("weights", version), Cursor: cursor})
}

// receive delivers one answer to the trainer, which ignores answers that it no longer waits for.
func (s *simulation) receive(index int) {
	r := s.replies[index]
	s.replies = slices.Delete(s.replies, index, index+1)
	switch e := r.result.(type) {
	case StepAccepted:
		if !s.posted && e.Cursor.Step == s.step {
			s.posted = true
			s.batch = 0
			s.cursor = &e.Cursor
		}
	case BatchReady:
		s.acceptBatch(e)
	case Refused:
		// The trainer posts a step again if a successor doesn't know it.
		if e.Refusal.Reason == verdict.ReasonNotFound && s.posted {
			s.repostStep()
		}
	case VersionAccepted:
		if e.Cursor != nil && s.cursor != nil && e.Cursor.Step == s.cursor.Step && e.Cursor.Batch == s.cursor.Batch {
			s.cursor = e.Cursor
		}
	}
}

func (s *simulation) repostStep() {
	for index := range s.coordinators {
		s.lastRequest++
		s.handle(index, StepRequested{
			ID: s.lastRequest, Step: s.step, Digest: fmt.Sprint("body", s.step), GroupSizes: simulatedGroupSizes,
			BatchSize: simulatedBatchSize, Chunks: 1, Cursor: s.cursor,
		})
	}
}

func (s *simulation) acceptBatch(e BatchReady) {
	if !s.posted || e.Step != s.step || e.Manifest.Batch != s.batch+1 {
		return
	}
	s.batch++
	s.cursor = &e.Cursor
	s.acceptedBatches[batchKey(e)] = fmt.Sprint(e.Manifest)
	for _, ref := range e.Manifest.SampleRefs {
		key := fmt.Sprintf("%d/%d/%d", e.Step, ref.Group, ref.Index)
		if s.received[key] {
			s.t.Fatalf("sample %s delivered twice", key)
		}
		s.received[key] = true
	}
	if e.Manifest.Last != (s.batch == simulatedSamples/simulatedBatchSize) {
		s.t.Fatalf("batch %d of step %d: last is %v", s.batch, e.Step, e.Manifest.Last)
	}
	if e.Manifest.Last && s.step < simulatedSteps {
		s.step++
		s.posted = false
	}
}

// serveRequest sends one request of the trainer and lets the coordinator serve it without additional faults.
func (s *simulation) serveRequest(index int) {
	s.handle(index, Ticked{})
	s.completeRead(index)
	s.sendRequest(index)
	for range 3 {
		s.completeWrite(index, faultNone)
		s.completeRead(index)
	}
	if len(s.replies) > 0 {
		s.receive(len(s.replies) - 1)
	}
}

// advanceAllSamples makes a coordinator's samples ready for a batch.
func (s *simulation) advanceAllSamples(index, version int) {
	for range 4 * simulatedSamples {
		s.advanceSample(index, 1, version)
	}
}

func (s *simulation) finished() bool {
	return s.step == simulatedSteps && s.posted && s.batch == simulatedSamples/simulatedBatchSize
}

// advanceSample moves one sample of a coordinator to the next stage, using weights of the given version.
func (s *simulation) advanceSample(index, pick, version int) {
	job := s.coordinators[index].job
	var open []int
	for _, state := range []SampleState{StatePending, StateGenerating, StateGenerated, StateCopied} {
		open = append(open, job.PositionsInState(state)...)
	}
	if len(open) == 0 {
		return
	}
	position := open[pick%len(open)]
	sample, attempt := job.Sample(position)
	switch sample.State {
	case StatePending:
		s.handle(index, SampleStarted{Attempt: attempt})
	case StateGenerating:
		tokens := append(slices.Clone(sample.Prefix), Token{Text: "x", Version: version})
		if pick%5 == 0 {
			s.handle(index, SampleFailed{Attempt: attempt, Tokens: tokens})
			return
		}
		digest := fmt.Sprintf("%d-%d-%d-%d", index, s.fencingNumber, position, attempt.Number)
		s.handle(index, SampleGenerated{Attempt: attempt, Tokens: tokens, Digest: digest})
	case StateGenerated:
		s.handle(index, SampleCopied{Attempt: attempt})
	default:
		s.handle(index, SampleScored{Attempt: attempt, Score: 1})
	}
}

// recoverAndFinish ends all faults and lets one new coordinator finish the job.
func (s *simulation) recoverAndFinish() {
	s.platformUp = true
	for len(s.delayedWrites) > 0 {
		s.applyDelayedWrite()
	}
	s.coordinators = []*coordinator{s.newCoordinator()}
	s.acquireLease(0)
	for round := 0; !s.finished(); round++ {
		if round > 500 {
			s.t.Fatalf("job did not finish after all faults ended: step %d batch %d posted %v, %+v",
				s.step, s.batch, s.posted, s.coordinators[0].job.Status())
		}
		s.handle(0, Ticked{})
		s.completeRead(0)
		s.completeWrite(0, faultNone)
		s.advanceSample(0, 1, s.record.ModelVersion)
		s.sendRequest(0)
		for len(s.replies) > 0 {
			s.receive(0)
		}
	}
	if len(s.received) != simulatedSteps*simulatedSamples {
		s.t.Fatalf("%d samples delivered, want %d", len(s.received), simulatedSteps*simulatedSamples)
	}
}

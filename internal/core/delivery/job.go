package delivery

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"
)

// Job is the state machine of one trainer job at one coordinator. Two coordinators may both believe that they
// are in charge. They agree through the job object or, failing that, through the cursor that the trainer
// sends.
//
// A transition is a new step, batch or model version. Normally it is a conditional write of the job object,
// and its result is sent to the trainer once the write is known to have taken effect. While the platform is
// down the job may proceed offline: it applies a transition without the write, under these rules:
//   - the request carries a cursor, which shows what the trainer has received;
//   - this coordinator issued the cursor, under a lease that it held, so no other coordinator can proceed
//     offline from the same cursor;
//   - this coordinator has read the job object under its newest lease;
//   - its last read failed, and the platform has been down for all hosts since its lease ended;
//   - a model version is never accepted offline.
//
// Offline transitions are written when the platform is back. If another coordinator has changed the object in
// the meantime they are dropped, and the trainer's next cursor shows what it had received: the trainer is the
// only consumer, so its cursor decides between two diverging branches.
//
// Two gaps remain. A coordinator that is cut off together with most of the hosts that decide whether there is
// an outage may proceed offline with a model version that a successor has just replaced. And a batch that was
// sent offline, and not written before another coordinator takes over the job, is created again under its
// number for a trainer whose cursor shows that it never received the batch. A trainer whose cursor shows that
// it did is given the same batch again, as long as a host has the manifest that the cursor locates; see
// ManifestLocation.
type Job struct {
	name           string
	self           netip.AddrPort
	stalenessBound int

	// record is the stored object with the offline transitions applied on top; unwritten says that there are
	// some.
	record    Record
	unwritten bool
	// storedVersion is the version of the stored object on which record is based.
	storedVersion uint64
	// storedStep identifies the step whose body is stored.
	storedStep stepKey
	// confirmed says that the stored object is known: it was read or written under the current lease, and no
	// write has become uncertain and no read has failed since.
	confirmed bool
	// pendingWrite and reading are the operations in flight; readTerm is the first fencing number of the lease
	// term in which the read began.
	pendingWrite *Record
	reading      bool
	readTerm     uint64
	// uncertainWrite is the last write whose answer was lost, until record is replaced or diverges from it.
	uncertainWrite *Record
	// extendsUncertain says that record continues from uncertainWrite.
	extendsUncertain bool
	// uncertainVersion is the newest model version among the uncertain writes that may still take effect; 0 if
	// there are none.
	uncertainVersion int
	// platformDown says that the last read failed; outage is the value of the last OutageChanged.
	platformDown bool
	outage       bool
	// writePaused says that the last write was refused or not sent; the next one waits for a tick.
	writePaused bool
	lostBatch   ContentLost

	leaseHeld bool
	// leaseTerms are the terms in which this coordinator held the lease, oldest first.
	leaseTerms []leaseTerm
	// loadedTerm is the first fencing number of the lease term in which the object was last read.
	loadedTerm uint64
	// superseded says that another coordinator holds the lease.
	superseded bool

	requests   []*pendingRequest
	samples    []Sample
	samplesKey stepKey
	discarded  int
	effects    []Effect
}

// leaseTerm is the range of fencing numbers under which the lease was held without a gap.
type leaseTerm struct {
	first uint64
	last  uint64
}

// maxTerms limits the number of lease terms remembered; a cursor is rarely older than the previous term.
const maxTerms = 16

// stepKey identifies a step and its body.
type stepKey struct {
	step   int
	digest string
}

// Sample is the state of one sample of the current step.
type Sample struct {
	State   SampleState
	Attempt int
	// Prefix holds the tokens of a failed call, from which the next call resumes.
	Prefix []Token
	// Digest is the digest of the content, set from StateGenerated on.
	Digest string
	// OldestVersion is the oldest weight version among the tokens so far.
	OldestVersion int
	// CopyHost is the second host that holds the content, set from StateCopied on.
	CopyHost netip.AddrPort
	Score    float64
	scored   bool
}

// NewJob returns the state machine of a job at the host with the peer address self. The staleness bound is the
// number of versions by which a sample's oldest token may lag behind the model version.
func NewJob(name string, self netip.AddrPort, bound int) *Job {
	return &Job{name: name, self: self, stalenessBound: bound}
}

// Handle applies one event and returns the effects that the caller has to carry out.
func (j *Job) Handle(event Event) []Effect {
	j.effects = nil
	switch e := event.(type) {
	case StepRequested, BatchRequested, VersionRequested:
		j.requests = append(j.requests, newPendingRequest(event))
	case RequestExpired:
		j.expire(e)
	case Loaded:
		j.handleLoaded(e)
	case ReadFailed:
		j.reading = false
		j.platformDown = true
		// An uncertain write may have taken effect since the last read.
		j.confirmed = false
	case Written, WriteConflicted, WriteUnavailable, WriteUncertain, WriteFenced:
		j.finishWrite(event)
	case LeaseChanged:
		j.changeLease(e)
	case Superseded:
		j.supersede()
	case OutageChanged:
		j.outage = e.Established
	case StalenessBoundChanged:
		j.stalenessBound = e.Bound
	case Ticked:
		j.tick()
	case ContentLost:
		j.lostBatch = e
	default:
		j.handleSample(event)
	}
	j.advance()
	return j.effects
}

// advance answers the requests that can be answered and starts the next transition.
func (j *Job) advance() {
	j.discardStale()
	if j.superseded {
		j.refuseAll()
		return
	}
	for j.pendingWrite == nil && j.answerOne() {
	}
	j.dropLostBatch()
	if j.unwritten && j.mayWrite() {
		j.startWrite(j.record)
	}
}

func (j *Job) mayWrite() bool {
	return j.confirmed && j.leaseHeld && !j.platformDown && !j.writePaused && !j.reading && j.pendingWrite == nil
}

// mayProceedOffline reports whether the rules in the comment of Job allow a transition without the platform.
// They guard against a coordinator that was paused and resumes after it was replaced, or that can't reach the
// platform while others can: it would send samples that its successor has delivered, or samples that are stale
// by a version that its successor has accepted. While the platform is down for all hosts there is no successor.
func (j *Job) mayProceedOffline(cursor *Cursor) bool {
	return j.platformDown && j.outage && cursor != nil && j.issuedCursor(cursor) &&
		j.loadedTerm == j.currentTerm().first && j.pendingWrite == nil
}

// issuedCursor reports whether this coordinator issued the cursor.
func (j *Job) issuedCursor(cursor *Cursor) bool {
	return slices.ContainsFunc(j.leaseTerms, func(t leaseTerm) bool {
		return t.first <= cursor.Fencing && cursor.Fencing <= t.last
	})
}

// currentTerm returns the newest lease term, or the zero term before the first.
func (j *Job) currentTerm() leaseTerm {
	if len(j.leaseTerms) == 0 {
		return leaseTerm{}
	}
	return j.leaseTerms[len(j.leaseTerms)-1]
}

// fencingNumber returns the newest fencing number.
func (j *Job) fencingNumber() uint64 {
	return j.currentTerm().last
}

func (j *Job) startWrite(next Record) {
	next.Fencing = j.fencingNumber()
	j.pendingWrite = &next
	body := next.Step != nil && next.Step.key() != j.storedStep
	j.effects = append(j.effects, Write{Record: next, IfVersion: j.storedVersion, StoreBody: body})
}

func (j *Job) startRead() {
	if j.reading {
		return
	}
	j.reading = true
	j.readTerm = j.currentTerm().first
	j.effects = append(j.effects, Read{})
}

func (j *Job) finishWrite(event Event) {
	next := j.pendingWrite
	if next == nil {
		return
	}
	j.pendingWrite = nil
	j.confirmed = false
	switch e := event.(type) {
	case Written:
		j.platformDown = false
		j.confirmed = true
		j.adopt(*next, e.Version)
	case WriteConflicted:
		j.clearWriteSent()
		j.platformDown = false
		j.startRead()
	case WriteUnavailable:
		// A write that was not sent doesn't prove an outage either. Failure: the process is stopped between
		// the decision to write and the write, and the write's deadline has passed when it resumes. If that
		// counted as an outage, the process would send batches that conflict with those of its successor.
		// The read that follows tells the two cases apart: it begins after the process resumes, and returns
		// the successor's record unless the platform is down.
		j.clearWriteSent()
		j.writePaused = true
		j.startRead()
	case WriteUncertain:
		j.uncertainWrite = next
		j.extendsUncertain = false
		j.uncertainVersion = max(j.uncertainVersion, next.ModelVersion)
		// One lost answer doesn't prove an outage: only a failed read allows offline transitions.
		j.startRead()
	case WriteFenced:
		j.clearWriteSent()
		j.leaseHeld = false
	}
}

// adopt replaces the record with the stored object.
func (j *Job) adopt(record Record, version uint64) {
	if version != j.storedVersion {
		// An uncertain write was based on an earlier version, so it can't take effect any more.
		j.uncertainVersion = 0
	}
	j.record = record
	j.record.Step = record.Step.clone()
	j.storedVersion = version
	j.storedStep = record.Step.key()
	j.unwritten = false
	j.uncertainWrite = nil
	j.syncSamples()
}

func (j *Job) handleLoaded(e Loaded) {
	j.reading = false
	j.platformDown = false
	// A read that began in an earlier term may miss the last write of a holder in between.
	if j.readTerm != j.currentTerm().first {
		j.startRead()
		return
	}
	if e.Record.Fencing > j.fencingNumber() {
		j.supersede()
		return
	}
	j.confirmed = true
	j.loadedTerm = j.currentTerm().first
	tookEffect := j.extendsUncertain && j.uncertainWrite != nil && sameRecord(*j.uncertainWrite, e.Record)
	if j.unwritten && (e.Version == j.storedVersion || tookEffect) {
		j.storedVersion = e.Version
		j.storedStep = e.Record.Step.key()
		return
	}
	j.adopt(e.Record, e.Version)
}

func (j *Job) changeLease(e LeaseChanged) {
	j.leaseHeld = e.Held
	if !e.Held || e.FencingNumber == j.fencingNumber() {
		return
	}
	if e.Renewed && len(j.leaseTerms) > 0 {
		j.leaseTerms[len(j.leaseTerms)-1].last = e.FencingNumber
		return
	}
	j.leaseTerms = append(j.leaseTerms, leaseTerm{first: e.FencingNumber, last: e.FencingNumber})
	j.leaseTerms = j.leaseTerms[max(0, len(j.leaseTerms)-maxTerms):]
	j.superseded = false
	j.confirmed = false
	j.startRead()
}

func (j *Job) supersede() {
	j.superseded = true
	j.leaseHeld = false
	j.confirmed = false
}

// tick allows writes again after a refused one. It reads again after a failure, and while the lease is not
// held, to find out whether the platform is down or another coordinator has taken over.
func (j *Job) tick() {
	j.writePaused = false
	if j.pendingWrite == nil && (j.platformDown || !j.confirmed || !j.leaseHeld) {
		j.startRead()
	}
}

// dropLostBatch withdraws the newest batch if no host holds its content any more. The trainer has not
// acknowledged the batch and requests it again; a batch of other samples takes its number.
func (j *Job) dropLostBatch() {
	step := j.record.Step
	if j.lostBatch.Batch == 0 || step == nil || step.Manifest == nil || !j.mayWrite() {
		return
	}
	if step.Step != j.lostBatch.Step || step.Batch != j.lostBatch.Batch {
		j.lostBatch = ContentLost{}
		return
	}
	for _, ref := range step.Manifest.SampleRefs {
		j.samples[step.Position(ref.Group, ref.Index)].scored = false
	}
	next := j.record
	next.Step = step.clone()
	next.Step.Delivered, _ = step.deliveredBefore()
	next.Step.Batch--
	next.Step.Manifest = nil
	j.lostBatch = ContentLost{}
	j.startWrite(next)
}

func (s *StepRecord) key() stepKey {
	if s == nil {
		return stepKey{}
	}
	return stepKey{step: s.Step, digest: s.Digest}
}

// sameRecord reports whether two records have the same stored form.
func sameRecord(a, b Record) bool {
	var left, right any
	rawA, errA := json.Marshal(a)
	rawB, errB := json.Marshal(b)
	if errA != nil || errB != nil {
		return false
	}
	if json.Unmarshal(rawA, &left) != nil || json.Unmarshal(rawB, &right) != nil {
		return false
	}
	return reflect.DeepEqual(left, right)
}

package delivery

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"
)

// Job is the state machine of one trainer job at one coordinator. Two coordinators may both
// believe that they are in charge; what they agree on is the job object, or else the cursor that
// the trainer sends.
//
// A move (a new step, batch or model version) is normally a conditional write of the job object,
// handed out once the write is known to have taken effect. While the platform is down the job may
// move alone, without the write, under these rules:
//   - the request carries a cursor, which says what the trainer has;
//   - this coordinator issued the cursor, under a lease of its own, so no other coordinator can
//     move alone past the same cursor;
//   - this coordinator had read the job object under its newest lease;
//   - its last read failed, and the platform has been down for all hosts since its lease ended;
//   - a model version never moves alone.
//
// Such moves are written when the platform is back. If another coordinator has moved the object
// meanwhile they are dropped, and the trainer's next cursor tells what it had received: the
// trainer is the one consumer, so its cursor decides between two branches.
//
// What remains open: a coordinator that is cut off together with most of the hosts that judge of an
// outage may move alone with a version that a successor has just replaced; and a batch that was handed
// out alone and not written before another coordinator takes the job is made anew under its number for a
// trainer whose cursor shows that it never had it. One whose cursor shows that it had is given the same
// batch again, for as long as a host has the manifest that the cursor names; see Kept.
type Job struct {
	name  string
	self  netip.AddrPort
	bound int

	// record is the object as stored, with the moves made alone on top.
	record    Record
	unwritten bool
	// stored is the version of the object on which record rests.
	stored uint64
	// storedStep names the step whose body is stored.
	storedStep stepKey
	// loaded says that the object's state was confirmed since the last doubt.
	loaded bool
	// writing and reading are the operations under way.
	writing  *Record
	reading  bool
	readTerm uint64
	// unsettled is the last write whose answer was lost, unless record went another way since.
	unsettled *Record
	// extended says that record has gone on from unsettled.
	extended bool
	// floor is the newest model version that may be in force, though unconfirmed.
	floor int
	// down says that the last read failed; outage is what OutageChanged said last.
	down   bool
	outage bool
	// resting says that the platform refused the last write; the next one waits for a tick.
	resting bool
	lost    ContentLost

	held bool
	// terms are the times of holding the lease, the newest last.
	terms      []term
	loadedTerm uint64
	superseded bool

	asks        []*ask
	samples     []Sample
	samplesStep stepKey
	discarded   int
	effects     []Effect
}

// term is a time during which the lease was held without a gap, by its fencing numbers.
type term struct {
	first uint64
	last  uint64
}

// keptTerms bounds the memory of former terms; a cursor is rarely older than the term before.
const keptTerms = 16

type stepKey struct {
	step   int
	digest string
}

// Sample is the state of one sample.
type Sample struct {
	State   SampleState
	Attempt int
	// Prefix holds the tokens of a failed call, to resume from.
	Prefix []Token
	// Digest names the content, from StateGenerated on.
	Digest string
	// Oldest is the oldest weight version among the tokens so far.
	Oldest int
	Copy   netip.AddrPort
	Score  float64
	scored bool
}

// NewJob returns the machine for a job at the host with the peer address self.
func NewJob(name string, self netip.AddrPort, bound int) *Job {
	return &Job{name: name, self: self, bound: bound}
}

// Handle takes one event and returns what is to be done.
func (j *Job) Handle(event Event) []Effect {
	j.effects = nil
	switch e := event.(type) {
	case StepAsked, BatchAsked, VersionAsked:
		j.asks = append(j.asks, newAsk(event))
	case AskExpired:
		j.expire(e)
	case Loaded:
		j.load(e)
	case ReadFailed:
		j.reading = false
		j.down = true
		// A write whose answer was lost may have landed since the last read.
		j.loaded = false
	case Written, WriteConflicted, WriteUnavailable, WriteUnsettled, WriteFenced:
		j.finishWrite(event)
	case FenceChanged:
		j.changeFence(e)
	case Superseded:
		j.supersede()
	case OutageChanged:
		j.outage = e.Established
	case BoundChanged:
		j.bound = e.Bound
	case Ticked:
		j.tick()
	case ContentLost:
		j.lost = e
	default:
		j.handleSample(event)
	}
	j.advance()
	return j.effects
}

// advance answers what can be answered and starts the next move.
func (j *Job) advance() {
	j.discardStale()
	if j.superseded {
		j.refuseAll()
		return
	}
	for j.writing == nil && j.answerOne() {
	}
	j.dropLost()
	if j.unwritten && j.mayWrite() {
		j.write(j.record)
	}
}

func (j *Job) mayWrite() bool {
	return j.loaded && j.held && !j.down && !j.resting && !j.reading && j.writing == nil
}

// mayMoveAlone holds the rules of Job for a move without the platform. The failure they guard
// against: a coordinator that wakes up late, or can't reach the platform while others can, would
// otherwise hand out samples that its successor has delivered, or that are too old by a version that its
// successor has accepted. While the platform is down for all there is no successor.
func (j *Job) mayMoveAlone(cursor *Cursor) bool {
	return j.down && j.outage && cursor != nil && j.issued(cursor) &&
		j.loadedTerm == j.term().first && j.writing == nil
}

func (j *Job) issued(cursor *Cursor) bool {
	return slices.ContainsFunc(j.terms, func(t term) bool {
		return t.first <= cursor.Fencing && cursor.Fencing <= t.last
	})
}

// term returns the newest term; the zero one before the first.
func (j *Job) term() term {
	if len(j.terms) == 0 {
		return term{}
	}
	return j.terms[len(j.terms)-1]
}

// fence returns the newest fencing number.
func (j *Job) fence() uint64 {
	return j.term().last
}

func (j *Job) write(next Record) {
	next.Fencing = j.fence()
	j.writing = &next
	body := next.Step != nil && next.Step.key() != j.storedStep
	j.effects = append(j.effects, Write{Record: next, IfVersion: j.stored, Body: body})
}

func (j *Job) read() {
	if j.reading {
		return
	}
	j.reading = true
	j.readTerm = j.term().first
	j.effects = append(j.effects, Read{})
}

func (j *Job) finishWrite(event Event) {
	next := j.writing
	if next == nil {
		return
	}
	j.writing = nil
	j.loaded = false
	switch e := event.(type) {
	case Written:
		j.down = false
		j.loaded = true
		j.adopt(*next, e.Version)
	case WriteConflicted:
		j.unsend()
		j.down = false
		j.read()
	case WriteUnavailable:
		// A write that was not sent is no outage either. Failure: the process is stopped between the
		// decision and the write, and the write's time is over when it wakes; taken for an outage, that
		// would let it hand out batches of its own beside those of its successor. The read tells them
		// apart: it begins after the wake, and brings the successor's record unless the platform is down.
		j.unsend()
		j.resting = true
		j.read()
	case WriteUnsettled:
		j.unsettled = next
		j.extended = false
		j.floor = max(j.floor, next.ModelVersion)
		// One lost answer is no outage: only a failed read allows moves without the platform.
		j.read()
	case WriteFenced:
		j.unsend()
		j.held = false
	}
}

// adopt takes the object as stored.
func (j *Job) adopt(record Record, version uint64) {
	if version != j.stored {
		// A write whose answer was lost rested on the version before: it can't land any more.
		j.floor = 0
	}
	j.record = record
	j.record.Step = record.Step.clone()
	j.stored = version
	j.storedStep = record.Step.key()
	j.unwritten = false
	j.unsettled = nil
	j.sync()
}

func (j *Job) load(e Loaded) {
	j.reading = false
	j.down = false
	// A read that began in an older term may miss the last write of a holder in between.
	if j.readTerm != j.term().first {
		j.read()
		return
	}
	if e.Record.Fencing > j.fence() {
		j.supersede()
		return
	}
	j.loaded = true
	j.loadedTerm = j.term().first
	landed := j.extended && j.unsettled != nil && sameRecord(*j.unsettled, e.Record)
	if j.unwritten && (e.Version == j.stored || landed) {
		j.stored = e.Version
		j.storedStep = e.Record.Step.key()
		return
	}
	j.adopt(e.Record, e.Version)
}

func (j *Job) changeFence(e FenceChanged) {
	j.held = e.Held
	if !e.Held || e.Number == j.fence() {
		return
	}
	if e.Renewed && len(j.terms) > 0 {
		j.terms[len(j.terms)-1].last = e.Number
		return
	}
	j.terms = append(j.terms, term{first: e.Number, last: e.Number})
	j.terms = j.terms[max(0, len(j.terms)-keptTerms):]
	j.superseded = false
	j.loaded = false
	j.read()
}

func (j *Job) supersede() {
	j.superseded = true
	j.held = false
	j.loaded = false
}

// tick ends the rest after a refused write. It reads again after a failure, and while the lease is not
// held, to find out whether the platform is down or another coordinator has taken over.
func (j *Job) tick() {
	j.resting = false
	if j.writing == nil && (j.down || !j.loaded || !j.held) {
		j.read()
	}
}

// dropLost gives up the newest batch if its content is gone from all hosts. The trainer has not
// acknowledged it, and asks for it again; a batch of other samples takes its number.
func (j *Job) dropLost() {
	step := j.record.Step
	if j.lost.Batch == 0 || step == nil || step.Manifest == nil || !j.mayWrite() {
		return
	}
	if step.Step != j.lost.Step || step.Batch != j.lost.Batch {
		j.lost = ContentLost{}
		return
	}
	for _, ref := range step.Manifest.Refs {
		j.samples[step.Position(ref.Group, ref.Index)].scored = false
	}
	next := j.record
	next.Step = step.clone()
	next.Step.Delivered, _ = step.deliveredBefore()
	next.Step.Batch--
	next.Step.Manifest = nil
	j.lost = ContentLost{}
	j.write(next)
}

func (s *StepRecord) key() stepKey {
	if s == nil {
		return stepKey{}
	}
	return stepKey{step: s.Step, digest: s.Digest}
}

// sameRecord compares two records by their stored form.
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

package delivery

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// script feeds a job by hand.
type script struct {
	t   *testing.T
	job *Job
	// version is that of the object after the last write.
	version uint64
}

// newScript returns a job under its first lease, number 10, that has read an absent object.
func newScript(t *testing.T, bound int) *script {
	s := &script{t: t, job: NewJob("fees", netip.MustParseAddrPort("127.0.0.1:7001"), bound)}
	s.job.Handle(OutageChanged{Established: true})
	s.job.Handle(FenceChanged{Number: 10, Held: true})
	s.job.Handle(Loaded{Record: Record{Job: "fees"}})
	return s
}

// the returns the only effect of a kind.
func the[E Effect](s *script, effects []Effect) E {
	s.t.Helper()
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	if len(found) != 1 {
		s.t.Fatalf("%d effects of the kind in %+v", len(found), effects)
	}
	return found[0]
}

// commit feeds an event whose write takes effect, and returns the answer.
func (s *script) commit(event Event) Answer {
	s.t.Helper()
	the[Write](s, s.job.Handle(event))
	s.version++
	return the[Answer](s, s.job.Handle(Written{Version: s.version}))
}

// waits feeds an event that must have no effect.
func (s *script) waits(event Event) {
	s.t.Helper()
	if effects := s.job.Handle(event); len(effects) != 0 {
		s.t.Errorf("%T: %+v", event, effects)
	}
}

// lose ends the lease and the next read fails.
func (s *script) lose() {
	s.t.Helper()
	s.job.Handle(FenceChanged{})
	the[Read](s, s.job.Handle(Ticked{}))
	s.job.Handle(ReadFailed{})
}

// readUp feeds an event whose cursor differs from the object, which is read again and has not changed.
func (s *script) readUp(event Event) []Effect {
	s.t.Helper()
	record := s.job.record
	the[Read](s, s.job.Handle(event))
	return s.job.Handle(Loaded{Record: record, Version: s.version})
}

func (s *script) postStep() Cursor {
	s.t.Helper()
	answer := s.commit(StepAsked{ID: 1, Step: 1, Digest: "body", Sizes: []int{4, 2}, BatchSize: 2, Chunks: 1})
	return answer.Result.(StepAccepted).Cursor
}

// ready makes samples of one weight version ready for a batch.
func (s *script) ready(version int, positions ...int) {
	for _, position := range positions {
		_, work := s.job.Sample(position)
		s.job.Handle(SampleStarted{Work: work})
		s.job.Handle(SampleGenerated{Work: work, Tokens: []Token{{Text: "x", Version: version}}, Digest: "d"})
		s.job.Handle(SampleCopied{Work: work})
		s.job.Handle(SampleScored{Work: work, Score: 1})
	}
}

func (s *script) refusal(effects []Effect) verdict.Refusal {
	s.t.Helper()
	refused, ok := the[Answer](s, effects).Result.(Refused)
	if !ok {
		s.t.Fatalf("not refused: %+v", effects)
	}
	return *refused.Refusal
}

// A trainer would wait for ever: samples that a new version makes stale are neither delivered nor
// generated again. All samples are ready when version 2 comes.
func TestStaleSamplesAreGeneratedAgain(t *testing.T) {
	s := newScript(t, 0)
	s.postStep()
	s.ready(1, 0, 1, 2)
	s.commit(VersionAsked{ID: 2, Version: 2})
	sample, _ := s.job.Sample(0)
	if status := s.job.Status(); status.Discarded != 3 || status.Samples["pending"] != 6 || sample.Attempt != 1 {
		t.Errorf("%+v %+v", status, sample)
	}
}

// A trainer would get samples that are too old by its own new version. The answer to the write of
// version 2 is lost, the platform goes down, and the trainer asks for a batch with its cursor.
func TestUnsettledVersionHoldsUpMovesAlone(t *testing.T) {
	s := newScript(t, 0)
	s.commit(VersionAsked{ID: 2, Version: 1})
	cursor := s.postStep()
	s.ready(1, 0, 1, 2)
	the[Write](s, s.job.Handle(VersionAsked{ID: 3, Version: 2}))
	the[Read](s, s.job.Handle(WriteUnsettled{}))
	s.job.Handle(ReadFailed{})
	s.waits(BatchAsked{ID: 4, Step: 1, Batch: 1, Cursor: &cursor})
}

// The same, but the lost write lands after it was looked for and not found.
func TestLateVersionHoldsUpMovesAlone(t *testing.T) {
	s := newScript(t, 0)
	s.commit(VersionAsked{ID: 2, Version: 1})
	cursor := s.postStep()
	s.ready(1, 0, 1, 2)
	before := s.job.record
	the[Write](s, s.job.Handle(VersionAsked{ID: 3, Version: 2}))
	s.job.Handle(AskExpired{ID: 3})
	the[Read](s, s.job.Handle(WriteUnsettled{}))
	s.job.Handle(Loaded{Record: before, Version: s.version})
	s.lose()
	s.waits(BatchAsked{ID: 4, Step: 1, Batch: 1, Cursor: &cursor})
}

// A trainer would see two versions of batch 1. The write of its manifest has an unknown fate, the
// platform goes down, and meanwhile other samples are ready that would go first.
func TestUnsettledBatchIsHandedOutUnchanged(t *testing.T) {
	s := newScript(t, 1)
	s.commit(VersionAsked{ID: 2, Version: 2})
	cursor := s.postStep()
	s.ready(2, 4, 5)
	write := the[Write](s, s.job.Handle(BatchAsked{ID: 3, Step: 1, Batch: 1, Cursor: &cursor}))
	the[Read](s, s.job.Handle(WriteUnsettled{}))
	s.ready(1, 0, 1)
	answer := the[Answer](s, s.job.Handle(ReadFailed{}))
	got := answer.Result.(BatchReady).Manifest
	if diff := cmp.Diff(*write.Record.Step.Manifest, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("(-written +handed out):\n%s", diff)
	}
}

// A trainer would get a batch from a coordinator that another has replaced. The process is stopped
// before its write is sent, and the write's time is over when it wakes: nothing was written, which
// is no sign that the platform is down. Only a read that fails is one.
func TestUnsentWriteIsNoOutage(t *testing.T) {
	for _, down := range []bool{false, true} {
		s := newScript(t, 0)
		cursor := s.postStep()
		s.ready(0, 0, 1)
		the[Write](s, s.job.Handle(BatchAsked{ID: 2, Step: 1, Batch: 1, Cursor: &cursor}))
		s.job.Handle(FenceChanged{})
		the[Read](s, s.job.Handle(WriteUnavailable{}))
		if down {
			answer := the[Answer](s, s.job.Handle(ReadFailed{}))
			if _, ready := answer.Result.(BatchReady); !ready {
				t.Errorf("in an outage: %+v", answer.Result)
			}
			continue
		}
		got := s.refusal(s.job.Handle(Loaded{Record: Record{Job: "fees", Fencing: 20}, Version: 9}))
		if got.Reason != verdict.ReasonNotLeader {
			t.Errorf("%+v", got)
		}
	}
}

// A trainer would get samples that are too old: a coordinator that can't reach the platform, which
// others reach, has been replaced without knowing. It moves alone once the others find the platform
// down too, and no longer than that.
func TestFailedReadAloneIsNoOutage(t *testing.T) {
	s := newScript(t, 0)
	cursor := s.postStep()
	s.ready(0, 0, 1, 2, 3)
	s.job.Handle(OutageChanged{})
	s.lose()
	s.waits(BatchAsked{ID: 2, Step: 1, Batch: 1, Cursor: &cursor})
	ready := the[Answer](s, s.job.Handle(OutageChanged{Established: true})).Result.(BatchReady)
	s.job.Handle(OutageChanged{})
	s.waits(BatchAsked{ID: 3, Step: 1, Batch: 2, Cursor: &ready.Cursor})
}

// A platform that refuses writes above its rate would be asked again without a pause, by a read and a
// write in turn. After a refused write the next one waits for the next tick.
func TestRefusedWriteRests(t *testing.T) {
	s := newScript(t, 0)
	s.postStep()
	s.ready(0, 0, 1)
	before := s.job.record
	the[Write](s, s.job.Handle(BatchAsked{ID: 2, Step: 1, Batch: 1}))
	the[Read](s, s.job.Handle(WriteUnavailable{}))
	s.waits(Loaded{Record: before, Version: s.version})
	the[Write](s, s.job.Handle(Ticked{}))
}

// A trainer would be sent back in time: it was served by a later coordinator, and the balancer
// brings it to the one before, which has slept through the change.
func TestCursorOfLaterCoordinatorIsObeyed(t *testing.T) {
	s := newScript(t, 0)
	cursor := s.postStep()
	cursor.Fencing = 11
	got := s.refusal(s.job.Handle(BatchAsked{ID: 2, Step: 1, Batch: 1, Cursor: &cursor}))
	if got.Reason != verdict.ReasonNotLeader || got.Verdict != verdict.NotRun {
		t.Errorf("%+v", got)
	}
}

// Requests would hang at a coordinator that lost its lease while paused: it reads in the job object
// that a later one has written.
func TestRecordOfLaterCoordinatorEndsService(t *testing.T) {
	s := newScript(t, 0)
	s.postStep()
	s.job.Handle(BatchAsked{ID: 2, Step: 1, Batch: 1})
	s.job.Handle(FenceChanged{})
	the[Read](s, s.job.Handle(Ticked{}))
	got := s.refusal(s.job.Handle(Loaded{Record: Record{Job: "fees", Fencing: 20}, Version: 9}))
	if got.Reason != verdict.ReasonNotLeader {
		t.Errorf("%+v", got)
	}
}

// A coordinator would move alone past what another has delivered. It loses the lease while a read
// is under way, another serves the job and writes, and it takes the lease again; then the old
// read's answer comes.
func TestReadOfOlderTermIsRepeated(t *testing.T) {
	s := newScript(t, 0)
	cursor := s.postStep()
	s.ready(0, 0, 1)
	s.job.Handle(FenceChanged{})
	old := s.job.record
	the[Read](s, s.job.Handle(Ticked{}))
	s.job.Handle(FenceChanged{Number: 30, Held: true})
	the[Read](s, s.job.Handle(Loaded{Record: old, Version: s.version}))
	s.job.Handle(ReadFailed{})
	s.waits(BatchAsked{ID: 4, Step: 1, Batch: 1, Cursor: &cursor})
}

// A trainer would get the samples of batch 1 again. A step was begun and batch 1 delivered in an
// outage; the coordinator dies with it; the successor knows nothing of the step.
func TestStepLearntFromCursor(t *testing.T) {
	s := newScript(t, 0)
	cursor := Cursor{Job: "fees", Step: 5, Digest: "body", Batch: 1, Delivered: Bitmap{0b101}, Fencing: 9}
	got := s.refusal(s.job.Handle(BatchAsked{ID: 1, Step: 5, Batch: 2, Cursor: &cursor}))
	if got.Reason != verdict.ReasonNotFound {
		t.Errorf("%+v", got)
	}
	write := the[Write](s, s.job.Handle(StepAsked{
		ID: 2, Step: 5, Digest: "body", Sizes: []int{4, 2}, BatchSize: 2, Chunks: 1, Cursor: &cursor,
	}))
	if step := write.Record.Step; !write.Body || step.Batch != 1 || !step.Delivered.Equal(cursor.Delivered) {
		t.Errorf("%+v", step)
	}
}

// An operator would be told "not run" of a version that is in force. Its write was sent, its answer
// was lost, and the trainer's time is over.
func TestExpiredAfterLostWriteMayHaveRun(t *testing.T) {
	s := newScript(t, 0)
	the[Write](s, s.job.Handle(VersionAsked{ID: 1, Version: 1}))
	s.job.Handle(WriteUnsettled{})
	if got := s.refusal(s.job.Handle(AskExpired{ID: 1})); got.Verdict != verdict.MayHaveRun {
		t.Errorf("%+v", got)
	}
}

// A trainer would learn from a sample whose first half was made by weights that are too old. The
// engine crashed at version 1 and the sample waits with its prefix; version 2 comes.
func TestStalePrefixIsNotResumed(t *testing.T) {
	s := newScript(t, 0)
	s.postStep()
	_, work := s.job.Sample(0)
	s.job.Handle(SampleStarted{Work: work})
	s.job.Handle(SampleFailed{Work: work, Tokens: []Token{{Text: "x", Version: 1}}})
	s.commit(VersionAsked{ID: 2, Version: 2})
	if sample, _ := s.job.Sample(0); len(sample.Prefix) != 0 || sample.Attempt != 1 {
		t.Errorf("%+v", sample)
	}
}

// A trainer would be refused batch 1 for good when it asks again. A write of the former coordinator comes
// late, after its successor has read the object; the former one finds it there and hands out batch 1. Now
// the trainer asks the successor, whose knowledge is behind the trainer's cursor.
func TestCursorAheadOfLateWriteIsReadUp(t *testing.T) {
	for _, landed := range []bool{true, false} {
		s := newScript(t, 0)
		cursor := s.postStep()
		cursor.Batch = 1
		cursor.Delivered = Bitmap{0b11}
		cursor.Fencing = 5
		record := s.job.record
		record.Step = record.Step.clone()
		if landed {
			record.Step.Batch = 1
			record.Step.Delivered = cursor.Delivered
			record.Step.Manifest = &Manifest{Batch: 1, Refs: []Ref{{}, {Index: 1}}}
			s.version++
		}
		the[Read](s, s.job.Handle(BatchAsked{ID: 2, Step: 1, Batch: 1, Cursor: &cursor}))
		answer := the[Answer](s, s.job.Handle(Loaded{Record: record, Version: s.version}))
		if _, ready := answer.Result.(BatchReady); ready != landed {
			t.Errorf("landed %v: %+v", landed, answer.Result)
		}
	}
}

// A trainer would get samples twice. It took batch 1 of one coordinator, which handed it out in an
// outage, while this one has written another batch 1; now it asks here for batch 2.
func TestCursorDecidesBetweenBranches(t *testing.T) {
	s := newScript(t, 0)
	cursor := s.postStep()
	s.ready(0, 0, 1, 2, 3, 4, 5)
	s.commit(BatchAsked{ID: 2, Step: 1, Batch: 1})
	cursor.Batch = 1
	cursor.Delivered = Bitmap{0b110000}
	cursor.Fencing = 5
	write := the[Write](s, s.readUp(BatchAsked{ID: 3, Step: 1, Batch: 2, Cursor: &cursor}))
	if got := write.Record.Step.Delivered; !got.Equal(Bitmap{0b110011}) {
		t.Errorf("delivered %b", got)
	}
}

// A trainer would be taken back to what this coordinator remembers. It moved alone in an outage
// and wakes when another has written the object: its own moves must not be written over that.
func TestMovesAloneAreDroppedOverMovedObject(t *testing.T) {
	s := newScript(t, 0)
	cursor := s.postStep()
	s.ready(0, 0, 1)
	other := s.job.record
	s.lose()
	the[Answer](s, s.job.Handle(BatchAsked{ID: 2, Step: 1, Batch: 1, Cursor: &cursor}))
	other.ModelVersion = 1
	other.Fencing = 20
	s.job.Handle(FenceChanged{Number: 30, Held: true})
	s.waits(Loaded{Record: other, Version: 9})
	if status := s.job.Status(); status.Unwritten || status.ModelVersion != 1 || status.Batch != 0 {
		t.Errorf("%+v", status)
	}
}

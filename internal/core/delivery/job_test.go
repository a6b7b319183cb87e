package delivery

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// harness passes events to a job and checks its effects.
type harness struct {
	t   *testing.T
	job *Job
	// version is the object's version after the last write.
	version uint64
}

// newHarness returns a job that holds its first lease, with fencing number 10, and has read an absent object.
// An outage of the platform is established.
func newHarness(t *testing.T, bound int) *harness {
	h := &harness{t: t, job: NewJob("fees", netip.MustParseAddrPort("127.0.0.1:7001"), bound)}
	h.job.Handle(OutageChanged{Established: true})
	h.job.Handle(LeaseChanged{FencingNumber: 10, Held: true})
	h.job.Handle(Loaded{Record: Record{Job: "fees"}})
	return h
}

// onlyEffect returns the only effect of type E, and fails if there is none or more than one.
func onlyEffect[E Effect](h *harness, effects []Effect) E {
	h.t.Helper()
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	if len(found) != 1 {
		h.t.Fatalf("%d effects of the requested type, want 1: %+v", len(found), effects)
	}
	return found[0]
}

// commit handles an event whose write takes effect, and returns the answer.
func (h *harness) commit(event Event) Answer {
	h.t.Helper()
	onlyEffect[Write](h, h.job.Handle(event))
	h.version++
	return onlyEffect[Answer](h, h.job.Handle(Written{Version: h.version}))
}

// expectNoEffects handles an event that must have no effect.
func (h *harness) expectNoEffects(event Event) {
	h.t.Helper()
	if effects := h.job.Handle(event); len(effects) != 0 {
		h.t.Errorf("%T had effects: %+v", event, effects)
	}
}

// loseLeaseAndPlatform ends the lease and lets the next read fail.
func (h *harness) loseLeaseAndPlatform() {
	h.t.Helper()
	h.job.Handle(LeaseChanged{})
	onlyEffect[Read](h, h.job.Handle(Ticked{}))
	h.job.Handle(ReadFailed{})
}

// handleWithReread handles an event whose cursor differs from the record, and answers the reread with the
// unchanged object.
func (h *harness) handleWithReread(event Event) []Effect {
	h.t.Helper()
	record := h.job.record
	onlyEffect[Read](h, h.job.Handle(event))
	return h.job.Handle(Loaded{Record: record, Version: h.version})
}

func (h *harness) postStep() Cursor {
	h.t.Helper()
	answer := h.commit(StepRequested{ID: 1, Step: 1, Digest: "body", GroupSizes: []int{4, 2}, BatchSize: 2, Chunks: 1})
	return answer.Result.(StepAccepted).Cursor
}

// prepareSamples makes samples ready for a batch, with tokens of one weight version.
func (h *harness) prepareSamples(version int, positions ...int) {
	for _, position := range positions {
		_, attempt := h.job.Sample(position)
		h.job.Handle(SampleStarted{Attempt: attempt})
		h.job.Handle(SampleGenerated{Attempt: attempt, Tokens: []Token{{Text: "x", Version: version}}, Digest: "d"})
		h.job.Handle(SampleCopied{Attempt: attempt})
		h.job.Handle(SampleScored{Attempt: attempt, Score: 1})
	}
}

func (h *harness) refusal(effects []Effect) verdict.Refusal {
	h.t.Helper()
	refused, ok := onlyEffect[Answer](h, effects).Result.(Refused)
	if !ok {
		h.t.Fatalf("got effects %+v, want a refusal", effects)
	}
	return *refused.Refusal
}

// Guards against samples that a new version makes stale and that are then neither delivered nor generated
// again, so that the trainer waits forever. The samples are ready when version 2 arrives.
func TestStaleSamplesAreGeneratedAgain(t *testing.T) {
	h := newHarness(t, 0)
	h.postStep()
	h.prepareSamples(1, 0, 1, 2)
	h.commit(VersionRequested{ID: 2, Version: 2})
	sample, _ := h.job.Sample(0)
	if status := h.job.Status(); status.Discarded != 3 || status.Samples["pending"] != 6 || sample.Attempt != 1 {
		t.Errorf("got status %+v, sample %+v", status, sample)
	}
}

// Guards against samples that are stale by the trainer's own new version. The answer to the write of version 2
// is lost, the platform goes down, and the trainer requests a batch with its cursor.
func TestUncertainVersionBlocksOfflineBatch(t *testing.T) {
	h := newHarness(t, 0)
	h.commit(VersionRequested{ID: 2, Version: 1})
	cursor := h.postStep()
	h.prepareSamples(1, 0, 1, 2)
	onlyEffect[Write](h, h.job.Handle(VersionRequested{ID: 3, Version: 2}))
	onlyEffect[Read](h, h.job.Handle(WriteUncertain{}))
	h.job.Handle(ReadFailed{})
	h.expectNoEffects(BatchRequested{ID: 4, Step: 1, Batch: 1, Cursor: &cursor})
}

// Like TestUncertainVersionBlocksOfflineBatch, but the write may still take effect after a read did not find
// it.
func TestDelayedVersionBlocksOfflineBatch(t *testing.T) {
	h := newHarness(t, 0)
	h.commit(VersionRequested{ID: 2, Version: 1})
	cursor := h.postStep()
	h.prepareSamples(1, 0, 1, 2)
	before := h.job.record
	onlyEffect[Write](h, h.job.Handle(VersionRequested{ID: 3, Version: 2}))
	h.job.Handle(RequestExpired{ID: 3})
	onlyEffect[Read](h, h.job.Handle(WriteUncertain{}))
	h.job.Handle(Loaded{Record: before, Version: h.version})
	h.loseLeaseAndPlatform()
	h.expectNoEffects(BatchRequested{ID: 4, Step: 1, Batch: 1, Cursor: &cursor})
}

// Guards against two versions of batch 1. The outcome of the write of its manifest is unknown, the platform
// goes down, and by then other samples are ready that would go first.
func TestUncertainBatchIsServedUnchanged(t *testing.T) {
	h := newHarness(t, 1)
	h.commit(VersionRequested{ID: 2, Version: 2})
	cursor := h.postStep()
	h.prepareSamples(2, 4, 5)
	write := onlyEffect[Write](h, h.job.Handle(BatchRequested{ID: 3, Step: 1, Batch: 1, Cursor: &cursor}))
	onlyEffect[Read](h, h.job.Handle(WriteUncertain{}))
	h.prepareSamples(1, 0, 1)
	answer := onlyEffect[Answer](h, h.job.Handle(ReadFailed{}))
	got := answer.Result.(BatchReady).Manifest
	if diff := cmp.Diff(*write.Record.Step.Manifest, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("(-written +served):\n%s", diff)
	}
}

// Guards against a batch from a coordinator that was replaced. The process is stopped before its write is
// sent, and the write's deadline has passed when it resumes. Nothing was written, but that doesn't show that
// the platform is down; only a failed read does.
func TestUnsentWriteIsNoOutage(t *testing.T) {
	for _, down := range []bool{false, true} {
		h := newHarness(t, 0)
		cursor := h.postStep()
		h.prepareSamples(0, 0, 1)
		onlyEffect[Write](h, h.job.Handle(BatchRequested{ID: 2, Step: 1, Batch: 1, Cursor: &cursor}))
		h.job.Handle(LeaseChanged{})
		onlyEffect[Read](h, h.job.Handle(WriteUnavailable{}))
		if down {
			answer := onlyEffect[Answer](h, h.job.Handle(ReadFailed{}))
			if _, ready := answer.Result.(BatchReady); !ready {
				t.Errorf("got %+v in an outage, want a batch", answer.Result)
			}
			continue
		}
		got := h.refusal(h.job.Handle(Loaded{Record: Record{Job: "fees", Fencing: 20}, Version: 9}))
		if got.Reason != verdict.ReasonNotLeader {
			t.Errorf("got refusal %+v", got)
		}
	}
}

// Guards against stale samples from a coordinator that can't reach the platform while others can, and so was
// replaced without knowing. It may proceed offline only while the other hosts find the platform down too.
func TestFailedReadAloneIsNoOutage(t *testing.T) {
	h := newHarness(t, 0)
	cursor := h.postStep()
	h.prepareSamples(0, 0, 1, 2, 3)
	h.job.Handle(OutageChanged{})
	h.loseLeaseAndPlatform()
	h.expectNoEffects(BatchRequested{ID: 2, Step: 1, Batch: 1, Cursor: &cursor})
	ready := onlyEffect[Answer](h, h.job.Handle(OutageChanged{Established: true})).Result.(BatchReady)
	h.job.Handle(OutageChanged{})
	h.expectNoEffects(BatchRequested{ID: 3, Step: 1, Batch: 2, Cursor: &ready.Cursor})
}

// Guards against a loop of reads and writes without a pause when the platform refuses writes above its rate
// limit. After a refused write the next one waits for a tick.
func TestRefusedWriteWaitsForTick(t *testing.T) {
	h := newHarness(t, 0)
	h.postStep()
	h.prepareSamples(0, 0, 1)
	before := h.job.record
	onlyEffect[Write](h, h.job.Handle(BatchRequested{ID: 2, Step: 1, Batch: 1}))
	onlyEffect[Read](h, h.job.Handle(WriteUnavailable{}))
	h.expectNoEffects(Loaded{Record: before, Version: h.version})
	onlyEffect[Write](h, h.job.Handle(Ticked{}))
}

// Guards against serving a trainer from outdated state. The trainer was served by a later coordinator, and the
// load balancer routes it to the former one, which was paused during the change.
func TestCursorOfLaterCoordinatorIsRefused(t *testing.T) {
	h := newHarness(t, 0)
	cursor := h.postStep()
	cursor.Fencing = 11
	got := h.refusal(h.job.Handle(BatchRequested{ID: 2, Step: 1, Batch: 1, Cursor: &cursor}))
	if got.Reason != verdict.ReasonNotLeader || got.Verdict != verdict.NotRun {
		t.Errorf("got refusal %+v", got)
	}
}

// Guards against requests that hang at a coordinator that lost its lease while paused. It reads in the job
// object that a later coordinator has written.
func TestRecordOfLaterCoordinatorEndsService(t *testing.T) {
	h := newHarness(t, 0)
	h.postStep()
	h.job.Handle(BatchRequested{ID: 2, Step: 1, Batch: 1})
	h.job.Handle(LeaseChanged{})
	onlyEffect[Read](h, h.job.Handle(Ticked{}))
	got := h.refusal(h.job.Handle(Loaded{Record: Record{Job: "fees", Fencing: 20}, Version: 9}))
	if got.Reason != verdict.ReasonNotLeader {
		t.Errorf("got refusal %+v", got)
	}
}

// Guards against an offline batch that ignores what another coordinator delivered. The coordinator loses the
// lease while a read is in flight, another one serves the job and writes, and the first takes the lease again;
// then the answer to the old read arrives.
func TestReadOfEarlierLeaseTermIsRepeated(t *testing.T) {
	h := newHarness(t, 0)
	cursor := h.postStep()
	h.prepareSamples(0, 0, 1)
	h.job.Handle(LeaseChanged{})
	old := h.job.record
	onlyEffect[Read](h, h.job.Handle(Ticked{}))
	h.job.Handle(LeaseChanged{FencingNumber: 30, Held: true})
	onlyEffect[Read](h, h.job.Handle(Loaded{Record: old, Version: h.version}))
	h.job.Handle(ReadFailed{})
	h.expectNoEffects(BatchRequested{ID: 4, Step: 1, Batch: 1, Cursor: &cursor})
}

// Guards against delivering the samples of batch 1 again. A step was started and its batch 1 delivered in an
// outage; the coordinator died before the platform was back, and its successor doesn't know the step.
func TestStepRestoredFromCursor(t *testing.T) {
	h := newHarness(t, 0)
	cursor := Cursor{Job: "fees", Step: 5, Digest: "body", Batch: 1, Delivered: Bitmap{0b101}, Fencing: 9}
	got := h.refusal(h.job.Handle(BatchRequested{ID: 1, Step: 5, Batch: 2, Cursor: &cursor}))
	if got.Reason != verdict.ReasonNotFound {
		t.Errorf("got refusal %+v", got)
	}
	write := onlyEffect[Write](h, h.job.Handle(StepRequested{
		ID: 2, Step: 5, Digest: "body", GroupSizes: []int{4, 2}, BatchSize: 2, Chunks: 1, Cursor: &cursor,
	}))
	if step := write.Record.Step; !write.StoreBody || step.Batch != 1 || !step.Delivered.Equal(cursor.Delivered) {
		t.Errorf("got step %+v", step)
	}
}

// Guards against answering "not run" for a version that is in force. Its write was sent, the answer
// was lost, and the trainer's request expires.
func TestExpiryAfterUncertainWriteMayHaveRun(t *testing.T) {
	h := newHarness(t, 0)
	onlyEffect[Write](h, h.job.Handle(VersionRequested{ID: 1, Version: 1}))
	h.job.Handle(WriteUncertain{})
	if got := h.refusal(h.job.Handle(RequestExpired{ID: 1})); got.Verdict != verdict.MayHaveRun {
		t.Errorf("got refusal %+v", got)
	}
}

// Guards against a sample whose first half was made by weights that are too old. The engine crashed at version
// 1, the sample waits with its prefix, and version 2 arrives.
func TestStalePrefixIsNotResumed(t *testing.T) {
	h := newHarness(t, 0)
	h.postStep()
	_, attempt := h.job.Sample(0)
	h.job.Handle(SampleStarted{Attempt: attempt})
	h.job.Handle(SampleFailed{Attempt: attempt, Tokens: []Token{{Text: "x", Version: 1}}})
	h.commit(VersionRequested{ID: 2, Version: 2})
	if sample, _ := h.job.Sample(0); len(sample.Prefix) != 0 || sample.Attempt != 1 {
		t.Errorf("got sample %+v", sample)
	}
}

// Guards against refusing batch 1 permanently when the trainer repeats its request. A write of the former
// coordinator is delayed and takes effect after the successor has read the object; the former one finds it there
// and sends batch 1. The trainer then requests it from the successor, whose record is behind the trainer's cursor.
func TestCursorAheadOfLateWriteCausesReread(t *testing.T) {
	for _, tookEffect := range []bool{true, false} {
		h := newHarness(t, 0)
		cursor := h.postStep()
		cursor.Batch = 1
		cursor.Delivered = Bitmap{0b11}
		cursor.Fencing = 5
		record := h.job.record
		record.Step = record.Step.clone()
		if tookEffect {
			record.Step.Batch = 1
			record.Step.Delivered = cursor.Delivered
			record.Step.Manifest = &Manifest{Batch: 1, SampleRefs: []SampleRef{{}, {Index: 1}}}
			h.version++
		}
		onlyEffect[Read](h, h.job.Handle(BatchRequested{ID: 2, Step: 1, Batch: 1, Cursor: &cursor}))
		answer := onlyEffect[Answer](h, h.job.Handle(Loaded{Record: record, Version: h.version}))
		if _, ready := answer.Result.(BatchReady); ready != tookEffect {
			t.Errorf("write took effect %v: got %+v", tookEffect, answer.Result)
		}
	}
}

// Guards against delivering samples twice. The trainer got batch 1 from another coordinator, which sent it
// in an outage, while this one has written a different batch 1; now the trainer requests batch 2 here.
func TestCursorDecidesBetweenBranches(t *testing.T) {
	h := newHarness(t, 0)
	cursor := h.postStep()
	h.prepareSamples(0, 0, 1, 2, 3, 4, 5)
	h.commit(BatchRequested{ID: 2, Step: 1, Batch: 1})
	cursor.Batch = 1
	cursor.Delivered = Bitmap{0b110000}
	cursor.Fencing = 5
	write := onlyEffect[Write](h, h.handleWithReread(BatchRequested{ID: 3, Step: 1, Batch: 2, Cursor: &cursor}))
	if got := write.Record.Step.Delivered; !got.Equal(Bitmap{0b110011}) {
		t.Errorf("got delivered %b", got)
	}
}

// Guards against overwriting the progress of another coordinator. This one made transitions offline in an
// outage, and resumes after the other has written the object: its own transitions must not be written over
// that.
func TestOfflineTransitionsAreDroppedWhenObjectChanged(t *testing.T) {
	h := newHarness(t, 0)
	cursor := h.postStep()
	h.prepareSamples(0, 0, 1)
	other := h.job.record
	h.loseLeaseAndPlatform()
	onlyEffect[Answer](h, h.job.Handle(BatchRequested{ID: 2, Step: 1, Batch: 1, Cursor: &cursor}))
	other.ModelVersion = 1
	other.Fencing = 20
	h.job.Handle(LeaseChanged{FencingNumber: 30, Held: true})
	h.expectNoEffects(Loaded{Record: other, Version: 9})
	if status := h.job.Status(); status.Unwritten || status.ModelVersion != 1 || status.Batch != 0 {
		t.Errorf("got status %+v", status)
	}
}

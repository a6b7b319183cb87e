package batchjob

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// trialStepNames are the steps of a trial; those that stand first are drawn most.
var trialStepNames = []string{"finish", "read", "give", "submit", "hear", "fault", "start", "late", "orphan", "body", "end", "outage", "forget"}

const (
	trialEntries = 3
	trialItems   = 6
	trialSteps   = 60
	wholeList    = 1 << 20
)

// trial is some entries that share a store and can't call each other, with all that any of them has shown of one job.
type trial struct {
	t       *rapid.T
	ctx     context.Context
	store   *sharedStore
	doors   []*storeDoor
	entries []*Manager
	stops   []context.CancelFunc
	spec    batch.Job
	// outage is set while the entries take the store for out of reach.
	outage atomic.Bool
	// accepted is set once an entry said so; shown are the results that any entry has shown, by position.
	accepted bool
	shown    []batch.Result
}

func newTrial(ctx context.Context, t *rapid.T) *trial {
	w := &trial{t: t, ctx: ctx, store: newSharedStore()}
	w.spec = batch.Job{ID: "j", Organisation: "north", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour}}
	for i := range trialItems {
		w.spec.Items = append(w.spec.Items, batch.Item{ID: fmt.Sprint("item", i), Group: fmt.Sprint(i / 2), Body: []byte{byte(i)}})
	}
	for range trialEntries {
		w.doors = append(w.doors, w.store.door())
		w.entries = append(w.entries, nil)
		w.stops = append(w.stops, nil)
	}
	for number := range trialEntries {
		w.start(number)
	}
	return w
}

func hostOf(number int) string { return fmt.Sprint("entry", number) }

// start starts an entry anew; it knows nothing of before.
func (w *trial) start(number int) {
	if w.stops[number] != nil {
		w.stops[number]()
		w.entries[number].Wait()
	}
	var others []gossip.Member
	for other := range trialEntries {
		if other != number {
			others = append(others, gossip.Member{HostID: hostOf(other)})
		}
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.stops[number] = cancel
	w.entries[number] = entryOf(ctx, w.doors[number], entries{self: hostOf(number), others: others})
	w.entries[number].outage = func(time.Time) bool { return w.outage.Load() }
}

func (w *trial) stop() {
	for number, m := range w.entries {
		w.stops[number]()
		m.Wait()
	}
}

// submit hands the job in, for the first time or once more.
func (w *trial) submit(m *Manager) {
	spec := w.spec
	err := m.Submit(w.ctx, &spec)
	if w.accepted && err != nil && verdict.From(err).Verdict == verdict.NotRun {
		w.t.Fatalf("a job that was accepted is said not to run: %v", err)
	}
	w.accepted = w.accepted || err == nil
}

// give has an entry run the job: another one says that it was accepted a moment ago, which may have been long ago, or leaves it.
func (w *trial) give(m *Manager) {
	if !w.accepted {
		return
	}
	q := RunRequest{Job: w.spec.ID, Organisation: w.spec.Organisation, From: hostOf(rapid.IntRange(0, trialEntries-1).Draw(w.t, "from"))}
	if rapid.Bool().Draw(w.t, "fresh") {
		value, err := json.Marshal(w.spec)
		if err != nil {
			w.t.Fatal(err)
		}
		q.Fresh = value
	}
	// It may refuse, as when the store is out of its reach.
	_ = m.runFor(w.ctx, q)
}

// finish completes an item at an entry that runs the job, and tries once to write what it finished.
func (w *trial) finish(m *Manager) {
	j, ok := m.find(w.spec.ID)
	if !ok || !j.running() {
		return
	}
	now := time.Now()
	passed := rapid.IntRange(0, 2).Draw(w.t, "passed over")
	j.mu.Lock()
	completeOne(j.progress, now, passed)
	page, due := j.progress.Flush(now)
	j.mu.Unlock()
	if !due {
		return
	}
	value, err := json.Marshal(page)
	if err != nil {
		w.t.Fatal(err)
	}
	m.tryWrite(w.ctx, j, page, value)
}

// completeOne completes an item that waits, but for those that are passed over: entries finish items in different orders.
func completeOne(progress *batch.Progress, now time.Time, passed int) {
	for range passed {
		item, waits := progress.Next()
		if !waits {
			break
		}
		progress.Start(item.ID)
		defer progress.Again(item.ID)
	}
	if item, waits := progress.Next(); waits {
		progress.Start(item.ID).Append(batch.Event{Number: 1, Data: "text of " + item.ID}, 1)
		progress.Completed(now, item.ID)
	}
}

// read reads at an entry, as a trainer does or as another entry does for it.
func (w *trial) read(m *Manager) {
	from := rapid.IntRange(0, len(w.shown)).Draw(w.t, "position")
	var total int
	var results []batch.Result
	var err error
	if rapid.Bool().Draw(w.t, "for another entry") {
		answer, refusal := m.readFor(w.ctx, ReadRequest{Job: w.spec.ID, Organisation: w.spec.Organisation, From: from, MaxBytes: wholeList})
		if !answer.Known {
			return
		}
		total, results, err = answer.Total, answer.Results, refusal
	} else {
		total, results, err = m.Results(w.ctx, w.spec.ID, w.spec.Organisation, from, 0, wholeList)
	}
	w.check(m, from, total, results, err)
}

// check compares an answer with all that any entry has shown, and takes it for shown.
func (w *trial) check(m *Manager, from, total int, results []batch.Result, err error) {
	if err != nil {
		w.checkRefusal(err)
		return
	}
	if total != trialItems {
		w.t.Fatalf("%s: a total of %d", m.members.Self().HostID, total)
	}
	// A list may be short: the reader asks on from its end. It may be empty only where nothing was shown.
	if len(results) == 0 && from < len(w.shown) {
		w.t.Fatalf("%s: nothing at position %d; %d results were shown before", m.members.Self().HostID, from, len(w.shown))
	}
	for i, result := range results {
		position := from + i
		if position == len(w.shown) {
			w.shown = append(w.shown, result)
		}
		if w.shown[position].ID != result.ID || w.shown[position].State != result.State {
			w.t.Fatalf("%s: position %d holds %v, and held %v", m.members.Self().HostID, position, result, w.shown[position])
		}
	}
}

func (w *trial) checkRefusal(err error) {
	if w.accepted && verdict.From(err).Reason == verdict.ReasonNotFound {
		w.t.Fatalf("an accepted job is not known: %v", err)
	}
}

// body reads the body of an item.
func (w *trial) body(m *Manager) {
	if !w.accepted {
		return
	}
	item := w.spec.Items[rapid.IntRange(0, trialItems-1).Draw(w.t, "item")]
	body, err := m.Body(w.ctx, w.spec.ID, w.spec.Organisation, item.ID)
	if err != nil {
		w.checkRefusal(err)
		return
	}
	if string(body) != string(item.Body) {
		w.t.Fatalf("body %v of %s", body, item.ID)
	}
}

// end ends the job; once that is acknowledged the store must hold it.
func (w *trial) end(m *Manager) {
	if !w.accepted {
		return
	}
	if err := m.End(w.ctx, w.spec.ID, w.spec.Organisation); err != nil {
		w.checkRefusal(err)
		return
	}
	if _, err := w.store.door().Get(w.ctx, KindEnds, w.spec.ID); err != nil {
		w.t.Fatalf("the end was acknowledged and isn't kept: %v", err)
	}
}

// checkEnd checks that no entry runs a job whose end it has acknowledged or heard of.
func (w *trial) checkEnd() {
	for _, m := range w.entries {
		j, ok := m.find(w.spec.ID)
		if ok && m.isEnded(w.spec.ID) && j.running() && !j.over() {
			w.t.Fatalf("%s runs a job that has ended, as it knows", m.members.Self().HostID)
		}
	}
}

// forget has an entry drop the job from memory, if it doesn't run it.
func (w *trial) forget(m *Manager) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if j, ok := m.jobs[w.spec.ID]; ok && !j.running() {
		delete(m.jobs, w.spec.ID)
	}
}

// hear lets an entry hear what another one tells.
func (w *trial) hear(m *Manager) {
	number := rapid.IntRange(0, trialEntries-1).Draw(w.t, "teller")
	teller := w.entries[number]
	if teller == m {
		return
	}
	now := time.Now()
	running, ended := teller.Jobs(now)
	m.Heard(gossip.Member{HostID: hostOf(number)}, running, ended, teller.Owners(now, true))
}

func (w *trial) step() {
	number := rapid.IntRange(0, trialEntries-1).Draw(w.t, "entry")
	m := w.entries[number]
	switch rapid.SampledFrom(trialStepNames).Draw(w.t, "step") {
	case "submit":
		w.submit(m)
	case "give":
		w.give(m)
	case "finish":
		w.finish(m)
	case "read":
		w.read(m)
	case "body":
		w.body(m)
	case "end":
		w.end(m)
	case "hear":
		w.hear(m)
	case "orphan":
		m.Orphaned(gossip.Member{HostID: hostOf((number + 1) % trialEntries)})
	case "start":
		w.start(number)
	case "fault":
		w.doors[number].set(rapid.SampledFrom(storeFaults).Draw(w.t, "fault"))
	case "late":
		w.store.carryOut()
	case "outage":
		w.outage.Store(!w.outage.Load())
	case "forget":
		w.forget(m)
	}
}

// A trainer, and others of its organisation, submit, read and end one job at any entry, while entries run it one after the other or at once,
// start anew, hear of each other or don't, and their calls to the store fail, are answered by nothing, or are carried out late. No answer of
// any entry may contradict what any entry has shown: a position, a body, that the job was accepted, that it has ended.
func TestEntriesNeverContradictEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newTrial(ctx, t)
		defer w.stop()
		for range rapid.IntRange(1, trialSteps).Draw(t, "steps") {
			w.step()
			w.checkEnd()
		}
		w.finalRead()
	})
}

// finalRead reads everything at an entry that has just started and reaches the store.
func (w *trial) finalRead() {
	w.outage.Store(false)
	w.doors[0].set(faultNone)
	w.start(0)
	total, results, err := w.entries[0].Results(w.ctx, w.spec.ID, w.spec.Organisation, 0, 0, wholeList)
	if err != nil && !w.accepted {
		return
	}
	if err != nil {
		w.t.Fatal(errors.Wrap(err, "all entries and the store are well"))
	}
	w.check(w.entries[0], 0, total, results, nil)
}

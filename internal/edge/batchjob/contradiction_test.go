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

// stepNames are the steps of a simulation; rapid draws the earlier ones more often.
var stepNames = []string{"finish", "read", "give", "submit", "hear", "fault", "start", "late", "orphan", "body", "end", "outage", "forget"}

const (
	entryCount   = 3
	itemCount    = 6
	maxSteps     = 60
	maxReadBytes = 1 << 20
)

// simulation is some entries that share a store and can't call each other, with all that any of them has shown of one job.
type simulation struct {
	t       *rapid.T
	ctx     context.Context
	store   *memoryStore
	clients []*storeClient
	entries []*Manager
	stops   []context.CancelFunc
	spec    batch.Job
	// outage is set while the entries assume that no entry reaches the store.
	outage atomic.Bool
	// accepted is set once an entry accepted the job; shown are the results that any entry has shown, by position.
	accepted bool
	shown    []batch.Result
}

func newSimulation(ctx context.Context, t *rapid.T) *simulation {
	s := &simulation{t: t, ctx: ctx, store: newMemoryStore()}
	s.spec = batch.Job{ID: "j", Organisation: "north", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour}}
	for i := range itemCount {
		s.spec.Items = append(s.spec.Items, batch.Item{ID: fmt.Sprint("item", i), Group: fmt.Sprint(i / 2), Body: []byte{byte(i)}})
	}
	for range entryCount {
		s.clients = append(s.clients, s.store.client())
		s.entries = append(s.entries, nil)
		s.stops = append(s.stops, nil)
	}
	for number := range entryCount {
		s.start(number)
	}
	return s
}

func testHostID(number int) string { return fmt.Sprint("entry", number) }

// start starts or restarts an entry, with nothing in memory.
func (s *simulation) start(number int) {
	if s.stops[number] != nil {
		s.stops[number]()
		s.entries[number].Wait()
	}
	var others []gossip.Member
	for other := range entryCount {
		if other != number {
			others = append(others, gossip.Member{HostID: testHostID(other)})
		}
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.stops[number] = cancel
	s.entries[number] = newTestManager(ctx, s.clients[number], fakeMembers{self: testHostID(number), others: others})
	s.entries[number].outage = func(time.Time) bool { return s.outage.Load() }
}

func (s *simulation) stop() {
	for number, m := range s.entries {
		s.stops[number]()
		m.Wait()
	}
}

// submit submits the job, for the first time or again.
func (s *simulation) submit(m *Manager) {
	spec := s.spec
	err := m.Submit(s.ctx, &spec)
	if s.accepted && err != nil && verdict.From(err).Verdict == verdict.NotRun {
		s.t.Fatalf("an accepted job is reported as not run: %v", err)
	}
	s.accepted = s.accepted || err == nil
}

// requestRun asks an entry to run the job, as an entry does that is leaving or that accepted the job. The request may come long after the
// acceptance.
func (s *simulation) requestRun(m *Manager) {
	if !s.accepted {
		return
	}
	q := RunRequest{Job: s.spec.ID, Organisation: s.spec.Organisation, From: testHostID(rapid.IntRange(0, entryCount-1).Draw(s.t, "from"))}
	if rapid.Bool().Draw(s.t, "fresh") {
		value, err := json.Marshal(s.spec)
		if err != nil {
			s.t.Fatal(err)
		}
		q.SpecJSON = value
	}
	// The entry may refuse, as when it doesn't reach the store.
	_ = m.handleRun(s.ctx, q)
}

// finish completes an item at an entry that runs the job, and tries once to write a page with it.
func (s *simulation) finish(m *Manager) {
	j, ok := m.find(s.spec.ID)
	if !ok || !j.isRunning() {
		return
	}
	now := time.Now()
	skipped := rapid.IntRange(0, 2).Draw(s.t, "skipped items")
	j.mu.Lock()
	completeOne(j.progress, now, skipped)
	page, due := j.progress.Flush(now)
	j.mu.Unlock()
	if !due {
		return
	}
	value, err := json.Marshal(page)
	if err != nil {
		s.t.Fatal(err)
	}
	m.tryWritePage(s.ctx, j, page, value)
}

// completeOne completes the next waiting item after those that are skipped: entries finish items in different orders.
func completeOne(progress *batch.Progress, now time.Time, skipped int) {
	for range skipped {
		item, waits := progress.Next()
		if !waits {
			break
		}
		progress.Start(item.ID)
		defer progress.Requeue(item.ID)
	}
	if item, waits := progress.Next(); waits {
		progress.Start(item.ID).Append(batch.Event{Number: 1, Data: "text of " + item.ID}, 1)
		progress.RecordCompletion(now, item.ID)
	}
}

// read reads at an entry, as a trainer does or as another entry does for it.
func (s *simulation) read(m *Manager) {
	from := rapid.IntRange(0, len(s.shown)).Draw(s.t, "position")
	var total int
	var results []batch.Result
	var err error
	if rapid.Bool().Draw(s.t, "for another entry") {
		answer, refusal := m.handleRead(s.ctx, ReadRequest{Job: s.spec.ID, Organisation: s.spec.Organisation, From: from, MaxBytes: maxReadBytes})
		if !answer.Known {
			return
		}
		total, results, err = answer.Total, answer.Results, refusal
	} else {
		total, results, err = m.Results(s.ctx, s.spec.ID, s.spec.Organisation, from, 0, maxReadBytes)
	}
	s.check(m, from, total, results, err)
}

// check compares an answer with all that any entry has shown, and records it as shown.
func (s *simulation) check(m *Manager, from, total int, results []batch.Result, err error) {
	if err != nil {
		s.checkRefusal(err)
		return
	}
	if total != itemCount {
		s.t.Fatalf("%s: %d items in total", m.members.Self().HostID, total)
	}
	// A list may be short, as the reader continues from its end. It may be empty only where no result was shown before.
	if len(results) == 0 && from < len(s.shown) {
		s.t.Fatalf("%s: nothing at position %d; %d results were shown before", m.members.Self().HostID, from, len(s.shown))
	}
	for i, result := range results {
		position := from + i
		if position == len(s.shown) {
			s.shown = append(s.shown, result)
		}
		if s.shown[position].ID != result.ID || s.shown[position].State != result.State {
			s.t.Fatalf("%s: position %d holds %v, and held %v", m.members.Self().HostID, position, result, s.shown[position])
		}
	}
}

func (s *simulation) checkRefusal(err error) {
	if s.accepted && verdict.From(err).Reason == verdict.ReasonNotFound {
		s.t.Fatalf("an accepted job is not known: %v", err)
	}
}

// body reads the body of an item.
func (s *simulation) body(m *Manager) {
	if !s.accepted {
		return
	}
	item := s.spec.Items[rapid.IntRange(0, itemCount-1).Draw(s.t, "item")]
	body, err := m.Body(s.ctx, s.spec.ID, s.spec.Organisation, item.ID)
	if err != nil {
		s.checkRefusal(err)
		return
	}
	if string(body) != string(item.Body) {
		s.t.Fatalf("body %v of %s", body, item.ID)
	}
}

// end ends the job; once that is acknowledged the store must hold the end.
func (s *simulation) end(m *Manager) {
	if !s.accepted {
		return
	}
	if err := m.End(s.ctx, s.spec.ID, s.spec.Organisation); err != nil {
		s.checkRefusal(err)
		return
	}
	if _, err := s.store.client().Get(s.ctx, KindEnds, s.spec.ID); err != nil {
		s.t.Fatalf("the end was acknowledged and isn't in the store: %v", err)
	}
}

// checkEnd checks that no entry runs a job whose end it has acknowledged or learned of.
func (s *simulation) checkEnd() {
	for _, m := range s.entries {
		j, ok := m.find(s.spec.ID)
		if ok && m.isEnded(s.spec.ID) && j.isRunning() && !j.finished() {
			s.t.Fatalf("%s runs a job that it knows has ended", m.members.Self().HostID)
		}
	}
}

// forget drops the job from an entry's memory, unless the entry runs it.
func (s *simulation) forget(m *Manager) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if j, ok := m.jobs[s.spec.ID]; ok && !j.isRunning() {
		delete(m.jobs, s.spec.ID)
	}
}

// gossip gives an entry what another one announces.
func (s *simulation) gossip(m *Manager) {
	number := rapid.IntRange(0, entryCount-1).Draw(s.t, "sender")
	sender := s.entries[number]
	if sender == m {
		return
	}
	now := time.Now()
	running, ended := sender.Jobs(now)
	m.ApplyGossip(gossip.Member{HostID: testHostID(number)}, running, ended, sender.Owners(now, true))
}

func (s *simulation) step() {
	number := rapid.IntRange(0, entryCount-1).Draw(s.t, "entry")
	m := s.entries[number]
	switch rapid.SampledFrom(stepNames).Draw(s.t, "step") {
	case "submit":
		s.submit(m)
	case "give":
		s.requestRun(m)
	case "finish":
		s.finish(m)
	case "read":
		s.read(m)
	case "body":
		s.body(m)
	case "end":
		s.end(m)
	case "hear":
		s.gossip(m)
	case "orphan":
		m.RerunJobsOf(gossip.Member{HostID: testHostID((number + 1) % entryCount)})
	case "start":
		s.start(number)
	case "fault":
		s.clients[number].setFault(rapid.SampledFrom(storeFaults).Draw(s.t, "fault"))
	case "late":
		s.store.carryOutDelayed()
	case "outage":
		s.outage.Store(!s.outage.Load())
	case "forget":
		s.forget(m)
	}
}

// A trainer, and others of its organisation, submit, read and end one job at any entry. Meanwhile entries run it one after the other or at
// once, restart, get each other's gossip or don't, and their calls to the store fail, lose their answers or are carried out late. No
// answer of any entry may contradict what any entry has shown: a result at a position, a body, that the job was accepted, that it has
// ended.
func TestEntriesNeverContradictEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newSimulation(ctx, t)
		defer s.stop()
		for range rapid.IntRange(1, maxSteps).Draw(t, "steps") {
			s.step()
			s.checkEnd()
		}
		s.finalRead()
	})
}

// finalRead reads all results at an entry that has just started and reaches the store.
func (s *simulation) finalRead() {
	s.outage.Store(false)
	s.clients[0].setFault(faultNone)
	s.start(0)
	total, results, err := s.entries[0].Results(s.ctx, s.spec.ID, s.spec.Organisation, 0, 0, maxReadBytes)
	if err != nil && !s.accepted {
		return
	}
	if err != nil {
		s.t.Fatal(errors.Wrap(err, "read at an entry that reaches the store"))
	}
	s.check(s.entries[0], 0, total, results, nil)
}

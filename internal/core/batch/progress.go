package batch

import (
	"cmp"
	"slices"
	"time"
)

// Limits on how often pages are written, and on their size.
const (
	// groupWriteInterval is the minimum time between two writes for complete groups: a step of four seconds then
	// takes about five writes, and a group is published at most this much later than possible.
	groupWriteInterval = 800 * time.Millisecond
	// incompleteGroupDelay limits how long a finished item of an incomplete group stays unwritten; a crash repeats
	// that much work.
	incompleteGroupDelay = 2500 * time.Millisecond
	// checkpointInterval is the minimum time between a page and a following one with only checkpoints.
	checkpointInterval = 900 * time.Millisecond
	// maxPageBytes keeps the text of a page well below the store's limit of one megabyte per value.
	maxPageBytes = 512 << 10
)

// phase is the state of an item in this process.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseRunning
	// phaseAwaitingScore items have their complete text and wait for their reward call; phaseScoring items have a
	// reward call in progress.
	phaseAwaitingScore
	phaseScoring
	// phaseWithheld items are sent to no server, unless they are released for an isolated run, and have no result yet.
	phaseWithheld
	// phaseDone items have a result that is not in a page yet.
	phaseDone
	// phasePublished items have a result in a page.
	phasePublished
)

// itemState is the progress of one item.
type itemState struct {
	item  *Item
	group *groupState
	phase phase
	// failures counts failed runs, rewardFailures failed reward calls.
	failures       int
	rewardFailures int
	// failed is set once the item is lost because servers failed it or its reward call as often as they may.
	failed bool
	// savedFailures is the failureCount that pages hold, as far as known.
	savedFailures int
	// ends counts the servers that ended under the item and its reward call. releasedEnds are the counts with which it was last released
	// for an isolated run, at releasedAt.
	ends         ServerEnds
	releasedEnds ServerEnds
	// pendingEnds and pendingRewardEnds count the servers of which it isn't known yet whether they ended.
	pendingEnds, pendingRewardEnds int
	releasedAt                     time.Time
	// apartSince is since when the item has waited for a server that runs no suspect; zero if it hasn't.
	apartSince time.Time
	// rewardWithheld is set while the item is withheld and its text is complete.
	rewardWithheld bool
	// moves counts how often the item has moved to a faster server.
	moves int
	// rewardWaitingSince is when the reward call was first the next one of its route; zero before.
	rewardWaitingSince time.Time
	output             *Output
	result             Result
	// checkpointEvent is the number of the last event in the item's latest checkpoint.
	checkpointEvent int
	// checkpointFailures is the number of failures, ended servers included, recorded in that checkpoint.
	checkpointFailures int
	// starts counts the starts of the item in this process. idle is nil unless the item was at no server when last observed.
	starts int
	idle   *idleRecord
}

func (s *itemState) totalFailures() int {
	return s.failures + s.rewardFailures + s.ends.Item + s.ends.Reward + s.ends.ItemCleared + s.ends.RewardCleared
}

func (s *itemState) unfinished() bool { return s.phase < phaseDone }

// failureCount counts what servers' answers have told of the item's failures, its final one included.
func (s *itemState) failureCount() int {
	count := s.failures + s.rewardFailures
	if s.failed {
		count++
	}
	return count
}

// failureUnsaved reports whether no page holds the item's latest failure.
func (s *itemState) failureUnsaved() bool {
	return s.phase != phasePublished && s.failureCount() > s.savedFailures
}

func (s *itemState) textComplete() bool {
	return s.phase == phaseAwaitingScore || s.phase == phaseScoring || s.rewardWithheld
}

// groupState counts the results of a group.
type groupState struct {
	size int
	// done counts items with a result, written or not; publishedItems counts those in a page.
	done, publishedItems int
}

func (g *groupState) complete() bool { return g.done == g.size }

// Progress tracks one job in one process. It is not safe for concurrent use.
type Progress struct {
	job    *Job
	writer uint64
	items  map[string]*itemState
	// order holds the items in their order of submission.
	order []*itemState
	// queue holds the items to run, in order. It may contain items that no longer wait; they are skipped.
	queue []*itemState
	// rewardQueue holds the items whose reward call is to be sent, in order. Items that no longer wait are skipped.
	rewardQueue []*itemState
	groups      map[string]*groupState
	// published are the results in pages, by position; pages is the number of the last page applied.
	published []Result
	pages     int
	// lastSerial is the serial of the last page built; unwrittenGroups counts complete groups with unwritten results.
	lastSerial      int
	unwrittenGroups int
	// lastPageAt is when a page was last built; unwrittenSince is when the oldest unwritten result arrived, zero if
	// there is none.
	lastPageAt     time.Time
	unwrittenSince time.Time
	// failureUnsaved is set while no page holds the latest failure of some item.
	failureUnsaved bool
	ended          bool
}

// NewProgress returns the progress of a job before any page is applied. The writer identifies this instance in its
// pages and must be unique for the job.
func NewProgress(job *Job, writer uint64) *Progress {
	p := &Progress{
		job:    job,
		writer: writer,
		items:  make(map[string]*itemState, len(job.Items)),
		groups: map[string]*groupState{},
	}
	for i := range job.Items {
		item := &job.Items[i]
		if _, duplicate := p.items[item.ID]; duplicate {
			continue
		}
		group, ok := p.groups[item.Group]
		if !ok {
			group = &groupState{}
			p.groups[item.Group] = group
		}
		group.size++
		state := &itemState{item: item, group: group, output: &Output{}}
		p.items[item.ID] = state
		p.order = append(p.order, state)
		p.queue = append(p.queue, state)
	}
	slices.SortStableFunc(p.queue, longestFirst)
	return p
}

// longestFirst orders items by decreasing expected length: an item that takes ten times the usual time and starts
// last would determine the duration of its whole step.
func longestFirst(a, b *itemState) int {
	return cmp.Compare(b.item.ExpectedTokens, a.item.ExpectedTokens)
}

// Job returns the job.
func (p *Progress) Job() *Job { return p.job }

// Pages returns the number of the last page applied.
func (p *Progress) Pages() int { return p.pages }

// Total returns the number of items.
func (p *Progress) Total() int { return len(p.items) }

// Published returns the number of published results.
func (p *Progress) Published() int { return len(p.published) }

// Results returns the published results from a position on, up to maxBytes of text but at least one if there is any.
// The caller must not modify the slice.
func (p *Progress) Results(from, maxBytes int) []Result {
	if from < 0 || from >= len(p.published) {
		return nil
	}
	size, end := 0, from
	for end < len(p.published) {
		size += len(p.published[end].Text) + resultOverhead
		if size > maxBytes && end > from {
			break
		}
		end++
	}
	return p.published[from:end]
}

// resultOverhead is the size in bytes of a result in an answer beside its text: IDs, state, versions and quoting.
const resultOverhead = 200

// Complete reports whether all items are published.
func (p *Progress) Complete() bool { return len(p.published) == len(p.items) }

// Ended reports whether the trainer ended the job.
func (p *Progress) Ended() bool { return p.ended }

// End stops the job: no more items start and no more pages are written.
func (p *Progress) End() { p.ended = true }

// ApplyPage applies the next page of the log, whichever process wrote it.
func (p *Progress) ApplyPage(page Page) {
	p.pages++
	for _, result := range page.Results {
		state, known := p.items[result.ID]
		if !known || state.phase == phasePublished {
			continue
		}
		if state.phase != phaseDone {
			state.group.done++
		}
		state.group.publishedItems++
		state.phase = phasePublished
		state.output = nil
		state.result = Result{}
		p.published = append(p.published, result)
	}
	p.Resume(page.Partials)
	for _, partial := range page.Partials {
		if state, known := p.items[partial.Item]; known {
			state.savedFailures = max(state.savedFailures, partial.Failures+partial.RewardFailures)
		}
	}
}

// Next returns the item to run next without starting it, or false if none waits.
func (p *Progress) Next() (*Item, bool) { return p.NextExcept(nil) }

// NextExcept returns the item to run next that isn't among the given ones, which keep their places; false if no other item waits.
func (p *Progress) NextExcept(passedOver map[string]bool) (*Item, bool) {
	if p.ended {
		return nil, false
	}
	for len(p.queue) > 0 && p.queue[0].phase != phaseWaiting {
		p.queue = p.queue[1:]
	}
	for _, state := range p.queue {
		if state.phase == phaseWaiting && !passedOver[state.item.ID] {
			return state.item, true
		}
	}
	return nil, false
}

// Start marks an item as running and returns the output received for it so far.
func (p *Progress) Start(id string) *Output {
	state := p.items[id]
	state.phase = phaseRunning
	state.starts++
	state.apartSince = time.Time{}
	return state.output
}

// Requeue queues an item again whose run was interrupted or refused, to resume from the output received so far.
func (p *Progress) Requeue(id string) {
	state := p.items[id]
	if state.phase != phaseRunning {
		return
	}
	state.phase = phaseWaiting
	state.withholdIfWaiting()
	// It goes first: the work already done for it is lost if its step ends before the item does.
	p.queue = slices.Insert(p.queue, 0, state)
}

// DiscardOutput discards the output of an item, so that no later attempt resumes from it.
func (p *Progress) DiscardOutput(id string) {
	if state := p.items[id]; state.output != nil {
		state.output = &Output{}
	}
}

// RecordFailure records that a run of an item failed. The item is lost once it has failed as often as its route allows; otherwise it waits for
// Requeue.
//
// A page that holds the failure is due at once. Whoever runs the job after this process would otherwise send the item as often again.
func (p *Progress) RecordFailure(now time.Time, id string) {
	state := p.items[id]
	if state.phase != phaseRunning {
		return
	}
	state.failures++
	p.failureUnsaved = true
	if state.failures >= max(1, p.job.MaxAttempts) {
		p.MarkFailed(now, id)
	}
}

// RecordCompletion records that the complete output of an item was received. It becomes the result unless it has to be
// scored first.
func (p *Progress) RecordCompletion(now time.Time, id string) {
	state := p.items[id]
	switch {
	case state.phase != phaseRunning:
	case state.item.Reward != nil:
		p.queueReward(state)
	default:
		p.recordCompleted(now, state, "")
	}
}

func (p *Progress) recordCompleted(now time.Time, state *itemState, score string) {
	p.recordResult(now, state, Result{
		ID: state.item.ID, State: StateCompleted, Text: state.output.Text(), Versions: state.output.Versions, Score: score,
	})
}

// MarkLost marks an item as lost if it has no result yet.
func (p *Progress) MarkLost(now time.Time, id string) {
	state := p.items[id]
	if !state.unfinished() {
		return
	}
	p.recordResult(now, state, Result{ID: id, State: StateLost, Versions: []int{}})
}

// MarkFailed marks an item as lost that servers have failed for good, if it has no result yet. A page that says so is due at once.
func (p *Progress) MarkFailed(now time.Time, id string) {
	state := p.items[id]
	if !state.unfinished() {
		return
	}
	state.failed = true
	p.failureUnsaved = true
	p.MarkLost(now, id)
}

func (p *Progress) recordResult(now time.Time, state *itemState, result Result) {
	state.phase = phaseDone
	state.result = result
	state.output = nil
	state.group.done++
	if p.unwrittenSince.IsZero() {
		p.unwrittenSince = now
	}
	if state.group.complete() {
		p.unwrittenGroups++
	}
}

// Expire marks all items without a result as lost once the job's time is over.
func (p *Progress) Expire(now time.Time) {
	if now.Before(p.job.ExpiresAt()) {
		return
	}
	for id := range p.items {
		p.MarkLost(now, id)
	}
}

// NextPage returns the page to write now, or false if it is better to wait. A page is due at once when a server has failed an item, when all
// groups that the trainer waits for are complete or all items have a result, after groupWriteInterval for other complete groups,
// after incompleteGroupDelay for parts of groups, and after checkpointInterval for checkpoints without results.
func (p *Progress) NextPage(now time.Time) (Page, bool) {
	if p.ended || !p.pageDue(now) {
		return Page{}, false
	}
	return p.buildPage(now)
}

// Flush returns a page of unwritten results without waiting, for use when the process shuts down.
func (p *Progress) Flush(now time.Time) (Page, bool) {
	if p.ended || p.unwrittenSince.IsZero() {
		return Page{}, false
	}
	return p.buildPage(now)
}

func (p *Progress) pageDue(now time.Time) bool {
	switch {
	case p.failureUnsaved:
		return true
	case p.unwrittenSince.IsZero():
	case p.allDone() || p.wantedGroupsDone():
		return true
	case p.unwrittenGroups > 0 && now.Sub(p.lastPageAt) >= groupWriteInterval:
		return true
	case now.Sub(p.unwrittenSince) >= incompleteGroupDelay:
		return true
	}
	return now.Sub(p.lastPageAt) >= checkpointInterval && p.checkpointDue()
}

// allDone reports whether every item has a result.
func (p *Progress) allDone() bool {
	for _, group := range p.groups {
		if !group.complete() {
			return false
		}
	}
	return true
}

// wantedGroupsDone reports whether as many groups are complete as the trainer waits for, some of them with unwritten
// results.
func (p *Progress) wantedGroupsDone() bool {
	complete := 0
	for _, group := range p.groups {
		if group.complete() {
			complete++
		}
	}
	return p.unwrittenGroups > 0 && p.job.WantedGroups > 0 && complete >= p.job.WantedGroups
}

// buildPage collects unwritten results, those of complete groups first, and adds checkpoints, up to maxPageBytes but
// at least one result if there is any.
func (p *Progress) buildPage(now time.Time) (Page, bool) {
	var states []*itemState
	for i := range p.job.Items {
		if state := p.items[p.job.Items[i].ID]; state.phase == phaseDone {
			states = append(states, state)
		}
	}
	slices.SortStableFunc(states, func(a, b *itemState) int { return cmp.Compare(pageRank(a), pageRank(b)) })
	var page Page
	size := 0
	for _, state := range states {
		size += len(state.result.Text) + resultOverhead
		if size > maxPageBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, state.result)
		state.savedFailures = state.failureCount()
	}
	page.Partials = p.takeCheckpoints(maxPageBytes - size)
	p.recountUnsavedFailures()
	if len(page.Results)+len(page.Partials) == 0 {
		p.recountUnwritten()
		return Page{}, false
	}
	p.lastSerial++
	p.lastPageAt = now
	page.Writer, page.Serial = p.writer, p.lastSerial
	return page, true
}

// Refresh returns the page to write instead of one whose write failed: the same one, or if there are further results or checkpoints, a new one
// that contains these too.
//
// While the store is down, all further items of a step finish. Without the refresh the first page that is written after the outage has what
// was finished before it, and the step becomes complete with the next page, often too late. The former page may have been written after
// all; the new one then meets a conflict, and the rest follows as after a page of another process.
func (p *Progress) Refresh(now time.Time, failed Page) Page {
	if p.ended {
		return failed
	}
	fresh, ok := p.buildPage(now)
	if !ok || len(fresh.Results) <= len(failed.Results) && len(fresh.Partials) == 0 {
		return failed
	}
	for _, partial := range failed.Partials {
		state, known := p.items[partial.Item]
		newer := slices.ContainsFunc(fresh.Partials, func(other Partial) bool { return other.Item == partial.Item })
		if known && state.unfinished() && !newer {
			fresh.Partials = append(fresh.Partials, partial)
		}
	}
	return fresh
}

// pageRank puts results of complete groups and failures before the others.
func pageRank(state *itemState) int {
	if state.group.complete() || state.failed {
		return 0
	}
	return 1
}

// recountUnsavedFailures recomputes failureUnsaved.
func (p *Progress) recountUnsavedFailures() {
	p.failureUnsaved = slices.ContainsFunc(p.order, (*itemState).failureUnsaved)
}

// ConfirmPage records that the page returned by NextPage was written as the next page of the log.
func (p *Progress) ConfirmPage(now time.Time, page Page) {
	p.ApplyPage(page)
	p.recountUnwritten()
	if !p.unwrittenSince.IsZero() {
		p.unwrittenSince = now
	}
}

// recountUnwritten recomputes unwrittenSince and unwrittenGroups.
func (p *Progress) recountUnwritten() {
	p.unwrittenSince = time.Time{}
	p.unwrittenGroups = 0
	counted := map[*groupState]bool{}
	for _, state := range p.items {
		if state.phase != phaseDone {
			continue
		}
		p.unwrittenSince = p.lastPageAt
		if state.group.complete() && !counted[state.group] {
			counted[state.group] = true
			p.unwrittenGroups++
		}
	}
}

// ApplyConflictingPage applies a page that another process created under the number that this process tried.
func (p *Progress) ApplyConflictingPage(page Page) {
	for _, state := range p.order {
		state.savedFailures = 0
	}
	p.ApplyPage(page)
	p.recountUnwritten()
	p.recountUnsavedFailures()
}

// Body returns the request body of an item, or false if the job has no such item.
func (p *Progress) Body(id string) ([]byte, bool) {
	state, ok := p.items[id]
	if !ok {
		return nil, false
	}
	return state.item.Body, true
}

// Running returns the number of running items.
func (p *Progress) Running() int { return p.count(phaseRunning) }

// Waiting returns the number of items that wait to run.
func (p *Progress) Waiting() int { return p.count(phaseWaiting) }

func (p *Progress) count(want phase) int {
	count := 0
	for _, state := range p.items {
		if state.phase == want {
			count++
		}
	}
	return count
}

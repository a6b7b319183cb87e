package batch

import (
	"cmp"
	"slices"
	"time"
)

// Figures of the commit policy.
const (
	// groupPause is the least time between two writes for groups that became whole: a step of four seconds then takes
	// some five writes, and a group is listed at most this much later than it could be.
	groupPause = 800 * time.Millisecond
	// partPause bounds how long a finished item of a group that isn't whole stays unwritten; that much work is repeated
	// after a crash.
	partPause = 2500 * time.Millisecond
	// copyPause is the least time between two writes for copies of unfinished items alone.
	copyPause = 900 * time.Millisecond
	// maxPageBytes keeps a page's text well below the store's limit of one megabyte a value.
	maxPageBytes = 512 << 10
)

// phase is where an item stands in this process.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseRunning
	// phaseUnscored items have their whole text and wait for their reward call; phaseScoring items are being scored.
	phaseUnscored
	phaseScoring
	// phaseDone items have a result that no page holds yet.
	phaseDone
	// phaseListed items stand in a page.
	phaseListed
)

// itemState is what is known of an item.
type itemState struct {
	item  *Item
	group *groupState
	phase phase
	// failures counts failed runs, rewardFailures failed reward calls.
	failures       int
	rewardFailures int
	// rewardDue is when the reward call first came first in its queue; zero before.
	rewardDue time.Time
	output    *Output
	result    Result
	// copied is the last event of the output that another entry has a copy of.
	copied int
	// copiedFailures is how many failures that copy names.
	copiedFailures int
}

func (s *itemState) failed() int { return s.failures + s.rewardFailures }

func (s *itemState) unfinished() bool { return s.phase < phaseDone }

func (s *itemState) textWhole() bool { return s.phase == phaseUnscored || s.phase == phaseScoring }

// groupState counts what is left of a group.
type groupState struct {
	size int
	// done items have a result, written or not; listed ones stand in a page.
	done, listed int
}

func (g *groupState) whole() bool { return g.done == g.size }

// Progress follows one job in the process that runs it. It is not safe for concurrent use.
type Progress struct {
	job    *Job
	writer uint64
	items  map[string]*itemState
	// order holds the items to run, first come first.
	order []*itemState
	// unscored holds the items whose reward call is to be sent, first come first.
	unscored []*itemState
	groups   map[string]*groupState
	// positions are the listed results in order; pages is the number of the last page taken in.
	positions []Result
	pages     int
	serial    int
	wholeNow  int
	// wroteAt is when a page was last prepared; doneSince when the oldest unwritten result came.
	wroteAt   time.Time
	doneSince time.Time
	ended     bool
}

// NewProgress returns the progress of a job of which no page is known yet. Writer names this progress; no other one of the job may have it.
func NewProgress(job *Job, writer uint64) *Progress {
	p := &Progress{
		job:    job,
		writer: writer,
		items:  make(map[string]*itemState, len(job.Items)),
		groups: map[string]*groupState{},
	}
	for i := range job.Items {
		item := &job.Items[i]
		if _, twice := p.items[item.ID]; twice {
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
	}
	slices.SortStableFunc(p.order, longestFirst)
	return p
}

// longestFirst orders items by their expected length: one that takes ten times the usual time and starts last would set
// the time of its whole step.
func longestFirst(a, b *itemState) int {
	return cmp.Compare(b.item.ExpectedTokens, a.item.ExpectedTokens)
}

// Job returns the job.
func (p *Progress) Job() *Job { return p.job }

// Pages returns the number of the last page known.
func (p *Progress) Pages() int { return p.pages }

// Total returns the number of items.
func (p *Progress) Total() int { return len(p.items) }

// Listed returns how many results are listed.
func (p *Progress) Listed() int { return len(p.positions) }

// Results returns the listed results from a position on, as far as their text stays below maxBytes, at least one if
// there is one. The slice must not be changed.
func (p *Progress) Results(from, maxBytes int) []Result {
	if from < 0 || from >= len(p.positions) {
		return nil
	}
	size, end := 0, from
	for end < len(p.positions) {
		size += len(p.positions[end].Text) + resultOverhead
		if size > maxBytes && end > from {
			break
		}
		end++
	}
	return p.positions[from:end]
}

// resultOverhead is what a result takes in an answer beside its text: ids, state, versions and quotation.
const resultOverhead = 200

// Complete says that every item is listed.
func (p *Progress) Complete() bool { return len(p.positions) == len(p.items) }

// Ended says that the trainer ended the job.
func (p *Progress) Ended() bool { return p.ended }

// End stops the job: no item starts any more and nothing more is written.
func (p *Progress) End() { p.ended = true }

// Absorb takes in the next page of the log, whoever wrote it.
func (p *Progress) Absorb(page Page) {
	p.pages++
	for _, result := range page.Results {
		state, known := p.items[result.ID]
		if !known || state.phase == phaseListed {
			continue
		}
		if state.phase != phaseDone {
			state.group.done++
		}
		state.group.listed++
		state.phase = phaseListed
		state.output = nil
		state.result = Result{}
		p.positions = append(p.positions, result)
	}
	p.Resume(page.Partials)
}

// Next returns the item to run next without starting it; false if none waits.
func (p *Progress) Next() (*Item, bool) {
	if p.ended {
		return nil, false
	}
	for len(p.order) > 0 {
		if p.order[0].phase == phaseWaiting {
			return p.order[0].item, true
		}
		p.order = p.order[1:]
	}
	return nil, false
}

// Start marks an item as running and returns what was received of it so far.
func (p *Progress) Start(id string) *Output {
	state := p.items[id]
	state.phase = phaseRunning
	return state.output
}

// Again puts an item back whose run was cut or refused; what was received stays.
func (p *Progress) Again(id string) {
	state := p.items[id]
	if state.phase != phaseRunning {
		return
	}
	state.phase = phaseWaiting
	// It goes first: the work that was done for it is lost if its step ends before it does.
	p.order = slices.Insert(p.order, 0, state)
}

// Restart drops what was received of an item, which no later attempt may go on from.
func (p *Progress) Restart(id string) {
	if state := p.items[id]; state.output != nil {
		state.output = &Output{}
	}
}

// Failed takes in a failure of the item's own; the item is lost once it failed as often as its route allows.
func (p *Progress) Failed(now time.Time, id string) {
	state := p.items[id]
	if state.phase != phaseRunning {
		return
	}
	state.failures++
	if state.failures >= max(1, p.job.MaxAttempts) {
		p.Lost(now, id)
		return
	}
	p.Again(id)
}

// Completed takes in that the item's whole output was received. It is a result unless it has to be scored.
func (p *Progress) Completed(now time.Time, id string) {
	state := p.items[id]
	switch {
	case state.phase != phaseRunning:
	case state.item.Reward != nil:
		p.queueReward(state)
	default:
		p.completed(now, state, "")
	}
}

func (p *Progress) completed(now time.Time, state *itemState, score string) {
	p.done(now, state, Result{
		ID: state.item.ID, State: StateCompleted, Text: state.output.Text(), Versions: state.output.Versions, Score: score,
	})
}

// Lost gives an item up.
func (p *Progress) Lost(now time.Time, id string) {
	state := p.items[id]
	if !state.unfinished() {
		return
	}
	p.done(now, state, Result{ID: id, State: StateLost, Versions: []int{}})
}

func (p *Progress) done(now time.Time, state *itemState, result Result) {
	state.phase = phaseDone
	state.result = result
	state.output = nil
	state.group.done++
	if p.doneSince.IsZero() {
		p.doneSince = now
	}
	if state.group.whole() {
		p.wholeNow++
	}
}

// GiveUp marks all items without a result as lost if their time is over.
func (p *Progress) GiveUp(now time.Time) {
	if now.Before(p.job.GivenUp()) {
		return
	}
	for id := range p.items {
		p.Lost(now, id)
	}
}

// Commit returns the page to write now, and false if it is better to wait. All groups that the trainer waits for, or
// all items, are written at once; other whole groups after a pause, parts of groups after a longer one, and copies of unfinished items between.
func (p *Progress) Commit(now time.Time) (Page, bool) {
	if p.ended || !p.due(now) {
		return Page{}, false
	}
	return p.page(now)
}

// Flush returns a page of all that is unwritten, as when the process leaves.
func (p *Progress) Flush(now time.Time) (Page, bool) {
	if p.ended || p.doneSince.IsZero() {
		return Page{}, false
	}
	return p.page(now)
}

func (p *Progress) due(now time.Time) bool {
	switch {
	case p.doneSince.IsZero():
	case p.finished() || p.wanted():
		return true
	case p.wholeNow > 0 && now.Sub(p.wroteAt) >= groupPause:
		return true
	case now.Sub(p.doneSince) >= partPause:
		return true
	}
	return now.Sub(p.wroteAt) >= copyPause && p.copyDue()
}

// finished says that every item has a result.
func (p *Progress) finished() bool {
	for _, group := range p.groups {
		if !group.whole() {
			return false
		}
	}
	return true
}

// wanted says that as many groups are whole as the trainer waits for, some of them unwritten.
func (p *Progress) wanted() bool {
	whole := 0
	for _, group := range p.groups {
		if group.whole() {
			whole++
		}
	}
	return p.wholeNow > 0 && p.job.WantedGroups > 0 && whole >= p.job.WantedGroups
}

// page collects the unwritten results, those of whole groups first.
func (p *Progress) page(now time.Time) (Page, bool) {
	var states []*itemState
	for i := range p.job.Items {
		if state := p.items[p.job.Items[i].ID]; state.phase == phaseDone {
			states = append(states, state)
		}
	}
	slices.SortStableFunc(states, func(a, b *itemState) int { return cmp.Compare(rank(a), rank(b)) })
	var page Page
	size := 0
	for _, state := range states {
		size += len(state.result.Text) + resultOverhead
		if size > maxPageBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, state.result)
	}
	page.Partials = p.copies(maxPageBytes - size)
	if len(page.Results)+len(page.Partials) == 0 {
		p.settle()
		return Page{}, false
	}
	p.serial++
	p.wroteAt = now
	page.Writer, page.Serial = p.writer, p.serial
	return page, true
}

func rank(state *itemState) int {
	if state.group.whole() {
		return 0
	}
	return 1
}

// Wrote takes in that the page returned by Commit is the next one of the log.
func (p *Progress) Wrote(now time.Time, page Page) {
	p.Absorb(page)
	p.settle()
	if !p.doneSince.IsZero() {
		p.doneSince = now
	}
}

// settle recounts what is unwritten.
func (p *Progress) settle() {
	p.doneSince = time.Time{}
	p.wholeNow = 0
	counted := map[*groupState]bool{}
	for _, state := range p.items {
		if state.phase != phaseDone {
			continue
		}
		p.doneSince = p.wroteAt
		if state.group.whole() && !counted[state.group] {
			counted[state.group] = true
			p.wholeNow++
		}
	}
}

// Lose takes in that another process wrote the page at the number that this one tried.
func (p *Progress) Lose(page Page) {
	p.Absorb(page)
	p.settle()
}

// Body returns an item's body.
func (p *Progress) Body(id string) ([]byte, bool) {
	state, ok := p.items[id]
	if !ok {
		return nil, false
	}
	return state.item.Body, true
}

// Running returns how many items run.
func (p *Progress) Running() int { return p.count(phaseRunning) }

// Waiting returns how many items wait to run.
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

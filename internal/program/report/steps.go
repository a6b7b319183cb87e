package report

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// maxRuns bounds the runs and moves held in memory, which take about 150 bytes each. A step of three trainers has some 800.
const maxRuns = 500_000

// Outcomes of runs that the report distinguishes; see package batchjob for all of them.
const (
	outcomeCompleted = "completed"
	outcomeRefused   = "refused"
	outcomeMoved     = "moved"
	// outcomeOpen: the log has no line at the end of the run.
	outcomeOpen = "open"
)

// run is one run of an item at a server; times are in seconds since the submission of its step.
type run struct {
	host, server         string
	start, end           float64
	fromEvent, lastEvent int
	outcome              string
}

// item is an item of a batch job, with its runs in the order in which they were logged.
type item struct {
	id, group string
	runs      []run
}

// move is the move of a running item to another server.
type move struct {
	at       float64
	from, to string
}

// step is one batch job. Times are in seconds since its submission.
type step struct {
	number         int
	request, model string
	// host is the entry that the job was first submitted to, and submitted the time of the submission on the log's clock.
	host      string
	submitted float64
	prefixed  bool
	// itemCount is the number of submitted items, submissions the number of times that entries processed a submission.
	itemCount, submissions int
	items                  map[string]*item
	moves                  []move
	movesLogged            bool
	pages                  int
	lastPage               float64
	ended                  bool
	endedAt                float64
}

// collector gathers the steps of log files in two passes: the first finds the submissions, which may be in the log of
// another entry than the runs, and the second the rest.
type collector struct {
	options Options
	steps   map[string]*step
	runs    int
	// strangers is the number of lines about jobs whose submission isn't in the log or that aren't selected.
	strangers int
	// names holds one copy of each server's, host's and group's name.
	names map[string]string
}

func newCollector(options Options) *collector {
	return &collector{options: options, steps: map[string]*step{}, names: map[string]string{}}
}

// addSubmission is the first pass.
func (c *collector) addSubmission(line entryLine) error {
	if line.Message != messageSubmitted || !c.options.selects(line) {
		return nil
	}
	known, ok := c.steps[line.Request]
	if ok && known.prefixed != line.prefixed {
		return errors.Errorf("the time of job %s is given on two clocks: as a prefix in some lines, as the field time in others", line.Request)
	}
	if !ok || line.at < known.submitted {
		submissions := 0
		if ok {
			submissions = known.submissions
		}
		known = &step{
			number: line.Step, request: line.Request, model: line.Model, host: line.HostID, submitted: line.at, prefixed: line.prefixed,
			itemCount: line.Items, submissions: submissions, items: map[string]*item{},
		}
		c.steps[line.Request] = known
	}
	known.submissions++
	return nil
}

// addEvent is the second pass.
func (c *collector) addEvent(line entryLine) error {
	if line.Message == messageSubmitted {
		return nil
	}
	s, ok := c.steps[line.Request]
	if !ok {
		c.strangers++
		return nil
	}
	if s.prefixed != line.prefixed {
		return errors.Errorf("the time of job %s is given on two clocks: as a prefix in some lines, as the field time in others", line.Request)
	}
	at := line.at - s.submitted
	switch line.Message {
	case messagePage:
		s.pages++
		s.lastPage = max(s.lastPage, at)
		return nil
	case messageEnded:
		if !s.ended || at < s.endedAt {
			s.ended, s.endedAt = true, at
		}
		return nil
	}
	if line.Item == "" {
		return errors.Errorf("%q without the field item", line.Message)
	}
	if c.runs++; c.runs > maxRuns {
		return errors.Errorf("more than %d lines about runs of items; select steps with --step or --request", maxRuns)
	}
	if line.Message == messageMoved {
		if !s.movesLogged {
			s.movesLogged, s.moves = true, nil
		}
		s.moves = append(s.moves, move{at: at, from: c.name(line.From), to: c.name(line.To)})
		return nil
	}
	if line.Server == "" {
		return errors.Errorf("%q without the field server", line.Message)
	}
	known := s.items[line.Item]
	if known == nil {
		known = &item{id: line.Item}
		s.items[line.Item] = known
	}
	known.group = c.name(cmp.Or(line.Group, known.group))
	c.addRun(s, known, at, line)
	return nil
}

// addRun records the start or the end of a run. A run without a line at its start begins when its time before its end did.
func (c *collector) addRun(s *step, i *item, at float64, line entryLine) {
	host, server := c.name(line.HostID), c.name(line.Server)
	if line.Message == messageStarted {
		i.runs = append(i.runs, run{
			host: host, server: server, start: at, end: at, fromEvent: line.FromEvent, lastEvent: line.FromEvent, outcome: outcomeOpen,
		})
		return
	}
	outcome := line.Outcome
	if line.Message == messageCompleted {
		outcome = outcomeCompleted
	}
	ended := run{
		host: host, server: server, start: at - line.Took/1000, end: at, fromEvent: line.FromEvent, lastEvent: line.LastEvent,
		outcome: c.name(outcome),
	}
	if outcome == outcomeMoved && !s.movesLogged {
		s.moves = append(s.moves, move{at: at, from: server})
	}
	for n := len(i.runs) - 1; n >= 0; n-- {
		if open := i.runs[n]; open.outcome == outcomeOpen && open.host == host && open.server == server {
			ended.start = open.start
			i.runs[n] = ended
			return
		}
	}
	i.runs = append(i.runs, ended)
}

// name returns the single copy of a name.
func (c *collector) name(name string) string {
	if known, ok := c.names[name]; ok {
		return known
	}
	c.names[name] = name
	return name
}

// sorted returns the steps in the order of their submission, with the runs of each item in the order of their start.
func (c *collector) sorted() []*step {
	steps := slices.SortedFunc(maps.Values(c.steps), func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.request, b.request))
	})
	for _, s := range steps {
		for _, i := range s.items {
			slices.SortStableFunc(i.runs, func(a, b run) int { return cmp.Compare(a.start, b.start) })
		}
	}
	return steps
}

// sortedItems returns the step's items in the order of their ids.
func (s *step) sortedItems() []*item {
	return slices.SortedFunc(maps.Values(s.items), func(a, b *item) int { return cmp.Compare(a.id, b.id) })
}

// lastTime returns the last time of which the log has a line about the step.
func (s *step) lastTime() float64 {
	last := max(s.lastPage, s.endedAt)
	for _, i := range s.items {
		for _, r := range i.runs {
			last = max(last, r.end)
		}
	}
	return last
}

// completedAt returns when the item was first completed.
func (i *item) completedAt() (at float64, ok bool) {
	for _, r := range i.runs {
		if r.outcome == outcomeCompleted && (!ok || r.end < at) {
			at, ok = r.end, true
		}
	}
	return at, ok
}

// wait returns the time until the first run that a server accepted.
func (i *item) wait() float64 {
	for _, r := range i.runs {
		if r.outcome != outcomeRefused {
			return r.start
		}
	}
	return i.runs[0].start
}

// events returns the number of events of the item's output so far.
func (i *item) events() int {
	events := 0
	for _, r := range i.runs {
		events = max(events, r.lastEvent)
	}
	return events
}

// interval returns the mean time per event over the runs that received events, including the waits for their first ones.
func (i *item) interval() float64 {
	seconds, events := 0.0, 0
	for _, r := range i.runs {
		if r.lastEvent > r.fromEvent {
			seconds += r.end - r.start
			events += r.lastEvent - r.fromEvent
		}
	}
	return seconds / float64(max(1, events))
}

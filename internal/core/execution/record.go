// Package execution records what became of each request at an agent, so that a request runs at most
// once and a verdict of "not run" stays true.
//
// The load pattern: connections break while requests are queued or running, and the asking side then
// asks what became of them; frames may still arrive after that question. Without the record a late
// frame would run a request whose caller was told that it never will, and has sent it again.
//
// Forgetting is safe at any time: each incarnation of a sender has a horizon, and an identifier at or
// below it that is not in the record is never run. What is lost by forgetting is only precision: such
// a request is answered with "may have run".
package execution

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// State is what became of a request.
type State uint8

// The states of a request. Queued and running requests are never forgotten.
const (
	Unseen State = iota
	Queued
	Running
	// Ran: the request ran and ended.
	Ran
	// Uncertain: the request was started and its end is unknown.
	Uncertain
	// Fenced: the request has not run and never will.
	Fenced
	// Forgotten: the record no longer knows; the request may have run and will not run again.
	Forgotten
)

const (
	// defaultKeep is far longer than a frame may be late: a connection that is silent for a few
	// seconds is closed by both sides, and an answer in doubt is settled within seconds too.
	defaultKeep = 10 * time.Minute
	// defaultIncarnationKeep outlives the slowest replacement of a host with a connection half open.
	defaultIncarnationKeep = 24 * time.Hour
	// defaultCapacity bounds the ended requests: 10 minutes at 100 a second, about 8 MB.
	defaultCapacity = 60_000
	// retryInProgress is when the caller of a request that is still running may ask again.
	retryInProgress = time.Second
)

// ErrState is returned when a request is not in the state that a step needs.
var ErrState = errors.New("request is not in the state needed")

// Record holds the state of each request. It is not safe for use by several goroutines.
type Record struct {
	keep, incarnationKeep time.Duration
	capacity              int
	states                map[request.ID]State
	ended                 []ended
	incarnations          map[uint64]*incarnation
}

// ended is a request that may be forgotten, in the order of ending.
type ended struct {
	id request.ID
	at time.Time
}

// incarnation is what is known of one sender.
type incarnation struct {
	// horizon is the highest counter forgotten.
	horizon uint64
	seen    time.Time
	kept    int
}

// Option configures a Record.
type Option func(*Record)

// WithKeep sets how long an ended request is remembered.
func WithKeep(keep time.Duration) Option {
	return func(r *Record) { r.keep = keep }
}

// WithIncarnationKeep sets how long the horizon of a silent sender is remembered.
func WithIncarnationKeep(keep time.Duration) Option {
	return func(r *Record) { r.incarnationKeep = keep }
}

// WithCapacity bounds the ended requests that are remembered.
func WithCapacity(count int) Option {
	return func(r *Record) { r.capacity = count }
}

// NewRecord returns an empty record.
func NewRecord(opts ...Option) *Record {
	r := &Record{
		keep:            defaultKeep,
		incarnationKeep: defaultIncarnationKeep,
		capacity:        defaultCapacity,
		states:          make(map[request.ID]State),
		incarnations:    make(map[uint64]*incarnation),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// State returns what the record knows of a request.
func (r *Record) State(id request.ID) State {
	if state, ok := r.states[id]; ok {
		return state
	}
	if sender, ok := r.incarnations[id.Incarnation]; ok && id.Counter <= sender.horizon {
		return Forgotten
	}
	return Unseen
}

// Begin takes a request into the queue. Any request but an unseen one is refused: its frame came
// twice, or late, after the asking side was told what became of it.
func (r *Record) Begin(now time.Time, id request.ID) error {
	switch state := r.State(id); state {
	case Unseen:
		r.set(now, id, Queued)
		return nil
	case Fenced:
		return fenced(id)
	case Queued, Running:
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonInProgress, retryInProgress,
			"request %s is in progress", id)
	default:
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonFenced, 0,
			"request %s was taken before", id)
	}
}

func fenced(id request.ID) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonFenced, 0,
		"request %s was recorded as never to be run", id)
}

// Start marks a queued request as running. It fails when the request was fenced in the queue.
func (r *Record) Start(now time.Time, id request.ID) error {
	switch r.State(id) {
	case Queued:
		r.set(now, id, Running)
		return nil
	case Fenced:
		return fenced(id)
	default:
		return errors.Wrapf(ErrState, "start %s", id)
	}
}

// Remove fences a request that is queued; false if it was not.
func (r *Record) Remove(now time.Time, id request.ID) bool {
	if r.State(id) != Queued {
		return false
	}
	r.set(now, id, Fenced)
	return true
}

// Finish ends a running request. NotRun is for a request that did not reach the backend server.
func (r *Record) Finish(now time.Time, id request.ID, v verdict.Verdict) error {
	if r.State(id) != Running {
		return errors.Wrapf(ErrState, "finish %s", id)
	}
	switch v {
	case verdict.NotRun:
		r.set(now, id, Fenced)
	case verdict.Ran:
		r.set(now, id, Ran)
	default:
		r.set(now, id, Uncertain)
	}
	return nil
}

// Settle says what became of a request whose connection was lost. A request that is unseen or still
// queued is fenced first, so that NotRun stays true if its frame or its turn comes later.
func (r *Record) Settle(now time.Time, id request.ID) request.Settled {
	switch r.State(id) {
	case Unseen, Queued:
		r.set(now, id, Fenced)
		return request.Settled{Verdict: verdict.NotRun}
	case Fenced:
		return request.Settled{Verdict: verdict.NotRun}
	case Running:
		return request.Settled{Verdict: verdict.MayHaveRun, Running: true}
	case Ran:
		return request.Settled{Verdict: verdict.Ran}
	default:
		return request.Settled{Verdict: verdict.MayHaveRun}
	}
}

func (r *Record) set(now time.Time, id request.ID, state State) {
	sender, ok := r.incarnations[id.Incarnation]
	if !ok {
		sender = &incarnation{}
		r.incarnations[id.Incarnation] = sender
	}
	sender.seen = now
	if _, ok := r.states[id]; !ok {
		sender.kept++
	}
	r.states[id] = state
	if state != Queued && state != Running {
		r.ended = append(r.ended, ended{id: id, at: now})
	}
	for len(r.ended) > r.capacity {
		r.forgetOldest()
	}
}

// Expire forgets the requests that ended long ago, and the senders that have been silent for long.
func (r *Record) Expire(now time.Time) {
	for len(r.ended) > 0 && now.Sub(r.ended[0].at) >= r.keep {
		r.forgetOldest()
	}
	for number, sender := range r.incarnations {
		if sender.kept == 0 && now.Sub(sender.seen) >= r.incarnationKeep {
			delete(r.incarnations, number)
		}
	}
}

func (r *Record) forgetOldest() {
	id := r.ended[0].id
	r.ended = r.ended[1:]
	delete(r.states, id)
	sender := r.incarnations[id.Incarnation]
	sender.horizon = max(sender.horizon, id.Counter)
	sender.kept--
}

// Counts is the size of a record, for dumps.
type Counts struct {
	Queued       int `json:"queued"`
	Running      int `json:"running"`
	Ran          int `json:"ran"`
	Uncertain    int `json:"uncertain"`
	Fenced       int `json:"fenced"`
	Incarnations int `json:"incarnations"`
}

// Counts returns how many requests are in each state.
func (r *Record) Counts() Counts {
	counts := Counts{Incarnations: len(r.incarnations)}
	for _, state := range r.states {
		switch state {
		case Queued:
			counts.Queued++
		case Running:
			counts.Running++
		case Ran:
			counts.Ran++
		case Uncertain:
			counts.Uncertain++
		case Fenced:
			counts.Fenced++
		default: // the others are never stored
		}
	}
	return counts
}

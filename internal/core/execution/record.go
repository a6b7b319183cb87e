// Package execution records the state of each request at an agent, so that a request runs at most once
// and a verdict of "not run" stays true.
//
// Connections break while requests are queued or running. The sender then queries the state of its
// requests, and a request's frame may still arrive after that. Without the record such a delayed frame would
// run a request that was reported as "not run" and that its caller may have sent again.
//
// It is safe to forget an ended request at any time: each incarnation of a sender has a horizon, and a
// request whose ID is at or below the horizon and not in the record is never run. The only cost is a less precise
// answer for such a request: "may have run".
package execution

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// State is the state of a request.
type State uint8

// The states of a request. Queued and running requests are never forgotten.
const (
	Unseen State = iota
	Queued
	Running
	// Ran: the request ran to its end.
	Ran
	// Uncertain: the request was started and its outcome is unknown.
	Uncertain
	// Fenced: the request has not run and never will.
	Fenced
	// Forgotten: the request's state was removed from the record; it may have run and will not run again.
	Forgotten
)

const (
	// defaultRetention is far longer than a frame can be delayed: both sides close a connection that is
	// silent for a few seconds, and senders ask about a lost answer within seconds as well.
	defaultRetention = 10 * time.Minute
	// defaultIncarnationRetention is longer than the slowest replacement of a host that left a half-open connection.
	defaultIncarnationRetention = 24 * time.Hour
	// defaultCapacity bounds the ended requests: 10 minutes at 100 requests a second, about 8 MB.
	defaultCapacity = 60_000
	// retryInProgress is how long the caller of a request that is still in progress should wait before it retries.
	retryInProgress = time.Second
)

// ErrState is returned when a request is not in the state that an operation requires.
var ErrState = errors.New("request is not in the required state")

// Record holds the state of each request. It is not safe for concurrent use.
type Record struct {
	retention, incarnationRetention time.Duration
	capacity                        int
	states                          map[request.ID]State
	ended                           []ended
	incarnations                    map[uint64]*incarnation
}

// ended is a request that has ended and may be forgotten. Record.ended is sorted by the time of the end.
type ended struct {
	id request.ID
	at time.Time
}

// incarnation is what is known of one sending process.
type incarnation struct {
	// horizon is the highest counter of a forgotten request.
	horizon uint64
	// lastUsed is when the state of one of its requests last changed, stored how many of its requests are in the record.
	lastUsed time.Time
	stored   int
}

// Option configures a Record.
type Option func(*Record)

// WithRetention sets how long an ended request is kept.
func WithRetention(retention time.Duration) Option {
	return func(r *Record) { r.retention = retention }
}

// WithIncarnationRetention sets how long the horizon of a sender without requests is kept.
func WithIncarnationRetention(retention time.Duration) Option {
	return func(r *Record) { r.incarnationRetention = retention }
}

// WithCapacity sets the maximum number of ended requests that are kept.
func WithCapacity(capacity int) Option {
	return func(r *Record) { r.capacity = capacity }
}

// NewRecord returns an empty record.
func NewRecord(opts ...Option) *Record {
	r := &Record{
		retention:            defaultRetention,
		incarnationRetention: defaultIncarnationRetention,
		capacity:             defaultCapacity,
		states:               make(map[request.ID]State),
		incarnations:         make(map[uint64]*incarnation),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// State returns the state of a request.
func (r *Record) State(id request.ID) State {
	if state, ok := r.states[id]; ok {
		return state
	}
	if sender, ok := r.incarnations[id.Incarnation]; ok && id.Counter <= sender.horizon {
		return Forgotten
	}
	return Unseen
}

// Enqueue records a new request as queued. It refuses a request in any other state than Unseen: its frame
// arrived twice, or only after the sender had queried its state.
func (r *Record) Enqueue(now time.Time, id request.ID) error {
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

// fenced returns the refusal for a fenced request.
func fenced(id request.ID) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonFenced, 0,
		"request %s was recorded as never to be run", id)
}

// Start marks a queued request as running. It fails if the request was fenced while it was queued.
func (r *Record) Start(now time.Time, id request.ID) error {
	switch r.State(id) {
	case Queued:
		r.set(now, id, Running)
		return nil
	case Fenced:
		return fenced(id)
	default:
		return errors.Wrapf(ErrState, "start request %s", id)
	}
}

// Remove fences a queued request. It returns false if the request is not queued.
func (r *Record) Remove(now time.Time, id request.ID) bool {
	if r.State(id) != Queued {
		return false
	}
	r.set(now, id, Fenced)
	return true
}

// Finish ends a running request. The verdict is NotRun if the request did not reach the backend server.
func (r *Record) Finish(now time.Time, id request.ID, v verdict.Verdict) error {
	if r.State(id) != Running {
		return errors.Wrapf(ErrState, "finish request %s", id)
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

// Settle returns the verdict on a request whose connection was lost. An unseen or queued request is fenced
// first, so that NotRun stays true if its frame arrives, or it reaches the head of the queue, later.
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

// set stores the state of a request, and forgets the oldest ended requests beyond the capacity.
func (r *Record) set(now time.Time, id request.ID, state State) {
	sender, ok := r.incarnations[id.Incarnation]
	if !ok {
		sender = &incarnation{}
		r.incarnations[id.Incarnation] = sender
	}
	sender.lastUsed = now
	if _, ok := r.states[id]; !ok {
		sender.stored++
	}
	r.states[id] = state
	if state != Queued && state != Running {
		r.ended = append(r.ended, ended{id: id, at: now})
	}
	for len(r.ended) > r.capacity {
		r.forgetOldest()
	}
}

// Expire forgets the requests and the senders whose retention has passed.
func (r *Record) Expire(now time.Time) {
	for len(r.ended) > 0 && now.Sub(r.ended[0].at) >= r.retention {
		r.forgetOldest()
	}
	for id, sender := range r.incarnations {
		if sender.stored == 0 && now.Sub(sender.lastUsed) >= r.incarnationRetention {
			delete(r.incarnations, id)
		}
	}
}

// forgetOldest removes the request that ended first and raises its sender's horizon to it.
func (r *Record) forgetOldest() {
	id := r.ended[0].id
	r.ended = r.ended[1:]
	delete(r.states, id)
	sender := r.incarnations[id.Incarnation]
	sender.horizon = max(sender.horizon, id.Counter)
	sender.stored--
}

// Counts holds the number of requests in each state and the number of known senders, for state dumps.
type Counts struct {
	Queued       int `json:"queued"`
	Running      int `json:"running"`
	Ran          int `json:"ran"`
	Uncertain    int `json:"uncertain"`
	Fenced       int `json:"fenced"`
	Incarnations int `json:"incarnations"`
}

// Counts returns the current counts.
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
		default: // Unseen and Forgotten are never stored
		}
	}
	return counts
}

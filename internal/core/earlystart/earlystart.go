// Package earlystart decides when an entry runs the items of a batch job that the store doesn't hold yet, and what becomes of such a job.
//
// An outage of the store takes most of the time in which a step's results are due. Items may run without agreement, because they may run
// more than once and only what a page holds counts. The job is created when the store answers again.
package earlystart

import "time"

const (
	// AnswerWait is how long a submission waits for the store before its job begins. A slow store answers within a third of a second; the
	// trainer loses the rest of the time that an unresponsive store takes.
	AnswerWait = 500 * time.Millisecond
	// MaxJobs is how many jobs an entry runs without the store at most.
	MaxJobs = 16
	// MaxBytes bounds the request bodies and the text of all these jobs together.
	MaxBytes = 32 << 20
	// MaxStoredBytes is the store's limit for the value of an object. A larger job can never be accepted, and its submission is refused
	// as not run, so that it must not begin.
	MaxStoredBytes = 1 << 20
	// MaxBegunBytes is the limit for a job that begins. It leaves room for the owner, who is known only when the job is created.
	MaxBegunBytes = MaxStoredBytes - 512
)

// Answer is what is known of the store's answer to the create of a job.
type Answer uint8

// Values of Answer.
const (
	// AnswerPending: the call is in progress.
	AnswerPending Answer = iota
	// AnswerDecided: the store accepted or rejected the job, or holds an object of the name.
	AnswerDecided
	// AnswerNone: the store could not be called, or its answer was lost.
	AnswerNone
)

// Action is what an entry does next with a submission.
type Action uint8

// Values of Action.
const (
	// ActionWait: wait for the store's answer.
	ActionWait Action = iota
	// ActionSettle: answer the submission as the store decided.
	ActionSettle
	// ActionBegin: have the job begin, and answer that the outcome of the submission is unknown.
	ActionBegin
)

// NextAction returns what an entry does with a submission that has waited for the store that long. Down is set if no entry reaches the
// store.
func NextAction(waited time.Duration, down bool, answer Answer) Action {
	switch {
	case answer == AnswerDecided:
		return ActionSettle
	case down || answer == AnswerNone || waited >= AnswerWait:
		return ActionBegin
	default:
		return ActionWait
	}
}

package verdict

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Reason is the camel-case code of a refusal, stable for programs.
type Reason string

// The reasons for which a request is refused.
const (
	ReasonBadRequest Reason = "badRequest"
	ReasonTooLarge   Reason = "tooLarge"
	// ReasonConflict: the request contradicts one that was accepted before it.
	ReasonConflict     Reason = "conflict"
	ReasonUnknownKey   Reason = "unknownKey"
	ReasonKeyWithdrawn Reason = "keyWithdrawn"
	ReasonForbidden    Reason = "forbidden"
	ReasonNotFound     Reason = "notFound"
	ReasonRateLimited  Reason = "rateLimited"
	ReasonOverloaded   Reason = "overloaded"
	// ReasonNoRoom: a bounded list is full, or another organisation has the better claim to the place.
	ReasonNoRoom              Reason = "noRoom"
	ReasonDeadlineUnreachable Reason = "deadlineUnreachable"
	ReasonDeadlinePassed      Reason = "deadlinePassed"
	// ReasonNotReady: what a trainer waits for did not come in its time; the work goes on.
	ReasonNotReady Reason = "notReady"
	ReasonNoServer Reason = "noServer"
	// ReasonWrongPool: the agent that was asked serves another pool.
	ReasonWrongPool    Reason = "wrongPool"
	ReasonLeaving      Reason = "leaving"
	ReasonStaleView    Reason = "staleView"
	ReasonIsolated     Reason = "isolated"
	ReasonServerLost   Reason = "serverLost"
	ReasonServerFailed Reason = "serverFailed"
	// ReasonSamplesLost: no host holds the samples of a batch any more; they are made again.
	ReasonSamplesLost Reason = "samplesLost"
	// ReasonAnswerLost: a call under this idempotency key ran or may have, and its answer is not kept.
	ReasonAnswerLost Reason = "answerLost"
	// ReasonAnswerTooLarge: the server's answer is longer than an entry holds.
	ReasonAnswerTooLarge Reason = "answerTooLarge"
	// ReasonUndelivered: the call ran, and its answer could not be handed on.
	ReasonUndelivered Reason = "undelivered"
	ReasonInProgress  Reason = "inProgress"
	ReasonKeyReused   Reason = "idempotencyKeyReused"
	ReasonFenced      Reason = "fenced"
	ReasonCancelled   Reason = "cancelled"
	// ReasonCallerGone: the caller hung up, so nobody receives the refusal.
	ReasonCallerGone          Reason = "callerGone"
	ReasonPlatformUnavailable Reason = "platformUnavailable"
	ReasonTicketEarly         Reason = "ticketEarly"
	ReasonTicketTaken         Reason = "ticketTaken"
	ReasonTicketUnsettled     Reason = "ticketUnsettled"
	ReasonNotLeader           Reason = "notHolder"
	ReasonStaleSample         Reason = "staleSample"
	ReasonInternal            Reason = "internal"
	// ReasonDefect: the program itself is at fault, as where it can't encode what it made.
	ReasonDefect Reason = "defect"
)

// Refusal is the error that ends a request without a whole answer.
// It travels between processes and is shown to the caller, under a status that the edge derives from reason and verdict.
type Refusal struct {
	// Verdict says whether the request may have run.
	Verdict Verdict `msgpack:"v"`
	// Reason is the stable code of the refusal.
	Reason Reason `msgpack:"r"`
	// Detail is a sentence for people; it never holds key material.
	Detail string `msgpack:"d"`
	// RetryAfter is when the caller should come back; zero where coming back cannot help.
	RetryAfter time.Duration `msgpack:"a"`
}

// Refuse returns a refusal; retryAfter is zero where coming back cannot help.
func Refuse(v Verdict, reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{
		Verdict:    v,
		Reason:     reason,
		Detail:     fmt.Sprintf(format, args...),
		RetryAfter: retryAfter,
	}
}

// Error returns reason, verdict and detail in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Detail)
}

// RetryAfterSeconds rounds the time to come back up to whole seconds, as the Retry-After header needs.
func (r *Refusal) RetryAfterSeconds() int {
	return int(math.Ceil(r.RetryAfter.Seconds()))
}

// refusalBody is the JSON shape that callers receive.
type refusalBody struct {
	Verdict           Verdict `json:"verdict"`
	Reason            Reason  `json:"reason"`
	Detail            string  `json:"detail,omitempty"`
	RetryAfterSeconds int     `json:"retryAfterSeconds"`
}

// MarshalJSON encodes the body of a refusal for callers.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(refusalBody{
		Verdict:           r.Verdict,
		Reason:            r.Reason,
		Detail:            r.Detail,
		RetryAfterSeconds: r.RetryAfterSeconds(),
	})
}

// As returns the refusal within err, if there is one.
func As(err error) (*Refusal, bool) {
	var refusal *Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}

// From turns any error into a refusal. An error without a verdict is taken for MayHaveRun:
// claiming "not run" for an unknown failure could make a caller run a request twice.
func From(err error) *Refusal {
	if refusal, ok := As(err); ok {
		return refusal
	}
	return Refuse(MayHaveRun, ReasonInternal, time.Second, "%v", err)
}

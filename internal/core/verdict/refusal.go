package verdict

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Reason is the camel-case code of a refusal. Codes are stable, so that programs can rely on them.
type Reason string

// The reasons for refusing a request.
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
	// ReasonNoRoom: a bounded list is full, or the queued request was evicted in favour of another organisation's.
	ReasonNoRoom Reason = "noRoom"
	// ReasonDeadlineUnreachable: the answer is not expected before the deadline.
	ReasonDeadlineUnreachable Reason = "deadlineUnreachable"
	ReasonDeadlinePassed      Reason = "deadlinePassed"
	// ReasonNotReady: what a trainer requested was not ready in time; the work continues.
	ReasonNotReady Reason = "notReady"
	ReasonNoServer Reason = "noServer"
	// ReasonZoneEvacuated: the servers that could run the request are in availability zones that are evacuated.
	ReasonZoneEvacuated Reason = "zoneEvacuated"
	// ReasonServersCold: the servers that could run the request started a short time ago and take few requests.
	ReasonServersCold Reason = "serversCold"
	// ReasonOutsideRegions: no server is in a region in which the request may run.
	ReasonOutsideRegions Reason = "outsideRegions"
	// ReasonWrongPool: the agent that received the request serves another pool.
	ReasonWrongPool Reason = "wrongPool"
	// ReasonLeaving: the process is shutting down, or its server is being drained.
	ReasonLeaving Reason = "leaving"
	// ReasonStaleView: the agent's configuration is older than the entry's.
	ReasonStaleView Reason = "staleView"
	// ReasonIsolated: the host could not confirm its configuration recently.
	ReasonIsolated Reason = "isolated"
	// ReasonServerLost: the connection to the agent or server could not be opened or was lost.
	ReasonServerLost   Reason = "serverLost"
	ReasonServerFailed Reason = "serverFailed"
	// ReasonSamplesLost: no host holds the samples of a batch any longer; they are generated again.
	ReasonSamplesLost Reason = "samplesLost"
	// ReasonAnswerLost: a call with this idempotency key ran or may have run, and its answer is not available.
	ReasonAnswerLost Reason = "answerLost"
	// ReasonAnswerTooLarge: the server's answer is larger than an entry can hold.
	ReasonAnswerTooLarge Reason = "answerTooLarge"
	// ReasonUndelivered: the call ran, but its answer could not be passed on.
	ReasonUndelivered Reason = "undelivered"
	ReasonInProgress  Reason = "inProgress"
	// ReasonKeyReused: the idempotency key was used for another call.
	ReasonKeyReused Reason = "idempotencyKeyReused"
	// ReasonFenced: a newer fencing number or version was accepted, or the request is recorded as never to run (again).
	ReasonFenced    Reason = "fenced"
	ReasonCancelled Reason = "cancelled"
	// ReasonCallerGone: the caller hung up, so nobody receives the refusal.
	ReasonCallerGone          Reason = "callerGone"
	ReasonPlatformUnavailable Reason = "platformUnavailable"
	// ReasonTicketEarly: a ticket with a lower number is still missing.
	ReasonTicketEarly Reason = "ticketEarly"
	// ReasonTicketTaken: the ticket number was used already, for other content as far as is known.
	ReasonTicketTaken Reason = "ticketTaken"
	// ReasonTicketUnsettled: the ticket or model version may have been accepted; the caller should send it again.
	ReasonTicketUnsettled Reason = "ticketUnsettled"
	// ReasonNotLeader: this host is not, or no longer, the coordinator of the trainer job.
	ReasonNotLeader   Reason = "notHolder"
	ReasonStaleSample Reason = "staleSample"
	// ReasonInternal: the failure has no more specific reason.
	ReasonInternal Reason = "internal"
	// ReasonDefect: the program itself is at fault, for example because it can't encode its own data.
	ReasonDefect Reason = "defect"
)

// Refusal is the error that ends a request without a complete answer. It is sent between processes and to the
// caller, with an HTTP status that is derived from reason and verdict (see internal/edge/refusal).
type Refusal struct {
	// Verdict says whether the request may have run.
	Verdict Verdict `msgpack:"v"`
	// Reason is the stable code of the refusal.
	Reason Reason `msgpack:"r"`
	// Detail is a message for people; it never contains key material.
	Detail string `msgpack:"d"`
	// RetryAfter is the time after which the caller should retry; zero if a retry can't help.
	RetryAfter time.Duration `msgpack:"a"`
}

// Refuse returns a refusal; retryAfter is zero if a retry can't help.
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

// RetryAfterSeconds returns RetryAfter rounded up to whole seconds, as the Retry-After header needs.
func (r *Refusal) RetryAfterSeconds() int {
	return int(math.Ceil(r.RetryAfter.Seconds()))
}

// refusalBody is the JSON object that callers receive.
type refusalBody struct {
	Verdict           Verdict `json:"verdict"`
	Reason            Reason  `json:"reason"`
	Detail            string  `json:"detail,omitempty"`
	RetryAfterSeconds int     `json:"retryAfterSeconds"`
}

// MarshalJSON encodes a refusal as callers receive it.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(refusalBody{
		Verdict:           r.Verdict,
		Reason:            r.Reason,
		Detail:            r.Detail,
		RetryAfterSeconds: r.RetryAfterSeconds(),
	})
}

// As returns the refusal in err's chain, if there is one.
func As(err error) (*Refusal, bool) {
	var refusal *Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}

// From converts any error to a refusal. An error without a verdict becomes MayHaveRun: claiming NotRun for an
// unknown failure could make a caller run a request twice.
func From(err error) *Refusal {
	if refusal, ok := As(err); ok {
		return refusal
	}
	return Refuse(MayHaveRun, ReasonInternal, time.Second, "%v", err)
}

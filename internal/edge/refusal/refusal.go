// Package refusal says how the product's own HTTP interface tells a refusal: the core names a reason and a verdict, and
// the status follows from them here alone. What the users' platform wants instead is said by the package platform.
package refusal

import (
	"net/http"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// statusCallerGone is for callers that hung up; nobody receives it.
const statusCallerGone = 499

// statuses holds the status of each reason but ReasonServerLost, whose status tells the verdict.
var statuses = map[verdict.Reason]int{
	verdict.ReasonBadRequest:          http.StatusBadRequest,
	verdict.ReasonUnknownKey:          http.StatusUnauthorized,
	verdict.ReasonKeyWithdrawn:        http.StatusUnauthorized,
	verdict.ReasonForbidden:           http.StatusForbidden,
	verdict.ReasonNotFound:            http.StatusNotFound,
	verdict.ReasonWrongPool:           http.StatusNotFound,
	verdict.ReasonAnswerLost:          http.StatusConflict,
	verdict.ReasonConflict:            http.StatusConflict,
	verdict.ReasonFenced:              http.StatusConflict,
	verdict.ReasonInProgress:          http.StatusConflict,
	verdict.ReasonStaleSample:         http.StatusConflict,
	verdict.ReasonTicketEarly:         http.StatusConflict,
	verdict.ReasonTicketTaken:         http.StatusConflict,
	verdict.ReasonTooLarge:            http.StatusRequestEntityTooLarge,
	verdict.ReasonKeyReused:           http.StatusUnprocessableEntity,
	verdict.ReasonOverloaded:          http.StatusTooManyRequests,
	verdict.ReasonRateLimited:         http.StatusTooManyRequests,
	verdict.ReasonCallerGone:          statusCallerGone,
	verdict.ReasonDefect:              http.StatusInternalServerError,
	verdict.ReasonAnswerTooLarge:      http.StatusBadGateway,
	verdict.ReasonInternal:            http.StatusBadGateway,
	verdict.ReasonServerFailed:        http.StatusBadGateway,
	verdict.ReasonUndelivered:         http.StatusBadGateway,
	verdict.ReasonCancelled:           http.StatusServiceUnavailable,
	verdict.ReasonDeadlineUnreachable: http.StatusServiceUnavailable,
	verdict.ReasonIsolated:            http.StatusServiceUnavailable,
	verdict.ReasonLeaving:             http.StatusServiceUnavailable,
	verdict.ReasonNoRoom:              http.StatusServiceUnavailable,
	verdict.ReasonNoServer:            http.StatusServiceUnavailable,
	verdict.ReasonNotLeader:           http.StatusServiceUnavailable,
	verdict.ReasonNotReady:            http.StatusServiceUnavailable,
	verdict.ReasonPlatformUnavailable: http.StatusServiceUnavailable,
	verdict.ReasonSamplesLost:         http.StatusServiceUnavailable,
	verdict.ReasonStaleView:           http.StatusServiceUnavailable,
	verdict.ReasonTicketUnsettled:     http.StatusServiceUnavailable,
	verdict.ReasonDeadlinePassed:      http.StatusGatewayTimeout,
}

// Status returns the status of a refusal. A reason that is not known here, as one of a newer process, is told by the verdict.
func Status(r *verdict.Refusal) int {
	if status, ok := statuses[r.Reason]; ok {
		return status
	}
	if r.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// Of returns the refusal for a handler's error, also for those with which the HTTP library refuses by itself, before any
// handler has passed the request on.
func Of(err error) *verdict.Refusal {
	var library *fiber.Error
	if !errors.As(err, &library) {
		return verdict.From(err)
	}
	reason := verdict.ReasonBadRequest
	switch library.Code {
	case http.StatusRequestEntityTooLarge:
		reason = verdict.ReasonTooLarge
	case http.StatusNotFound:
		reason = verdict.ReasonNotFound
	}
	return verdict.Refuse(verdict.NotRun, reason, 0, "%s", library.Message)
}

// StatusOf returns the status for a handler's error: the HTTP library's own refusals keep the library's.
func StatusOf(err error) int {
	var library *fiber.Error
	if errors.As(err, &library) {
		return library.Code
	}
	return Status(verdict.From(err))
}

// Package refusal maps refusals to the status codes of the product's own HTTP interface. The core gives a refusal its reason and its
// verdict, and only this package derives the status from them. The status codes of the users' platform, which differ, are in the
// package platform at the root of the module.
package refusal

import (
	"net/http"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// statusCallerGone stands for callers that hung up; nobody receives it.
const statusCallerGone = 499

// statuses holds the status of each reason except ReasonServerLost, whose status depends on the verdict.
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
	verdict.ReasonZoneEvacuated:       http.StatusServiceUnavailable,
	verdict.ReasonServersCold:         http.StatusServiceUnavailable,
	verdict.ReasonOutsideRegions:      http.StatusServiceUnavailable,
	verdict.ReasonNotLeader:           http.StatusServiceUnavailable,
	verdict.ReasonNotReady:            http.StatusServiceUnavailable,
	verdict.ReasonPlatformUnavailable: http.StatusServiceUnavailable,
	verdict.ReasonSamplesLost:         http.StatusServiceUnavailable,
	verdict.ReasonStaleView:           http.StatusServiceUnavailable,
	verdict.ReasonTicketUnsettled:     http.StatusServiceUnavailable,
	verdict.ReasonDeadlinePassed:      http.StatusGatewayTimeout,
}

// Status returns the status of a refusal. If the reason is unknown here, for example because it comes from a newer process, the status
// depends only on the verdict.
func Status(r *verdict.Refusal) int {
	if status, ok := statuses[r.Reason]; ok {
		return status
	}
	if r.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// FromError returns the refusal for an error with which a request ended: one of a handler, or one with which the HTTP library rejects a
// request before any handler has passed it on.
func FromError(err error) *verdict.Refusal {
	var fiberErr *fiber.Error
	if !errors.As(err, &fiberErr) {
		return verdict.From(err)
	}
	reason := verdict.ReasonBadRequest
	switch fiberErr.Code {
	case http.StatusRequestEntityTooLarge:
		reason = verdict.ReasonTooLarge
	case http.StatusNotFound:
		reason = verdict.ReasonNotFound
	}
	return verdict.Refuse(verdict.NotRun, reason, 0, "%s", fiberErr.Message)
}

// StatusFromError returns the status for an error with which a request ended. Errors of the HTTP library keep their own status.
func StatusFromError(err error) int {
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		return fiberErr.Code
	}
	return Status(verdict.From(err))
}

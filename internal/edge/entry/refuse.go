package entry

import (
	"net/http"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// onError turns every error of a handler into a refusal with its verdict.
func (e *Entry) onError(c fiber.Ctx, err error) error {
	refusal := refusalOf(err)
	e.metrics.refused(refusal)
	if refusal.Reason == verdict.ReasonTooLarge {
		linger(c.RequestCtx().Conn())
	}
	return writeRefusal(c, refusal)
}

func refusalOf(err error) *verdict.Refusal {
	var fiberError *fiber.Error
	if !errors.As(err, &fiberError) {
		return verdict.From(err)
	}
	// fiber refuses before any handler of ours has passed the request on.
	reason := verdict.ReasonBadRequest
	switch fiberError.Code {
	case http.StatusRequestEntityTooLarge:
		reason = verdict.ReasonTooLarge
	case http.StatusNotFound:
		reason = verdict.ReasonNotFound
	}
	return verdict.New(verdict.NotRun, fiberError.Code, reason, 0, "%s", fiberError.Message)
}

func writeRefusal(c fiber.Ctx, refusal *verdict.Refusal) error {
	if refusal.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(refusal.RetryAfterSeconds()))
	}
	return c.Status(refusal.Status).JSON(refusal)
}

func badRequest(format string, args ...any) *verdict.Refusal {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, verdict.ReasonBadRequest, 0, format, args...)
}

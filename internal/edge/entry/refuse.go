package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/refusal"
)

// onError turns every error of a handler into a refusal with its verdict.
func (e *Entry) onError(c fiber.Ctx, err error) error {
	refused := refusal.FromError(err)
	e.metrics.refused(refused)
	if refused.Reason == verdict.ReasonTooLarge {
		callerconn.Linger(c.RequestCtx().Conn())
	}
	c.Set(fiber.HeaderRetryAfter, strconv.Itoa(refused.RetryAfterSeconds()))
	return c.Status(refusal.StatusFromError(err)).JSON(refused)
}

// refuseMethods answers requests of a method that the HTTP library doesn't know: its own answer has no verdict.
func (e *Entry) refuseMethods(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if slices.Contains(fiber.DefaultMethods, string(ctx.Method())) {
			next(ctx)
			return
		}
		c := e.app.AcquireCtx(ctx)
		defer e.app.ReleaseCtx(c)
		_ = e.onError(c, fiber.ErrNotImplemented)
	}
}

// refuseCodings refuses a body that is compressed or coded in another way.
//
// Guard: the HTTP library decodes such a body without a bound, so that a megabyte becomes a gigabyte, and hands out the
// text of its own error as the body where that fails. A body that goes on as it came could hold a key that nobody
// looked for.
func refuseCodings(c fiber.Ctx) error {
	coding := c.Get(fiber.HeaderContentEncoding)
	if coding == "" || strings.EqualFold(coding, "identity") {
		return c.Next()
	}
	return fiber.NewError(http.StatusUnsupportedMediaType,
		fmt.Sprintf("send the body without the Content-Encoding %.80q", coding))
}

func badRequest(format string, args ...any) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, format, args...)
}

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

// onError answers every error of a handler with a refusal that has a verdict.
func (e *Entry) onError(c fiber.Ctx, err error) error {
	refused := refusal.FromError(err)
	e.metrics.refused(refused)
	if refused.Reason == verdict.ReasonTooLarge {
		callerconn.Linger(c.RequestCtx().Conn())
	}
	c.Set(fiber.HeaderRetryAfter, strconv.Itoa(refused.RetryAfterSeconds()))
	return c.Status(refusal.StatusFromError(err)).JSON(refused)
}

// refuseUnknownMethods refuses requests with a method that Fiber doesn't know; Fiber's own answer has no verdict.
func (e *Entry) refuseUnknownMethods(next fasthttp.RequestHandler) fasthttp.RequestHandler {
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

// refuseEncodedBodies refuses bodies with a Content-Encoding, such as compressed ones.
//
// Fiber decodes such a body without a size limit, so that a megabyte can become a gigabyte, and returns its own error
// text as the body if decoding fails. If the body were forwarded encoded, it could contain a key that the search for
// keys doesn't see.
func refuseEncodedBodies(c fiber.Ctx) error {
	encoding := c.Get(fiber.HeaderContentEncoding)
	if encoding == "" || strings.EqualFold(encoding, "identity") {
		return c.Next()
	}
	return fiber.NewError(http.StatusUnsupportedMediaType,
		fmt.Sprintf("send the body without the Content-Encoding %.80q", encoding))
}

func badRequest(format string, args ...any) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, format, args...)
}

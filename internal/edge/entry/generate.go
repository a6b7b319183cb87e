package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
)

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 20
)

// generateBody is the JSON body of POST /v1/models/{model}/generate.
type generateBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	Seed      int64  `json:"seed,omitempty"`
}

// generateAnswer is the JSON response to a generation that isn't streamed.
type generateAnswer struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Spans lists the weight versions that produced the tokens.
	Spans []delivery.Span `json:"spans"`
}

// generate runs a model for a caller. Generation is idempotent: if a stream is lost, it resumes on another server from
// the tokens received so far.
func (e *Entry) generate(c fiber.Ctx) error {
	from, err := e.authenticate(c)
	if err != nil {
		return err
	}
	model := c.Params("model")
	pool, ok := e.deps.Views.View().ModelPool(model)
	if !ok {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0, "no pool serves a model named %q", model)
	}
	if err := permit(from, pool); err != nil {
		return err
	}
	body, err := parseGenerate(c.Body())
	if err != nil {
		return err
	}
	if err := refuseKeyInContent(body.Prompt, e.newKeyMatcher(from)); err != nil {
		return err
	}
	end, err := e.acceptedDeadline(c)
	if err != nil {
		return err
	}
	g := newGeneration(body.Prompt, body.MaxTokens, body.Seed, nil)
	modelCall := e.generationCall(from, pool, g)
	if body.Stream {
		return e.stream(c, modelCall, g, end)
	}
	ctx, cancel := context.WithDeadline(c.Context(), end)
	defer cancel()
	defer callerconn.CancelOnHangup(c.RequestCtx().Conn(), cancel)()
	err = e.runAdmitted(ctx, modelCall, func() error { return e.deps.Dispatcher.run(ctx, modelCall, g.consume) })
	if err != nil {
		return err
	}
	return c.JSON(g.answer())
}

func parseGenerate(data []byte) (generateBody, error) {
	body := generateBody{MaxTokens: defaultMaxTokens}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, badRequest("body: %v; want {\"prompt\":…,\"maxTokens\":…,\"stream\":…}", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, badRequest("body: more than one JSON value")
	}
	if body.Prompt == "" {
		return body, badRequest("body: prompt is missing")
	}
	if body.MaxTokens < 1 || body.MaxTokens > maxTokensLimit {
		return body, badRequest("body: maxTokens is %d; want 1 to %d", body.MaxTokens, maxTokensLimit)
	}
	return body, nil
}

func (e *Entry) generationCall(from caller, pool ticket.Pool, g *generation) call {
	return call{
		organisation: from.organisation.Name,
		keyHash:      from.keyHash,
		pool:         pool,
		prefix:       backendserver.PrefixHash(g.prompt),
		idempotent:   true,
		cost:         float64(g.maxTokens),
		message:      g.message,
	}
}

// stream sends tokens as server-sent events. The status is sent with the first token, so that a generation that is
// refused before it gets its own status; a failure after the first token ends the stream with an event named refusal.
func (e *Entry) stream(c fiber.Ctx, modelCall call, g *generation, end time.Time) error {
	// The request's own context ends with this handler, before the stream does.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.Context()), end)
	stopHangupDetection := callerconn.CancelOnHangup(c.RequestCtx().Conn(), cancel)
	events := newEventQueue()
	g.onToken = events.push
	e.background(func() {
		defer cancel()
		err := e.runAdmitted(ctx, modelCall, func() error { return e.deps.Dispatcher.run(ctx, modelCall, g.consume) })
		events.finish(g.answer(), err)
	})
	if err := events.waitFirst(); err != nil {
		stopHangupDetection()
		return err
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	e.running.Add(1)
	stopWriteLimit := limitWrites(c.RequestCtx().Conn(), end)
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.running.Add(-1)
		defer stopHangupDetection()
		defer stopWriteLimit()
		if refusal := events.copyTo(w); refusal != nil {
			e.metrics.refused(refusal)
		}
		cancel()
	})
}

// finalEventTimeout is how long after its deadline a stream may take to write its last event, which says why it ended.
const finalEventTimeout = time.Second

// limitWrites makes writes to conn fail soon after end, and returns the function that cancels this.
//
// Without it, a caller that stops reading without closing the connection would hold its stream, and the drain of the
// host, until the connection's write timeout of half an hour. Nothing is cut off before the caller's own deadline.
func limitWrites(conn net.Conn, end time.Time) (stop func()) {
	limit := time.AfterFunc(time.Until(end), func() { _ = conn.SetWriteDeadline(time.Now().Add(finalEventTimeout)) })
	return func() { limit.Stop() }
}

// enginePost builds the request to a model's backend server from a JSON body.
func enginePost(body []byte) request.Execute {
	return request.Execute{
		Method: http.MethodPost,
		Path:   backendserver.PathGenerate,
		Header: []request.HeaderField{{Name: "Content-Type", Value: fiber.MIMEApplicationJSON}},
		Body:   body,
	}
}

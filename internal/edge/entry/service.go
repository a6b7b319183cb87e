package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// maxAnswerBytes bounds a plain service's answer, which is held whole before any of it goes to the caller.
const maxAnswerBytes = 64 << 20

// idempotentMethods may be repeated by their definition.
var idempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace,
}

// wholeAnswer is a plain service's answer.
type wholeAnswer struct {
	Status int                   `json:"status"`
	Header []request.HeaderField `json:"header"`
	Body   []byte                `json:"body"`
}

// service passes a call to a plain service and returns the whole answer or a refusal.
func (e *Entry) service(c fiber.Ctx) error {
	from, err := e.authenticate(c)
	if err != nil {
		return err
	}
	pool, err := e.servicePool(c.Params("pool"), from)
	if err != nil {
		return err
	}
	message, err := e.plainMessage(c, from)
	if err != nil {
		return err
	}
	end, err := deadline(c, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Context(), end)
	defer cancel()
	plain := call{
		organisation: from.organisation.Name,
		keyHash:      from.keyHash,
		pool:         pool,
		idempotent:   isIdempotent(pool, message),
		cost:         1,
		message:      func() request.Execute { return message },
	}
	key := c.Get(headerIdempotencyKey)
	if !needsRecord(plain, key) {
		defer callerconn.CancelOnHangup(c.RequestCtx().Conn(), cancel)()
	}
	answer, err := e.once(ctx, plain, message, key)
	if err != nil {
		return err
	}
	return sendWhole(c, answer)
}

func (e *Entry) servicePool(name string, from caller) (ticket.Pool, error) {
	pool, ok := e.deps.Views.View().Pool(name)
	if !ok || pool.Kind != ticket.KindService {
		return ticket.Pool{}, verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0, "no plain service named %q", name)
	}
	return pool, permit(from, pool)
}

func (e *Entry) plainMessage(c fiber.Ctx, from caller) (request.Execute, error) {
	holdsKey := e.keyFinder(from)
	query, err := forwardQuery(string(c.Request().URI().QueryString()), holdsKey)
	if err != nil {
		return request.Execute{}, err
	}
	path, err := forwardPath(string(c.Request().URI().PathOriginal()), holdsKey)
	if err != nil {
		return request.Execute{}, err
	}
	body := slices.Clone(c.BodyRaw())
	if err := refuseKeyInContent(string(body), holdsKey); err != nil {
		return request.Execute{}, err
	}
	return request.Execute{
		Method: c.Method(),
		Path:   path,
		Query:  query,
		Header: forwardHeaders(c, holdsKey),
		Body:   body,
	}, nil
}

// isIdempotent compares the path as it came: one that is written with escapes counts as not listed.
func isIdempotent(pool ticket.Pool, message request.Execute) bool {
	if slices.Contains(idempotentMethods, message.Method) {
		return true
	}
	return slices.ContainsFunc(pool.IdempotentPaths, func(listed string) bool {
		below, ok := strings.CutPrefix(message.Path, strings.TrimSuffix(listed, "/"))
		return ok && (below == "" || below[0] == '/')
	})
}

// needsRecord says whether the outcome of the call is kept for its repeats.
//
// Guard: a caller hangs up too soon and repeats the call. The first run can't be cut short at the server, and its answer
// would be lost to the repeat if it were given up with the caller. So it is waited for until the deadline.
func needsRecord(c call, key string) bool { return key != "" && !c.idempotent }

// once runs the call under the caller's idempotency key, if there is one and the call needs it.
func (e *Entry) once(ctx context.Context, c call, message request.Execute, key string) (wholeAnswer, error) {
	if !needsRecord(c, key) {
		return e.whole(ctx, c)
	}
	return e.records.once(ctx, c, message, key, func() (wholeAnswer, error) { return e.whole(ctx, c) })
}

// whole admits the call and returns its whole answer.
func (e *Entry) whole(ctx context.Context, c call) (wholeAnswer, error) {
	var answer wholeAnswer
	err := e.admitted(ctx, c, func() error {
		return e.deps.Dispatcher.run(ctx, c, func(opened *peer.Answer[request.AnswerEnd]) error {
			var err error
			answer, err = readWhole(opened)
			return err
		})
	})
	return answer, err
}

// admitted runs work under admission and counts its outcome.
func (e *Entry) admitted(ctx context.Context, c call, work func() error) error {
	ask := admission.Request{Organisation: c.organisation, Pool: c.pool.Name, KeyHash: c.keyHash, Cost: c.cost}
	if end, ok := ctx.Deadline(); ok {
		ask.Remaining = time.Until(end)
	}
	started := time.Now()
	if err := e.deps.Admission.Admit(started, ask); err != nil {
		e.tellTurnedAway(c.pool.Name, err)
		return err
	}
	err := work()
	e.tellTurnedAway(c.pool.Name, err)
	took := time.Since(started)
	e.deps.Admission.Done(time.Now(), ask, took, isCapacityRefusal(err))
	if err == nil {
		e.deps.TurnedAway.Served(c.pool.Name, took)
		e.metrics.answered(c.pool.Name, c.organisation, took)
	}
	return err
}

// tellTurnedAway counts a refusal for want of capacity, for the zone's decision on servers.
func (e *Entry) tellTurnedAway(pool string, err error) {
	if isCapacityRefusal(err) {
		e.deps.TurnedAway.Refused(time.Now(), pool)
	}
}

// capacityReasons are refusals that more servers would have spared.
var capacityReasons = []verdict.Reason{
	verdict.ReasonOverloaded, verdict.ReasonNoRoom, verdict.ReasonDeadlineUnreachable,
}

func isCapacityRefusal(err error) bool {
	refusal, ok := verdict.As(err)
	return ok && slices.Contains(capacityReasons, refusal.Reason)
}

// readWhole holds an answer until its closing frame has confirmed length and checksum, so that
// a caller never receives part of an answer under a good status.
func readWhole(opened *peer.Answer[request.AnswerEnd]) (wholeAnswer, error) {
	answer := wholeAnswer{Status: opened.Head().Status, Header: returnHeaders(opened.Head().Header)}
	for {
		chunk, err := opened.Next()
		answer.Body = append(answer.Body, chunk...)
		if errors.Is(err, io.EOF) {
			return answer, nil
		}
		if err != nil {
			return wholeAnswer{}, err
		}
		if len(answer.Body) > maxAnswerBytes {
			return wholeAnswer{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonAnswerTooLarge, 0, "the answer is longer than %d bytes", maxAnswerBytes)
		}
	}
}

func sendWhole(c fiber.Ctx, answer wholeAnswer) error {
	for _, field := range answer.Header {
		c.Set(field.Name, field.Value)
	}
	return c.Status(answer.Status).Send(answer.Body)
}

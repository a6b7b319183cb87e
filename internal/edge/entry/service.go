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

// maxAnswerBytes bounds a service's answer, which is buffered in full before any of it is sent to the caller.
const maxAnswerBytes = 64 << 20

// idempotentMethods are the methods that HTTP defines as idempotent.
var idempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace,
}

// bufferedAnswer is the complete answer of a service.
type bufferedAnswer struct {
	Status int                   `json:"status"`
	Header []request.HeaderField `json:"header"`
	Body   []byte                `json:"body"`
}

// service forwards a call to a service pool and returns the complete answer or a refusal.
func (e *Entry) service(c fiber.Ctx) error {
	from, err := e.authenticate(c)
	if err != nil {
		return err
	}
	pool, err := e.servicePool(c.Params("pool"), from)
	if err != nil {
		return err
	}
	message, err := e.serviceMessage(c, from)
	if err != nil {
		return err
	}
	end, err := e.acceptedDeadline(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Context(), end)
	defer cancel()
	serviceCall := call{
		organisation: from.organisation.Name,
		keyHash:      from.keyHash,
		pool:         pool,
		idempotent:   isIdempotent(pool, message),
		cost:         1,
		message:      func() request.Execute { return message },
	}
	key := c.Get(headerIdempotencyKey)
	if !needsRecord(serviceCall, key) {
		defer callerconn.CancelOnHangup(c.RequestCtx().Conn(), cancel)()
	}
	answer, err := e.runOnce(ctx, serviceCall, message, key)
	if err != nil {
		return err
	}
	return sendAnswer(c, answer)
}

func (e *Entry) servicePool(name string, from caller) (ticket.Pool, error) {
	pool, ok := e.deps.Views.View().Pool(name)
	if !ok || pool.Kind != ticket.KindService {
		return ticket.Pool{}, verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0, "no plain service named %q", name)
	}
	return pool, permit(from, pool)
}

func (e *Entry) serviceMessage(c fiber.Ctx, from caller) (request.Execute, error) {
	containsKey := e.newKeyMatcher(from)
	query, err := forwardQuery(string(c.Request().URI().QueryString()), containsKey)
	if err != nil {
		return request.Execute{}, err
	}
	path, err := forwardPath(string(c.Request().URI().PathOriginal()), containsKey)
	if err != nil {
		return request.Execute{}, err
	}
	body := slices.Clone(c.BodyRaw())
	if err := refuseKeyInContent(string(body), containsKey); err != nil {
		return request.Execute{}, err
	}
	return request.Execute{
		Method: c.Method(),
		Path:   path,
		Query:  query,
		Header: forwardHeaders(c, containsKey),
		Body:   body,
	}, nil
}

// isIdempotent reports whether the call may be repeated, by its method or by the pool's list of paths. It compares the
// path as received: an escaped spelling of a listed path doesn't match.
func isIdempotent(pool ticket.Pool, message request.Execute) bool {
	if slices.Contains(idempotentMethods, message.Method) {
		return true
	}
	return slices.ContainsFunc(pool.IdempotentPaths, func(listed string) bool {
		rest, ok := strings.CutPrefix(message.Path, strings.TrimSuffix(listed, "/"))
		return ok && (rest == "" || rest[0] == '/')
	})
}

// needsRecord reports whether the outcome of the call is stored for repeats under the same key.
//
// Such a call isn't cancelled when its caller hangs up but runs until its deadline: the first run can't be stopped at
// the backend server, and if it were given up, a repeat could not get its answer.
func needsRecord(c call, key string) bool { return key != "" && !c.idempotent }

// runOnce runs the call, under the caller's idempotency key if the call needs a record.
func (e *Entry) runOnce(ctx context.Context, c call, message request.Execute, key string) (bufferedAnswer, error) {
	if !needsRecord(c, key) {
		return e.runBuffered(ctx, c)
	}
	return e.deduplicator.runOnce(ctx, c, message, key, func() (bufferedAnswer, error) { return e.runBuffered(ctx, c) })
}

// runBuffered admits and runs the call and returns its complete answer.
func (e *Entry) runBuffered(ctx context.Context, c call) (bufferedAnswer, error) {
	var answer bufferedAnswer
	err := e.runAdmitted(ctx, c, func() error {
		return e.deps.Dispatcher.run(ctx, c, func(source *peer.Answer[request.AnswerEnd]) error {
			var err error
			answer, err = readAnswer(source)
			return err
		})
	})
	return answer, err
}

// runAdmitted runs work if admission accepts the call, and reports its outcome to admission, metrics and scaling.
func (e *Entry) runAdmitted(ctx context.Context, c call, work func() error) error {
	req := admission.Request{Organisation: c.organisation, Pool: c.pool.Name, KeyHash: c.keyHash, Cost: c.cost}
	if end, ok := ctx.Deadline(); ok {
		req.Remaining = time.Until(end)
	}
	started := time.Now()
	if err := e.deps.Admission.Admit(started, req); err != nil {
		e.countCapacityRefusal(c.pool.Name, err)
		return err
	}
	err := work()
	e.countCapacityRefusal(c.pool.Name, err)
	took := time.Since(started)
	e.deps.Admission.Done(time.Now(), req, took, isCapacityRefusal(err))
	if err == nil {
		e.deps.RefusedLoad.Served(c.pool.Name, took)
		e.metrics.answered(c.pool.Name, c.organisation, took)
	}
	return err
}

// countCapacityRefusal counts a refusal for lack of capacity, which the availability zone's scaling decision takes
// into account.
func (e *Entry) countCapacityRefusal(pool string, err error) {
	if isCapacityRefusal(err) {
		e.deps.RefusedLoad.Refused(time.Now(), pool)
	}
}

// capacityReasons are the refusals that more servers would have avoided.
var capacityReasons = []verdict.Reason{
	verdict.ReasonOverloaded, verdict.ReasonNoRoom, verdict.ReasonDeadlineUnreachable,
}

func isCapacityRefusal(err error) bool {
	refusal, ok := verdict.As(err)
	return ok && slices.Contains(capacityReasons, refusal.Reason)
}

// readAnswer buffers an answer until its closing frame confirms length and checksum, so that a caller never receives a
// partial answer with a success status.
func readAnswer(source *peer.Answer[request.AnswerEnd]) (bufferedAnswer, error) {
	answer := bufferedAnswer{Status: source.Head().Status, Header: returnHeaders(source.Head().Header)}
	for {
		chunk, err := source.Next()
		answer.Body = append(answer.Body, chunk...)
		if errors.Is(err, io.EOF) {
			return answer, nil
		}
		if err != nil {
			return bufferedAnswer{}, err
		}
		if len(answer.Body) > maxAnswerBytes {
			return bufferedAnswer{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonAnswerTooLarge, 0, "the answer is longer than %d bytes", maxAnswerBytes)
		}
	}
}

func sendAnswer(c fiber.Ctx, answer bufferedAnswer) error {
	for _, field := range answer.Header {
		c.Set(field.Name, field.Value)
	}
	return c.Status(answer.Status).Send(answer.Body)
}

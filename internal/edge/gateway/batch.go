package gateway

import (
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/platform"
)

// maxReadWait bounds how long a read of results is held back, whatever the trainer asks.
const maxReadWait = 5 * time.Second

// submit accepts a batch job.
func (g *Gateway) submit(c fiber.Ctx, a asked) error {
	if c.Method() != fiber.MethodPost {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "batch jobs are submitted by POST")
	}
	if a.caller.RequestID == "" {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "a batch job needs the id of its request")
	}
	submission, err := platform.ReadSubmission(c.Request().Body())
	if err != nil {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "%v", err)
	}
	job := &batch.Job{
		ID:           a.caller.RequestID,
		Organisation: a.organisation.Name,
		Accepted:     a.arrived.Round(0),
		Terms: batch.Terms{
			Pool:           a.pool(),
			Host:           string(c.Request().Host()),
			MaxAttempts:    a.route.MaxAttempts,
			ItemTimeout:    a.route.ItemTimeout,
			ResultDeadline: a.route.ResultDeadline,
			SingleVersion:  a.route.SingleVersion,
		},
		Submission: submission,
	}
	if err := g.deps.Jobs.Submit(c.Context(), job); err != nil {
		return err
	}
	platform.EchoRequestID(&c.Response().Header, a.caller.RequestID)
	g.deps.Metrics.answered(a.route.Kind, time.Since(a.arrived))
	return c.SendStatus(fiber.StatusAccepted)
}

// batch answers a call on an accepted job.
//
// Guard: the routes don't decide whether a job exists. Its route may have been dropped after its acceptance, or not be known here yet, and its
// trainer would be told that the job isn't there.
func (g *Gateway) batch(c fiber.Ctx, a asked, call platform.BatchCall) error {
	organisation, ok := a.table.Organisation(a.caller.Key)
	if !ok {
		return unknownKey()
	}
	platform.EchoRequestID(&c.Response().Header, a.caller.RequestID)
	switch call.Operation {
	case platform.BatchRead:
		return g.readResults(c, a, call, organisation.Name)
	case platform.BatchItem:
		body, err := g.deps.Jobs.Body(c.Context(), call.Job, organisation.Name, call.Item)
		if err != nil {
			return err
		}
		return c.Send(body)
	default:
		if err := g.deps.Jobs.End(c.Context(), call.Job, organisation.Name); err != nil {
			return err
		}
		return c.SendStatus(fiber.StatusOK)
	}
}

// maxTextBytes bounds the text of one answer of results; quotation and names take the rest.
const maxTextBytes = platform.MaxResultBytes * 9 / 10

func (g *Gateway) readResults(c fiber.Ctx, a asked, call platform.BatchCall, organisation string) error {
	wait := min(a.caller.Wait, maxReadWait)
	total, results, err := g.deps.Jobs.Results(c.Context(), call.Job, organisation, call.From, wait, maxTextBytes)
	if err != nil {
		return err
	}
	body, err := platform.EncodeResults(total, call.From, results)
	if err != nil {
		return errors.Wrapf(err, "job %s", call.Job)
	}
	g.deps.Log.Debug().Str("request", call.Job).Int("from", call.From).Int("results", len(results)).Int("total", total).Msg("results read")
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

package gateway

import (
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/earlystart"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/platform"
)

// maxReadWait bounds how long a read of results may wait for new results, whatever wait the trainer asks for.
const maxReadWait = 5 * time.Second

// submissionBytes is the memory for decoding a submission and encoding it for the store.
const submissionBytes = 4 * earlystart.MaxStoredBytes

// submitJob accepts a batch job and answers with status 202.
func (g *Gateway) submitJob(c fiber.Ctx, r callerRequest) error {
	if r.caller.RequestID == "" {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "a batch job needs the id of its request")
	}
	if err := callerconn.Hold(c.RequestCtx().Conn(), submissionBytes); err != nil {
		return callerconn.YieldRefusal()
	}
	submission, err := platform.ReadSubmission(r.body.Reader(), earlystart.MaxStoredBytes)
	switch {
	case errors.Is(err, platform.ErrSubmissionTooLarge):
		return verdict.Refuse(verdict.NotRun, verdict.ReasonTooLarge, 0, "%v", err)
	case err != nil:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "%v", err)
	}
	job := &batch.Job{
		ID:           r.caller.RequestID,
		Organisation: r.organisation.Name,
		Accepted:     r.arrived.Round(0),
		Terms: batch.Terms{
			Pool:           r.choosePool(),
			Host:           string(c.Request().Host()),
			MaxAttempts:    r.route.MaxAttempts,
			ItemTimeout:    r.route.ItemTimeout,
			ResultDeadline: r.route.ResultDeadline,
			SingleVersion:  r.route.SingleVersion,
			Regions:        r.regions(),
		},
		Submission: submission,
	}
	if err := g.deps.Jobs.Submit(c.Context(), job); err != nil {
		return err
	}
	platform.EchoRequestID(&c.Response().Header, r.caller.RequestID)
	g.deps.Metrics.observeLatency(r.route.Kind, time.Since(r.arrived))
	return c.SendStatus(fiber.StatusAccepted)
}

// handleBatchCall answers a call on an accepted job.
//
// The call is not matched against the routes: the job's route may have been removed since the job was accepted, or may not be known here
// yet, and the trainer would get the wrong answer that the job does not exist.
func (g *Gateway) handleBatchCall(c fiber.Ctx, r callerRequest, call platform.BatchCall) error {
	organisation, ok := r.table.Organisation(r.caller.Key)
	if !ok {
		return unknownKeyRefusal()
	}
	platform.EchoRequestID(&c.Response().Header, r.caller.RequestID)
	switch call.Operation {
	case platform.BatchRead:
		return g.readResults(c, r, call, organisation.Name)
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

// maxTextBytes bounds the result texts in one answer; the rest of MaxResultBytes is for JSON quoting and field names.
const maxTextBytes = platform.MaxResultBytes * 9 / 10

func (g *Gateway) readResults(c fiber.Ctx, r callerRequest, call platform.BatchCall, organisation string) error {
	wait := min(r.caller.Wait, maxReadWait)
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

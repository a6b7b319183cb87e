package trainer

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

type stepReply struct {
	Step    int `json:"step"`
	Samples int `json:"samples"`
	Batches int `json:"batches"`
}

// modelVersionBody is the request and response body of modelVersions.
type modelVersionBody struct {
	Version int    `json:"version"`
	Weights string `json:"weights"`
}

// batchReply is the response body of a batch. Its bytes depend only on the manifest and the contents, so that a
// repeated request gets the same bytes from any host.
type batchReply struct {
	Job          string        `json:"job"`
	Step         int           `json:"step"`
	Batch        int           `json:"batch"`
	ModelVersion int           `json:"modelVersion"`
	Last         bool          `json:"last"`
	Samples      []sampleReply `json:"samples"`
}

type sampleReply struct {
	delivery.Content
	Score float64 `json:"score"`
}

// newRequestMessage converts a request into an event for the job's state machine. Errors are refusals.
func (c *Coordinator) newRequestMessage(request ForwardedRequest) (requestMessage, error) {
	message := requestMessage{
		id:      delivery.TrainerRequestID(c.lastRequestID.Add(1)),
		answers: make(chan delivery.Result, 1),
	}
	cursor, err := c.cursor(request.Cursor)
	if err != nil {
		return requestMessage{}, err
	}
	switch request.Action {
	case ActionStep:
		return c.newStepRequest(message, request, cursor)
	case ActionBatch:
		message.event = delivery.BatchRequested{ID: message.id, Step: request.Step, Batch: request.Batch, Cursor: cursor}
		return message, nil
	case ActionModelVersion:
		return newVersionRequest(message, request, cursor)
	}
	return requestMessage{}, refusalBadRequest("action %q is unknown", request.Action)
}

func (c *Coordinator) cursor(text string) (*delivery.Cursor, error) {
	if text == "" {
		return nil, nil
	}
	cursor, err := delivery.ParseCursor(c.deps.Secret, text)
	if err != nil {
		return nil, refusalBadRequest("%v", err)
	}
	return &cursor, nil
}

func (c *Coordinator) newStepRequest(message requestMessage, request ForwardedRequest, cursor *delivery.Cursor) (requestMessage, error) {
	plan, err := delivery.ParsePlan(request.Body)
	if err != nil {
		return requestMessage{}, refusalBadRequest("%v", err)
	}
	body, digest, err := plan.Encode()
	if err != nil {
		return requestMessage{}, err
	}
	job, _ := c.deps.View().TrainerJob(request.Job)
	message.body = body
	message.digest = digest
	message.event = delivery.StepRequested{
		ID:         message.id,
		Step:       request.Step,
		Digest:     digest,
		GroupSizes: plan.GroupSizes(),
		BatchSize:  max(1, job.BatchSize),
		Chunks:     chunkCount(body),
		Cursor:     cursor,
	}
	return message, nil
}

func newVersionRequest(message requestMessage, request ForwardedRequest, cursor *delivery.Cursor) (requestMessage, error) {
	var body modelVersionBody
	if err := decodeStrictly(request.Body, &body); err != nil {
		return requestMessage{}, refusalBadRequest("model version: %v", err)
	}
	if body.Version < 1 {
		return requestMessage{}, refusalBadRequest("model version: version %d is not above 0", body.Version)
	}
	message.event = delivery.VersionRequested{
		ID: message.id, Version: body.Version, Weights: body.Weights, Cursor: cursor,
	}
	return message, nil
}

// reply encodes a response body and signs its cursor, if there is one.
func (c *Coordinator) reply(body any, cursor *delivery.Cursor) (Reply, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Reply{}, errors.Wrap(err, "trainer's answer")
	}
	reply := Reply{Status: http.StatusOK, Body: raw}
	if cursor == nil {
		return reply, nil
	}
	reply.Cursor, err = cursor.Sign(c.deps.Secret)
	return reply, err
}

// replyVersion publishes a version that is already stored in the job object. If the publication fails, it is
// repeated when the trainer posts the version again.
func (c *Coordinator) replyVersion(ctx context.Context, name string, e delivery.VersionAccepted) (Reply, error) {
	job, _ := c.deps.View().TrainerJob(name)
	version := ticket.ModelVersion{Model: job.Model, Version: e.Version, Weights: e.Weights}
	if err := c.deps.PublishModelVersion(ctx, version); err != nil {
		refusal := *verdict.From(err)
		refusal.Verdict = verdict.MayHaveRun
		return Reply{}, &refusal
	}
	return c.reply(modelVersionBody{Version: e.Version, Weights: e.Weights}, e.Cursor)
}

// replyBatch assembles a batch from the sample contents on this and other hosts.
func (c *Coordinator) replyBatch(ctx context.Context, r *runner, e delivery.BatchReady) (Reply, error) {
	contents, err := c.gatherContents(ctx, r.job, e.Step, e.Manifest)
	if err != nil {
		r.post(ctx, contentMissingMessage{step: e.Step, batch: e.Manifest.Batch})
		return Reply{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonSamplesLost,
			retryInterval, "batch %d: %v", e.Manifest.Batch, err)
	}
	if e.ManifestUnwritten {
		e.Cursor.ManifestLocation = c.storeManifest(ctx, r.job, e.Step, e.Manifest)
	}
	body := batchReply{
		Job:          r.job,
		Step:         e.Step,
		Batch:        e.Manifest.Batch,
		ModelVersion: e.Manifest.ModelVersion,
		Last:         e.Manifest.Last,
	}
	for _, ref := range e.Manifest.SampleRefs {
		sample := sampleReply{Score: ref.Score}
		if err := json.Unmarshal(contents[ref.Digest].Raw, &sample.Content); err != nil {
			return Reply{}, errors.Wrapf(err, "content %s", ref.Digest)
		}
		body.Samples = append(body.Samples, sample)
	}
	c.metrics.batchAnswered(r.job)
	return c.reply(body, &e.Cursor)
}

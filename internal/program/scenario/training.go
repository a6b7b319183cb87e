package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const headerCursor = "Delivery-Cursor"

// stepGroup is a prompt and the number of samples to generate for it.
type stepGroup struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// stepBody is the request body of a step.
type stepBody struct {
	Groups    []stepGroup `json:"groups"`
	MaxTokens int         `json:"maxTokens"`
}

// trainerBatch contains the fields of a batch that a trainer reads.
type trainerBatch struct {
	Last    bool `json:"last"`
	Samples []struct {
		ID    string        `json:"sampleId"`
		Spans []VersionSpan `json:"spans"`
	} `json:"samples"`
}

// runStep posts a step, fetches all of its batches and records the result.
func (r *Runner) runStep(ctx context.Context, number int) error {
	started := time.Now()
	path := fmt.Sprintf("/v1/trainerJobs/%s/steps/%d", r.deployment.Job, number)
	if err := r.postStep(ctx, path, number); err != nil {
		return err
	}
	result := StepResult{Step: number, RepeatIdentical: true}
	deliveries := map[string]int{}
	cursor := ""
	for last := false; !last; {
		result.Batches++
		batch, next, identical, err := r.fetchBatchTwice(ctx, fmt.Sprintf("%s/batches/%d", path, result.Batches), cursor)
		if err != nil {
			return err
		}
		cursor, last = next, batch.Last
		result.RepeatIdentical = result.RepeatIdentical && identical
		for _, sample := range batch.Samples {
			deliveries[sample.ID]++
			for _, span := range sample.Spans {
				result.Versions = addVersion(result.Versions, span.Version)
			}
		}
	}
	result.Samples = len(deliveries)
	result.Missing = groupsPerStep*samplesPerGroup - len(deliveries)
	for _, count := range deliveries {
		if count > 1 {
			result.Duplicates++
		}
	}
	r.transcript.Steps = append(r.transcript.Steps, result)
	r.logf("step %d: %d samples in %d batches, each once, by weight versions %v, took %v",
		number, result.Samples, result.Batches, result.Versions, time.Since(started).Round(time.Millisecond))
	return nil
}

// postStep posts the step until it is accepted.
func (r *Runner) postStep(ctx context.Context, path string, number int) error {
	body := stepBody{MaxTokens: sampleTokens}
	for group := range groupsPerStep {
		body.Groups = append(body.Groups, stepGroup{
			Prompt:  fmt.Sprintf("%s step %d prompt %d", r.deployment.Job, number, group),
			Samples: samplesPerGroup,
		})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, path)
	}
	return waitUntil(ctx, "step to be accepted", batchTimeout, func(ctx context.Context) (bool, error) {
		_, err := decode[json.RawMessage](r.entry.send(ctx, http.MethodPost, path, raw, r.authorization(r.deployment.Trainer)...))
		return err == nil, err
	})
}

// fetchBatchTwice fetches a batch twice, as a trainer that lost the first response would. It returns the batch, the next
// cursor and whether both responses are identical.
func (r *Runner) fetchBatchTwice(ctx context.Context, path, cursor string) (batch trainerBatch, next string, identical bool, err error) {
	first, err := r.fetchBatch(ctx, path, cursor)
	if err != nil {
		return batch, "", false, err
	}
	repeat, err := r.fetchBatch(ctx, path, cursor)
	if err != nil {
		return batch, "", false, err
	}
	err = errors.Wrap(json.Unmarshal(first.Body, &batch), path)
	return batch, first.Header[headerCursor], bytes.Equal(first.Body, repeat.Body), err
}

// fetchBatch requests a batch until it is delivered.
func (r *Runner) fetchBatch(ctx context.Context, path, cursor string) (httpResponse, error) {
	header := r.authorization(r.deployment.Trainer)
	if cursor != "" {
		header = append(header, headerCursor, cursor)
	}
	var response httpResponse
	err := waitUntil(ctx, "batch", batchTimeout, func(ctx context.Context) (bool, error) {
		var err error
		response, err = r.entry.send(ctx, http.MethodGet, path, nil, header...)
		if err == nil && response.Status != http.StatusOK {
			err = errors.Errorf("%s: status %d: %s", path, response.Status, response.Body)
		}
		return err == nil, err
	})
	return response, err
}

// publishWeights publishes version 2 of the model and waits until a generation uses only this version.
func (r *Runner) publishWeights(ctx context.Context) error {
	sent := time.Now()
	path := "/v1/trainerJobs/" + r.deployment.Job + "/modelVersions"
	body := fmt.Sprintf(`{"version":2,"weights":"%s/2"}`, r.deployment.Model)
	err := waitUntil(ctx, "model version to be accepted", versionTimeout, func(ctx context.Context) (bool, error) {
		_, err := decode[json.RawMessage](r.entry.send(ctx, http.MethodPost, path, []byte(body), r.authorization(r.deployment.Trainer)...))
		return err == nil, err
	})
	if err != nil {
		return err
	}
	err = waitUntil(ctx, "new weights to be served", versionTimeout, func(ctx context.Context) (bool, error) {
		generation, err := decode[Generation](r.entry.send(ctx, http.MethodPost, "/v1/models/"+r.deployment.Model+"/generate",
			[]byte(`{"prompt":"which weights?","maxTokens":2}`), r.authorization(r.deployment.Trainer)...))
		if err != nil {
			return false, err
		}
		found := spanVersions(generation.Spans)
		return len(found) == 1 && found[0] == 2, nil
	})
	r.logf("new weights were served %v after they were published", time.Since(sent).Round(time.Millisecond))
	return err
}

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

// stepGroup is a prompt with the number of samples wanted.
type stepGroup struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// stepBody is the body that a trainer posts.
type stepBody struct {
	Groups    []stepGroup `json:"groups"`
	MaxTokens int         `json:"maxTokens"`
}

// batchSeen is one batch as a trainer reads it.
type batchSeen struct {
	Last    bool `json:"last"`
	Samples []struct {
		ID    string     `json:"sampleId"`
		Spans []SpanSeen `json:"spans"`
	} `json:"samples"`
}

// step posts a step and takes all of its batches.
func (p *Player) step(ctx context.Context, number int) error {
	started := time.Now()
	path := fmt.Sprintf("/v1/trainerJobs/%s/steps/%d", p.deployment.Job, number)
	if err := p.postStep(ctx, path, number); err != nil {
		return err
	}
	seen := StepSeen{Step: number, RepeatSame: true}
	times := map[string]int{}
	cursor := ""
	for last := false; !last; {
		seen.Batches++
		batch, next, same, err := p.batch(ctx, fmt.Sprintf("%s/batches/%d", path, seen.Batches), cursor)
		if err != nil {
			return err
		}
		cursor, last = next, batch.Last
		seen.RepeatSame = seen.RepeatSame && same
		for _, sample := range batch.Samples {
			times[sample.ID]++
			for _, span := range sample.Spans {
				seen.Versions = addVersion(seen.Versions, span.Version)
			}
		}
	}
	seen.Samples = len(times)
	seen.Missing = groupsPerStep*samplesPerGroup - len(times)
	for _, count := range times {
		if count > 1 {
			seen.Twice++
		}
	}
	p.seen.Steps = append(p.seen.Steps, seen)
	p.tell("step %d: %d samples in %d batches, each once, by weight versions %v, in %v",
		number, seen.Samples, seen.Batches, seen.Versions, time.Since(started).Round(time.Millisecond))
	return nil
}

func (p *Player) postStep(ctx context.Context, path string, number int) error {
	body := stepBody{MaxTokens: sampleTokens}
	for group := range groupsPerStep {
		body.Groups = append(body.Groups, stepGroup{
			Prompt:  fmt.Sprintf("%s step %d prompt %d", p.deployment.Job, number, group),
			Samples: samplesPerGroup,
		})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, path)
	}
	return until(ctx, "step taken", batchLimit, func(ctx context.Context) (bool, error) {
		_, err := decode[json.RawMessage](p.entry.do(ctx, http.MethodPost, path, raw, p.bearer(p.deployment.Trainer)...))
		return err == nil, err
	})
}

// batch takes one batch twice, as a trainer that lost the first answer would.
func (p *Player) batch(ctx context.Context, path, cursor string) (batch batchSeen, next string, same bool, err error) {
	first, err := p.takeBatch(ctx, path, cursor)
	if err != nil {
		return batch, "", false, err
	}
	again, err := p.takeBatch(ctx, path, cursor)
	if err != nil {
		return batch, "", false, err
	}
	err = errors.Wrap(json.Unmarshal(first.Body, &batch), path)
	return batch, first.Header[headerCursor], bytes.Equal(first.Body, again.Body), err
}

func (p *Player) takeBatch(ctx context.Context, path, cursor string) (httpAnswer, error) {
	header := p.bearer(p.deployment.Trainer)
	if cursor != "" {
		header = append(header, headerCursor, cursor)
	}
	var answer httpAnswer
	err := until(ctx, "batch", batchLimit, func(ctx context.Context) (bool, error) {
		var err error
		answer, err = p.entry.do(ctx, http.MethodGet, path, nil, header...)
		if err == nil && answer.Status != http.StatusOK {
			err = errors.Errorf("%s answered %d: %s", path, answer.Status, answer.Body)
		}
		return err == nil, err
	})
	return answer, err
}

// changeWeights publishes version 2 and waits until a generation is made by it alone.
func (p *Player) changeWeights(ctx context.Context) error {
	sent := time.Now()
	path := "/v1/trainerJobs/" + p.deployment.Job + "/modelVersions"
	body := fmt.Sprintf(`{"version":2,"weights":"%s/2"}`, p.deployment.Model)
	err := until(ctx, "model version taken", versionLimit, func(ctx context.Context) (bool, error) {
		_, err := decode[json.RawMessage](p.entry.do(ctx, http.MethodPost, path, []byte(body), p.bearer(p.deployment.Trainer)...))
		return err == nil, err
	})
	if err != nil {
		return err
	}
	err = until(ctx, "new weights serve", versionLimit, func(ctx context.Context) (bool, error) {
		generation, err := decode[GenerationSeen](p.entry.do(ctx, http.MethodPost, "/v1/models/"+p.deployment.Model+"/generate",
			[]byte(`{"prompt":"which weights?","maxTokens":2}`), p.bearer(p.deployment.Trainer)...))
		if err != nil {
			return false, err
		}
		found := versions(generation.Spans)
		return len(found) == 1 && found[0] == 2, nil
	})
	p.tell("new weights served %v after they were published", time.Since(sent).Round(time.Millisecond))
	return err
}

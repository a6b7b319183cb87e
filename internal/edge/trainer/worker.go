package trainer

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

const (
	// copyTimeout and scoreTimeout limit one try. The sample is retried after retryDelay.
	copyTimeout  = 5 * time.Second
	scoreTimeout = 30 * time.Second
)

var errInvalidScore = errors.New("score")

// maxTokens returns the lower one of the limits of the plan and of the job. 0 means that a limit is not set.
func (r *runner) maxTokens() int {
	job, _ := r.deps.View().TrainerJob(r.job)
	switch {
	case r.plan.MaxTokens == 0:
		return job.MaxTokens
	case job.MaxTokens == 0:
		return r.plan.MaxTokens
	}
	return min(r.plan.MaxTokens, job.MaxTokens)
}

func (r *runner) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-r.tasks:
			tokens, err := r.process(ctx, &t)
			r.post(ctx, taskDoneMessage{task: t, failed: err != nil, tokens: tokens})
		}
	}
}

// process generates, copies and scores a sample, starting from the task's stage. It returns the number of tokens generated
// so far, also on error.
func (r *runner) process(ctx context.Context, t *task) (int, error) {
	tokens := 0
	if t.stage == delivery.StatePending {
		generated, err := r.generate(ctx, t)
		if err != nil {
			return len(generated), err
		}
		tokens = len(generated)
	}
	if t.stage != delivery.StateCopied {
		if err := r.copySample(ctx, t); err != nil {
			t.stage = delivery.StateGenerated
			return tokens, err
		}
	}
	t.stage = delivery.StateCopied
	return tokens, r.score(ctx, t)
}

func (r *runner) generate(ctx context.Context, t *task) ([]Token, error) {
	tokens, err := r.deps.Generator.Generate(t.ctx, t.request)
	message := generatedMessage{task: *t, tokens: tokens, err: err}
	if err == nil {
		message.err = r.storeContent(t, tokens)
		message.digest = t.encoded.Digest
	}
	if err == nil && message.err != nil {
		// A complete sample must not be used as a prefix: if it were resumed, it would grow past its end.
		message.tokens = nil
	}
	r.post(ctx, message)
	return message.tokens, message.err
}

// storeContent encodes the content of the sample and stores it on this host.
func (r *runner) storeContent(t *task, tokens []Token) error {
	t.content = delivery.Content{
		SampleID: delivery.SampleID{Job: r.job, Step: t.attempt.Step, Group: t.group, Index: t.index}.String(),
		Group:    t.group,
		Index:    t.index,
		Prompt:   t.request.Prompt,
		Text:     delivery.Text(tokens),
		Spans:    delivery.Spans(tokens),
	}
	raw, digest, err := t.content.Encode()
	if err != nil {
		return err
	}
	t.encoded = EncodedSample{Step: t.attempt.Step, Digest: digest, Raw: raw}
	return r.contentStore.put(r.job, t.encoded)
}

func (r *runner) copySample(ctx context.Context, t *task) error {
	var host netip.AddrPort
	if r.deps.Copier != nil {
		copying, cancel := context.WithTimeout(t.ctx, copyTimeout)
		defer cancel()
		confirmed, err := r.deps.Copier.Copy(copying, r.job, t.encoded)
		if err != nil && !t.withoutCopy {
			return errors.Wrap(err, t.name)
		}
		if err != nil {
			r.metrics.notCopied(r.job)
		}
		host = confirmed
	}
	r.post(ctx, eventMessage{t.activation, delivery.SampleCopied{Attempt: t.attempt, Host: host}})
	return nil
}

func (r *runner) score(ctx context.Context, t *task) error {
	value := 0.0
	if t.pool != "" {
		scored, err := r.requestScore(t)
		if err != nil {
			r.metrics.scoringFailed(r.job)
			return err
		}
		value = scored
	}
	r.post(ctx, eventMessage{t.activation, delivery.SampleScored{Attempt: t.attempt, Score: value}})
	return nil
}

func (r *runner) requestScore(t *task) (float64, error) {
	ctx, cancel := context.WithTimeout(t.ctx, scoreTimeout)
	defer cancel()
	request := ScoreRequest{SampleID: t.name, Prompt: t.content.Prompt, Text: t.content.Text}
	scores, err := r.deps.Scorer.Score(ctx, t.pool, t.request.Organisation, []ScoreRequest{request})
	if err != nil {
		return 0, errors.Wrap(err, t.name)
	}
	for _, score := range scores {
		// A scorer's response may hold scores of other samples, so only the score of this sample counts.
		if score.SampleID != t.name {
			continue
		}
		if math.IsNaN(score.Value) || math.IsInf(score.Value, 0) {
			return 0, errors.Wrapf(errInvalidScore, "sample %s: %v", t.name, score.Value)
		}
		return score.Value, nil
	}
	return 0, errors.Wrapf(errInvalidScore, "sample %s: no score in the response", t.name)
}

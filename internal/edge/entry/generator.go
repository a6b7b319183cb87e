package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/trainer"
)

// SampleGenerator generates and scores the samples of trainer jobs through the same placement as callers'
// requests. Its requests run under a key that the organisation holds at that moment, so that agents stop
// the samples of an organisation whose last key was withdrawn.
type SampleGenerator struct {
	dispatcher *Dispatcher
	view       func() *ticket.View
	// running holds the first run of each sample in work, by sample id.
	running sync.Map
}

// sampleRun is what a second run of a sample needs to know of the first.
type sampleRun struct {
	hostID atomic.Pointer[string]
	tokens atomic.Pointer[[]backendserver.Token]
}

// NewSampleGenerator returns a generator over the dispatcher.
func NewSampleGenerator(d *Dispatcher, view func() *ticket.View) *SampleGenerator {
	return &SampleGenerator{dispatcher: d, view: view}
}

// Generate runs one sample; it is idempotent by sample id. With an error it returns the tokens so far.
func (s *SampleGenerator) Generate(ctx context.Context, ask trainer.GenerateRequest) ([]trainer.Token, error) {
	pool, ok := s.view().ModelPool(ask.Model)
	if !ok {
		return ask.Resume, noServer(ask.Model)
	}
	keyHash, err := s.keyHash(ask.Organisation)
	if err != nil {
		return ask.Resume, err
	}
	first := s.firstRun(ask)
	g := newGeneration(ask.Prompt, ask.MaxTokens, 0, resumeFrom(ask, first))
	g.sampleID = ask.SampleID
	began := false
	g.onToken = func(token backendserver.Token) error {
		if !began && ask.Began != nil {
			ask.Began(token.Version)
		}
		began = true
		if !ask.Hedge {
			tokens := g.tokens
			first.tokens.Store(&tokens)
		}
		if ask.Progress != nil {
			ask.Progress(len(g.tokens))
		}
		return nil
	}
	if !ask.Hedge {
		defer s.running.Delete(ask.SampleID)
	}
	err = s.dispatcher.run(ctx, call{
		avoid: avoid(ask, first),
		placed: func(hostID string) {
			if !ask.Hedge {
				first.hostID.Store(&hostID)
			}
		},
		organisation: ask.Organisation,
		keyHash:      keyHash,
		pool:         pool,
		prefix:       backendserver.PrefixHash(ask.Prompt),
		idempotent:   true,
		priority:     request.PriorityBulk,
		cost:         float64(ask.MaxTokens),
		message:      g.message,
	}, g.consume)
	return sampleTokens(g.tokens), err
}

// firstRun returns the sample's first run, which this call is unless it is a hedge.
func (s *SampleGenerator) firstRun(ask trainer.GenerateRequest) *sampleRun {
	run := &sampleRun{}
	if !ask.Hedge {
		s.running.Store(ask.SampleID, run)
		return run
	}
	if known, ok := s.running.Load(ask.SampleID); ok {
		return known.(*sampleRun)
	}
	return run
}

// resumeFrom returns the tokens to go on from: a straggler's second run need not make again what the first has.
func resumeFrom(ask trainer.GenerateRequest, first *sampleRun) []backendserver.Token {
	resume := engineTokens(ask.Resume)
	if tokens := first.tokens.Load(); ask.Hedge && tokens != nil && len(*tokens) > len(resume) {
		return slices.Clone(*tokens)
	}
	return resume
}

// avoid returns the host of a straggler's first run, so that the second goes elsewhere.
func avoid(ask trainer.GenerateRequest, first *sampleRun) []string {
	if hostID := first.hostID.Load(); ask.Hedge && hostID != nil {
		return []string{*hostID}
	}
	return nil
}

// keyHash returns the hash of a key that the organisation holds now.
func (s *SampleGenerator) keyHash(name string) (string, error) {
	organisation, ok := s.view().Organisation(name)
	if !ok || len(organisation.KeyHashes) == 0 {
		return "", verdict.Refuse(verdict.NotRun, verdict.ReasonKeyWithdrawn, 0, "organisation %s holds no key", name)
	}
	return organisation.KeyHashes[0], nil
}

func engineTokens(tokens []trainer.Token) []backendserver.Token {
	converted := make([]backendserver.Token, 0, len(tokens))
	for _, token := range tokens {
		converted = append(converted, backendserver.Token{Text: token.Text, Version: token.Version})
	}
	return converted
}

func sampleTokens(tokens []backendserver.Token) []trainer.Token {
	converted := make([]trainer.Token, 0, len(tokens))
	for _, token := range tokens {
		converted = append(converted, trainer.Token{Text: token.Text, Version: token.Version})
	}
	return converted
}

// Score asks the scoring pool; the call is idempotent.
func (s *SampleGenerator) Score(ctx context.Context, poolName, organisation string, samples []trainer.ScoreRequest) ([]trainer.Score, error) {
	pool, ok := s.view().Pool(poolName)
	if !ok {
		return nil, noServer(poolName)
	}
	keyHash, err := s.keyHash(organisation)
	if err != nil {
		return nil, err
	}
	asks := make([]backendserver.ScoreRequest, 0, len(samples))
	for _, sample := range samples {
		asks = append(asks, backendserver.ScoreRequest{SampleID: sample.SampleID, Prompt: sample.Prompt, Text: sample.Text})
	}
	body, err := json.Marshal(asks)
	if err != nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.ReasonDefect, 0, "encode scores: %v", err)
	}
	var answer wholeAnswer
	err = s.dispatcher.run(ctx, call{
		organisation: organisation,
		keyHash:      keyHash,
		pool:         pool,
		idempotent:   true,
		priority:     request.PriorityBulk,
		cost:         1,
		message: func() request.Execute {
			return request.Execute{
				Method: http.MethodPost,
				Path:   backendserver.PathScore,
				Header: []request.HeaderField{{Name: fiber.HeaderContentType, Value: fiber.MIMEApplicationJSON}},
				Body:   body,
			}
		},
	}, func(opened *peer.Answer[request.AnswerEnd]) error {
		var err error
		answer, err = readWhole(opened)
		return err
	})
	if err != nil {
		return nil, err
	}
	return readScores(answer)
}

func readScores(answer wholeAnswer) ([]trainer.Score, error) {
	var scores []backendserver.Score
	if err := json.Unmarshal(answer.Body, &scores); err != nil || answer.Status != http.StatusOK {
		return nil, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, noServerRetry, "the scoring service answered %d", answer.Status)
	}
	converted := make([]trainer.Score, 0, len(scores))
	for _, score := range scores {
		converted = append(converted, trainer.Score{SampleID: score.SampleID, Value: score.Value})
	}
	return converted, nil
}

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

// SampleGenerator generates and scores the samples of trainer jobs through the same dispatcher as callers' requests.
// Each request carries a key hash that the organisation holds at that moment, so that agents stop the samples of an
// organisation whose last key was withdrawn.
type SampleGenerator struct {
	dispatcher *Dispatcher
	view       func() *ticket.View
	// running maps the IDs of running samples to their first *sampleRun.
	running sync.Map
}

// sampleRun is the state of a sample's first run that a hedged second run uses.
type sampleRun struct {
	hostID atomic.Pointer[string]
	tokens atomic.Pointer[[]backendserver.Token]
}

// NewSampleGenerator returns a generator that sends its requests through d.
func NewSampleGenerator(d *Dispatcher, view func() *ticket.View) *SampleGenerator {
	return &SampleGenerator{dispatcher: d, view: view}
}

// Generate generates one sample; it is idempotent by sample ID. With an error it returns the tokens so far.
func (s *SampleGenerator) Generate(ctx context.Context, req trainer.GenerateRequest) ([]trainer.Token, error) {
	pool, ok := s.view().ModelPool(req.Model)
	if !ok {
		return req.Resume, noServerRefusal(req.Model)
	}
	keyHash, err := s.keyHash(req.Organisation)
	if err != nil {
		return req.Resume, err
	}
	first := s.firstRun(req)
	g := newGeneration(req.Prompt, req.MaxTokens, 0, resumeFrom(req, first))
	g.sampleID = req.SampleID
	firstTokenSeen := false
	g.onToken = func(token backendserver.Token) error {
		if !firstTokenSeen && req.OnFirstToken != nil {
			req.OnFirstToken(token.Version)
		}
		firstTokenSeen = true
		if !req.Hedge {
			tokens := g.tokens
			first.tokens.Store(&tokens)
		}
		if req.OnProgress != nil {
			req.OnProgress(len(g.tokens))
		}
		return nil
	}
	if !req.Hedge {
		defer s.running.Delete(req.SampleID)
	}
	err = s.dispatcher.run(ctx, call{
		excludedHosts: hostsToExclude(req, first),
		onPlaced: func(hostID string) {
			if !req.Hedge {
				first.hostID.Store(&hostID)
			}
		},
		organisation: req.Organisation,
		keyHash:      keyHash,
		pool:         pool,
		prefix:       backendserver.PrefixHash(req.Prompt),
		idempotent:   true,
		priority:     request.PriorityBulk,
		cost:         float64(req.MaxTokens),
		message:      g.message,
	}, g.consume)
	return sampleTokens(g.tokens), err
}

// firstRun returns the state of the sample's first run. It registers a new one unless the request is a hedge.
func (s *SampleGenerator) firstRun(req trainer.GenerateRequest) *sampleRun {
	run := &sampleRun{}
	if !req.Hedge {
		s.running.Store(req.SampleID, run)
		return run
	}
	if known, ok := s.running.Load(req.SampleID); ok {
		return known.(*sampleRun)
	}
	return run
}

// resumeFrom returns the tokens to resume from. A hedge continues from those of the first run if there are more of
// them.
func resumeFrom(req trainer.GenerateRequest, first *sampleRun) []backendserver.Token {
	resume := engineTokens(req.Resume)
	if tokens := first.tokens.Load(); req.Hedge && tokens != nil && len(*tokens) > len(resume) {
		return slices.Clone(*tokens)
	}
	return resume
}

// hostsToExclude returns the host of the first run if the request is a hedge, so that the hedge goes to another host.
func hostsToExclude(req trainer.GenerateRequest, first *sampleRun) []string {
	if hostID := first.hostID.Load(); req.Hedge && hostID != nil {
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

// Score scores samples at the scoring pool; the call is idempotent.
func (s *SampleGenerator) Score(ctx context.Context, poolName, organisation string, samples []trainer.ScoreRequest) ([]trainer.Score, error) {
	pool, ok := s.view().Pool(poolName)
	if !ok {
		return nil, noServerRefusal(poolName)
	}
	keyHash, err := s.keyHash(organisation)
	if err != nil {
		return nil, err
	}
	requests := make([]backendserver.ScoreRequest, 0, len(samples))
	for _, sample := range samples {
		requests = append(requests, backendserver.ScoreRequest{SampleID: sample.SampleID, Prompt: sample.Prompt, Text: sample.Text})
	}
	body, err := json.Marshal(requests)
	if err != nil {
		return nil, verdict.Refuse(verdict.NotRun, verdict.ReasonDefect, 0, "encode scores: %v", err)
	}
	var answer bufferedAnswer
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
	}, func(source *peer.Answer[request.AnswerEnd]) error {
		var err error
		answer, err = readAnswer(source)
		return err
	})
	if err != nil {
		return nil, err
	}
	return readScores(answer)
}

func readScores(answer bufferedAnswer) ([]trainer.Score, error) {
	var scores []backendserver.Score
	if err := json.Unmarshal(answer.Body, &scores); err != nil || answer.Status != http.StatusOK {
		return nil, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, unavailableRetryAfter,
			"the scoring service answered %d", answer.Status)
	}
	converted := make([]trainer.Score, 0, len(scores))
	for _, score := range scores {
		converted = append(converted, trainer.Score{SampleID: score.SampleID, Value: score.Value})
	}
	return converted, nil
}

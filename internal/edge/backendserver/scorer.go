package backendserver

import (
	"context"
	"net/http"
)

// Scorer is the client of one scoring service. It is safe for concurrent use.
type Scorer struct {
	caller
}

// NewScorer returns a client of the scoring service at the URL.
func NewScorer(base string, opts ...Option) *Scorer {
	return &Scorer{caller: newCaller(base, opts)}
}

// Score returns the scores in the order of the requests; asking again is harmless.
func (s *Scorer) Score(ctx context.Context, asks []ScoreRequest) ([]Score, error) {
	var scores []Score
	err := s.ask(ctx, http.MethodPost, PathScore, asks, &scores)
	return scores, err
}

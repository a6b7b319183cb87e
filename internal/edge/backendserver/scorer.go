package backendserver

import (
	"context"
	"net/http"
)

// Scorer is the client of one scoring service. It is safe for concurrent use.
type Scorer struct {
	baseClient
}

// NewScorer returns a client of the scoring service at the URL.
func NewScorer(baseURL string, opts ...Option) *Scorer {
	return &Scorer{baseClient: newBaseClient(baseURL, opts)}
}

// Score returns the scores in the order of the requests. The call is idempotent.
func (s *Scorer) Score(ctx context.Context, requests []ScoreRequest) ([]Score, error) {
	var scores []Score
	err := s.callJSON(ctx, http.MethodPost, PathScore, requests, &scores)
	return scores, err
}

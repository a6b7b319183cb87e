package weights

import (
	"cmp"
	"math"
	"slices"
)

// minMoveGain is the minimum ratio of the token rate per server of the model that receives a server, before the move, to
// that of the model that gives it up, after the move. It keeps servers in place while steps vary in size: a move costs a
// weight load and the server's cached prompts.
const minMoveGain = 1.15

// shares holds the number of servers and the required token rate of each model. Servers are divided in proportion to the
// token rates because the steps of one trainer may have twice as many items as those of another: with equal numbers of
// servers, those of small steps would be idle while large steps miss their deadlines.
type shares struct {
	models []string
	rates  map[string]float64
	counts map[string]int
	// ratesKnown is set if the token rate of at least one model is known.
	ratesKnown bool
}

// newShares returns shares in which no model has a server yet. Models without a known token rate get the mean of the others.
func newShares(models []string, rates map[string]float64) shares {
	s := shares{models: models, rates: map[string]float64{}, counts: map[string]int{}}
	sum, known := 0.0, 0
	for _, model := range models {
		if rates[model] > 0 {
			sum += rates[model]
			known++
		}
	}
	s.ratesKnown = known > 0
	mean := sum / max(1, float64(known))
	for _, model := range models {
		s.rates[model] = cmp.Or(rates[model], mean, 1)
	}
	return s
}

// ratePerServer returns the model's token rate per server if its number of servers changes by delta.
func (s shares) ratePerServer(model string, delta int) float64 {
	count := s.counts[model] + delta
	if count <= 0 {
		return math.Inf(1)
	}
	return s.rates[model] / float64(count)
}

// hasShare reports whether the model has its proportional share of the given number of servers.
func (s shares) hasShare(model string, servers int) bool {
	sum := 0.0
	for _, rate := range s.rates {
		sum += rate
	}
	return float64(s.counts[model]) >= math.Ceil(float64(servers)*s.rates[model]/sum)
}

// rank orders models for a server, lowest first: models below their share come before the others, and within both groups
// those for which the server is at most one version behind.
func (s shares) rank(model string, behind, servers int) int {
	rank := 0
	if behind > 1 {
		rank++
	}
	if s.hasShare(model, servers) {
		rank += 2
	}
	return rank
}

// nextMove returns the models between which to move one server; ok is false if no move is worthwhile.
func (s shares) nextMove() (from, to string, ok bool) {
	if len(s.models) < 2 {
		return "", "", false
	}
	to = slices.MaxFunc(s.models, func(a, b string) int { return cmp.Compare(s.ratePerServer(a, 0), s.ratePerServer(b, 0)) })
	from = slices.MinFunc(s.models, func(a, b string) int { return cmp.Compare(s.ratePerServer(a, -1), s.ratePerServer(b, -1)) })
	if !s.ratesKnown && s.counts[to] > 0 {
		// A new leader doesn't know the token rates yet and keeps the assignment that it found.
		return "", "", false
	}
	return from, to, from != to && s.ratePerServer(to, 0) > minMoveGain*s.ratePerServer(from, -1)
}

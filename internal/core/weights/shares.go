package weights

import (
	"cmp"
	"math"
	"slices"
)

// minMoveGain is the minimum ratio of the token rate per unit of speed of the model that receives a server, before the
// move, to that of the model that gives it up, after the move. It keeps servers in place while steps vary in size: a move
// costs a weight load and the server's cached prompts.
const minMoveGain = 1.15

// minExchangeGain is the minimum ratio of the mean speed of the model that gives up the faster server, after the exchange,
// to that of the other model, before it. To be undone, an exchange would need the means to change by its square, a third.
const minExchangeGain = minMoveGain

// minSpeedRatio is the minimum ratio of the speeds of two servers that are exchanged. Equal servers seem to differ by up to
// 1.22 if their speeds are known to 10 %.
const minSpeedRatio = 1.3

// shares holds the servers and the required token rate of each model. Servers are divided in proportion to the
// token rates because the steps of one trainer may have twice as many items as those of another: with equal numbers of
// servers, those of small steps would be idle while large steps miss their deadlines. A server counts as much as its
// speed: a model with many slow servers would otherwise get as many as one with fast servers.
type shares struct {
	models []string
	rates  map[string]float64
	// counts and speeds hold the number of servers and the sum of their speeds.
	counts map[string]int
	speeds map[string]float64
	// ratesKnown is set if the token rate of at least one model is known.
	ratesKnown bool
}

// newShares returns shares in which no model has a server yet. Models without a known token rate get the mean of the others.
func newShares(models []string, rates map[string]float64) shares {
	s := shares{models: models, rates: map[string]float64{}, counts: map[string]int{}, speeds: map[string]float64{}}
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

// add counts a server of the given speed for the model.
func (s shares) add(model string, speed float64) {
	s.counts[model]++
	s.speeds[model] += speed
}

// rateWith returns the model's token rate per unit of speed with one more server of the given speed.
func (s shares) rateWith(model string, speed float64) float64 {
	return s.rates[model] / (s.speeds[model] + speed)
}

// rate returns the model's token rate per unit of speed.
func (s shares) rate(model string) float64 {
	if s.counts[model] == 0 {
		return math.Inf(1)
	}
	return s.rateWith(model, 0)
}

// rateWithout returns the model's token rate per unit of speed without one of its servers, of the given speed.
func (s shares) rateWithout(model string, speed float64) float64 {
	if s.counts[model] <= 1 {
		return math.Inf(1)
	}
	return s.rateWith(model, -speed)
}

// meanSpeed returns the mean speed of the model's servers; a model without servers has the speed of the median server.
func (s shares) meanSpeed(model string) float64 {
	if s.counts[model] == 0 {
		return 1
	}
	return s.speeds[model] / float64(s.counts[model])
}

// hasShare reports whether the model has its proportional share of the given total speed.
func (s shares) hasShare(model string, total float64) bool {
	sum := 0.0
	for _, rate := range s.rates {
		sum += rate
	}
	return s.speeds[model] >= total*s.rates[model]/sum
}

// rank orders models for a server, lowest first: models below their share come before the others, and within both groups
// those for which the server is at most one version behind.
func (s shares) rank(model string, behind int, total float64) int {
	rank := 0
	if behind > 1 {
		rank++
	}
	if s.hasShare(model, total) {
		rank += 2
	}
	return rank
}

// nextMove returns the models between which to move one server; ok is false if no move is worthwhile. slowest holds the
// lowest speed of each model's servers: a move of that server leaves the model that gives it up with the lowest rate.
func (s shares) nextMove(slowest map[string]float64) (from, to string, ok bool) {
	if len(s.models) < 2 {
		return "", "", false
	}
	to = slices.MaxFunc(s.models, func(a, b string) int { return cmp.Compare(s.rate(a), s.rate(b)) })
	from = slices.MinFunc(s.models, func(a, b string) int {
		return cmp.Compare(s.rateWithout(a, slowest[a]), s.rateWithout(b, slowest[b]))
	})
	if !s.ratesKnown && s.counts[to] > 0 {
		// A new leader doesn't know the token rates yet and keeps the assignment that it found.
		return "", "", false
	}
	return from, to, from != to && s.mayMove(from, to, slowest[from])
}

// mayMove reports whether the move of a server of the given speed gains enough.
func (s shares) mayMove(from, to string, speed float64) bool {
	return s.rate(to) > minMoveGain*s.rateWithout(from, speed)
}

// exchangeGain returns the ratio of the mean speed of fast's servers, after they exchanged a server of speed given for one
// of speed taken, to that of slow's servers before.
func (s shares) exchangeGain(fast, slow string, given, taken float64) float64 {
	after := (s.speeds[fast] - given + taken) / float64(s.counts[fast])
	return after / s.meanSpeed(slow)
}

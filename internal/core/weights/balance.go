package weights

import (
	"cmp"
	"math"
	"slices"
)

// Change is the assignment of a server to another model.
type Change struct {
	// Server is the server's ID.
	Server   string
	From, To string
	// Speed is the server's speed, and Gain the ratio that made the change worthwhile; see minMoveGain and minExchangeGain.
	Speed, Gain float64
	// ExchangedFor is the ID of the server that takes the opposite way; empty for a move.
	ExchangedFor string
}

// Changes returns the changes that the last call of Next made, apart from the assignment of new servers.
func (p *Planner) Changes() []Change { return slices.Clone(p.changes) }

// normalizeSpeeds divides the speeds by that of the median server, so that equal servers count exactly 1 each. Unknown
// speeds count as 1.
func normalizeSpeeds(engines []Engine) {
	speeds := make([]float64, len(engines))
	for i := range engines {
		if speed := engines[i].Speed; !(speed > 0) || math.IsInf(speed, 0) {
			engines[i].Speed = 1
		}
		speeds[i] = engines[i].Speed
	}
	slices.Sort(speeds)
	median := speeds[len(speeds)/2]
	for i := range engines {
		engines[i].Speed /= median
	}
}

// balance moves at most one server, from a model with a low token rate per unit of speed to the one with the highest; see
// shares.nextMove. Among the servers whose move gains enough, it takes the slowest one, or the fastest one if the model that
// gives it up has clearly faster servers. A move after an exchange therefore doesn't undo it.
func (p *Planner) balance(engines []Engine, shares shares) bool {
	slowest := map[string]float64{}
	for _, engine := range engines {
		model := p.models[engine.Key()]
		slowest[model] = min(cmp.Or(slowest[model], engine.Speed), engine.Speed)
	}
	from, to, ok := shares.nextMove(slowest)
	if !ok {
		return false
	}
	takeSlowest := shares.meanSpeed(from) <= minExchangeGain*shares.meanSpeed(to)
	var moved *Engine
	for i, engine := range engines {
		if _, has := engine.Models[to]; !has || p.models[engine.Key()] != from || !shares.mayMove(from, to, engine.Speed) {
			continue
		}
		if moved == nil || engine.Speed != moved.Speed && (engine.Speed < moved.Speed) == takeSlowest {
			moved = &engines[i]
		}
	}
	if moved == nil {
		return false
	}
	p.models[moved.Key()] = to
	p.changes = append(p.changes, Change{
		Server: moved.ID, From: from, To: to, Speed: moved.Speed, Gain: shares.rate(to) / shares.rateWithout(from, moved.Speed),
	})
	return true
}

// exchange exchanges at most one pair of servers between two models whose fast servers are unevenly distributed: each
// model needs some for its long items. Both servers must have to load a new version anyway, so that the exchange costs no
// weight load. Shares that it leaves unequal are corrected by later moves.
func (p *Planner) exchange(engines []Engine, newest map[string]int, shares shares) {
	if !shares.ratesKnown {
		return
	}
	fastest, slowest := map[string]*Engine{}, map[string]*Engine{}
	for i, engine := range engines {
		model := p.models[engine.Key()]
		if _, ordered := p.pending[engine.Key()]; ordered || engine.Hold || p.versionsBehind(engine, newest) <= 0 {
			continue
		}
		if fastest[model] == nil || engine.Speed > fastest[model].Speed {
			fastest[model] = &engines[i]
		}
		if slowest[model] == nil || engine.Speed < slowest[model].Speed {
			slowest[model] = &engines[i]
		}
	}
	best, from, to := minExchangeGain, "", ""
	for _, fast := range shares.models {
		for _, slow := range shares.models {
			given, taken := fastest[fast], slowest[slow]
			if fast == slow || given == nil || taken == nil || given.Speed <= minSpeedRatio*taken.Speed {
				continue
			}
			_, canGive := given.Models[slow]
			_, canTake := taken.Models[fast]
			if gain := shares.exchangeGain(fast, slow, given.Speed, taken.Speed); canGive && canTake && gain > best {
				best, from, to = gain, fast, slow
			}
		}
	}
	if from == "" {
		return
	}
	given, taken := fastest[from], slowest[to]
	p.models[given.Key()], p.models[taken.Key()] = to, from
	p.changes = append(p.changes,
		Change{Server: given.ID, From: from, To: to, Speed: given.Speed, Gain: best, ExchangedFor: taken.ID},
		Change{Server: taken.ID, From: to, To: from, Speed: taken.Speed, Gain: best, ExchangedFor: given.ID})
}

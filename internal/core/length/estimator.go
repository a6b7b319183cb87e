package length

import (
	"math"
	"sync"
)

const (
	// highQuantile: nine in ten items end within Remaining.High events.
	highQuantile = 0.9
	// lowestRatio is the lower bound of the ratios of events to estimated tokens that are told apart; the highest is 64.
	lowestRatio = 1.0 / 64
	// classCount is the number of classes of estimates: one for each doubling.
	classCount = 12
	// priorWeight is how many samples the prior counts for. Some twenty items that have finished outweigh it.
	priorWeight = 4
	// tailShare and tailFactor are the long items of the prior: 8 % of the outputs are five times as long as the others.
	tailShare, tailFactor = 0.08, 5
	// ratioDeviation is the prior's error of estimates in doublings: a factor of 1.6.
	ratioDeviation = 0.68
	// priorLength and lengthDeviation are the prior of lengths without an estimate. They only matter until the first items have finished.
	priorLength, lengthDeviation = 32, 1.5
	// backingWeight is how many samples the estimates of all sizes count for in the class of an estimate.
	backingWeight = 8
	// minTailWeight is the weight of the longer items below which nothing is known of what is left of an item.
	minTailWeight = 0.02
	// maxModels bounds the models that are kept; each takes some 3 KB.
	maxModels = 64
)

// Remaining is how many events of an item are still to come.
type Remaining struct {
	// Mean is the expected number; in nine of ten cases there are no more than High.
	Mean, High float64
	// Samples is the number of finished items on which the figures are based, the older ones counted less; 0 means that they are only a
	// guess.
	Samples float64
}

// model is what is known of the outputs of one model.
type model struct {
	// lengths are the numbers of events of items without an estimate; ratios are those of the others divided by their estimates.
	lengths, ratios weights
	// classes are the ratios by the size of the estimate.
	classes [classCount]weights
	// lengthSamples and ratioSamples count the finished items, the older ones less.
	lengthSamples, ratioSamples float64
	// used is the number of the last record, by which the model that was not recorded for longest is forgotten.
	used uint64
}

func newModel() *model {
	m := &model{}
	m.lengths.addNormal(priorLength, lengthDeviation, priorWeight*(1-tailShare))
	m.lengths.addNormal(priorLength*tailFactor, lengthDeviation, priorWeight*tailShare)
	m.ratios.addNormal(1/lowestRatio, ratioDeviation, priorWeight*(1-tailShare))
	m.ratios.addNormal(tailFactor/lowestRatio, ratioDeviation, priorWeight*tailShare)
	return m
}

// class returns the class of an estimate.
func class(expectedTokens int) int {
	return min(int(math.Log2(float64(expectedTokens))), classCount-1)
}

// Estimator learns the lengths of outputs by model. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	models map[string]*model
	// unknown is the prior, used for models without a finished item.
	unknown *model
	records uint64
}

// NewEstimator returns an Estimator that knows only the prior.
func NewEstimator() *Estimator {
	return &Estimator{models: map[string]*model{}, unknown: newModel()}
}

// RecordFinished records the number of events of an item's complete output. ExpectedTokens is the trainer's estimate, 0 if there is none.
func (e *Estimator) RecordFinished(name string, expectedTokens, events int) {
	if events <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.models[name]
	if !ok {
		e.forgetOne()
		m = newModel()
		e.models[name] = m
	}
	e.records++
	m.used = e.records
	if expectedTokens <= 0 {
		m.lengths.add(float64(events))
		m.lengthSamples = m.lengthSamples*decay + 1
		return
	}
	ratio := float64(events) / float64(expectedTokens) / lowestRatio
	m.ratios.add(ratio)
	m.classes[class(expectedTokens)].add(ratio)
	m.ratioSamples = m.ratioSamples*decay + 1
}

// forgetOne makes room for another model.
func (e *Estimator) forgetOne() {
	if len(e.models) < maxModels {
		return
	}
	oldest, used := "", uint64(math.MaxUint64)
	for name, m := range e.models {
		if m.used < used {
			oldest, used = name, m.used
		}
	}
	delete(e.models, oldest)
}

// Remaining returns how many events are still to come of an item that has produced the given number of events.
func (e *Estimator) Remaining(name string, expectedTokens, produced int) Remaining {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.models[name]
	if !ok {
		m = e.unknown
	}
	known, unit, samples := &m.lengths, 1.0, m.lengthSamples
	if expectedTokens > 0 {
		near := m.ratiosFor(expectedTokens)
		known, unit, samples = &near, lowestRatio*float64(expectedTokens), m.ratioSamples
	}
	mean, high, ok := known.remaining(unit, float64(max(0, produced)), highQuantile)
	if !ok {
		// No item was as long as this one: with a heavy tail, what is left of an item grows with its length.
		mean, high = max(1, float64(produced)/4), max(2, float64(produced)/2)
	}
	return Remaining{Mean: mean, High: high, Samples: samples}
}

// ratiosFor returns the ratios of estimates of similar size, backed by those of all sizes.
func (m *model) ratiosFor(expectedTokens int) weights {
	known := m.classes[class(expectedTokens)]
	scale := float32(backingWeight / (priorWeight + m.ratioSamples))
	for i := range known {
		known[i] += scale * m.ratios[i]
	}
	return known
}

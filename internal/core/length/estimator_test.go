package length

import (
	"math"
	"math/rand/v2"
	"testing"
)

// record records finished items of which 8 % are five times as long as their estimate of 80 tokens says. An event holds four tokens.
func record(e *Estimator, count int) {
	random := rand.New(rand.NewPCG(1, 1))
	for range count {
		events := 20 * math.Exp(0.47*random.NormFloat64())
		if random.Float64() < 0.08 {
			events *= 5
		}
		e.RecordFinished("m", 80, int(events)+1)
	}
}

// Guards against an order by nothing before the first item has finished: the item with the longer estimate must count as the longer one,
// and it must be visible that no item has finished.
func TestPriorOrdersByEstimate(t *testing.T) {
	e := NewEstimator()
	last := 0.0
	for _, estimate := range []int{1, 5, 20, 100, 4000} {
		r := e.Remaining("m", estimate, 0)
		if r.Mean <= last || r.High < r.Mean || r.Samples != 0 {
			t.Errorf("estimate %d: %+v after a mean of %v", estimate, r, last)
		}
		last = r.Mean
	}
}

// Guards against taking tokens for events, and against a short estimate that hides a long output: an item that has produced twice what
// its estimate says is one of the long ones.
func TestLearnsRatioAndTail(t *testing.T) {
	e := NewEstimator()
	record(e, 400)
	if r := e.Remaining("m", 80, 0); r.Mean < 22 || r.Mean > 38 {
		t.Errorf("a new item has %+v left, want about 29 events", r)
	}
	if r := e.Remaining("m", 80, 60); r.Mean < 25 {
		t.Errorf("an item that outlived its estimate three times has %+v left", r)
	}
	if r := e.Remaining("m", 80, 5000); r.Mean < 1 || r.High < r.Mean {
		t.Errorf("an item longer than all others has %+v left", r)
	}
	if r := e.Remaining("other", 80, 0); r.Samples != 0 {
		t.Errorf("another model has %v samples", r.Samples)
	}
}

// Guards against trust in a misleading size of estimate: estimates of 400 tokens that come with usual outputs are learned apart from those
// of 80 tokens.
func TestLearnsBySizeOfEstimate(t *testing.T) {
	e := NewEstimator()
	record(e, 200)
	for range 100 {
		e.RecordFinished("m", 400, 22)
	}
	if r := e.Remaining("m", 400, 0); r.Mean > 40 {
		t.Errorf("an overestimated item has %+v left, want about 22 events", r)
	}
}

// Guards against a distribution that never changes: after a new task for the model the outputs are three times as long.
func TestOlderSamplesDecay(t *testing.T) {
	e := NewEstimator()
	for range 2000 {
		e.RecordFinished("m", 0, 20)
	}
	for range 1000 {
		e.RecordFinished("m", 0, 60)
	}
	if r := e.Remaining("m", 0, 0); r.Mean < 50 || r.Samples > 510 {
		t.Errorf("a new item has %+v left, want more than 50 events", r)
	}
}

// Guards against memory that grows with the models that trainers name.
func TestModelsAreBounded(t *testing.T) {
	e := NewEstimator()
	for i := range 3 * maxModels {
		e.RecordFinished(string(rune('a'+i)), 10, 10)
	}
	if len(e.models) > maxModels {
		t.Errorf("%d models are kept", len(e.models))
	}
}

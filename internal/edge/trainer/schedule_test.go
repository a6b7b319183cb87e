package trainer

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
)

// endlessEngines generate for ever with the old weights, but for the first call, which ends with them; with
// the new weights samples are made at once.
type endlessEngines struct {
	version atomic.Int64
	first   chan struct{}
	began   atomic.Int64
	stopped atomic.Int64
}

func (e *endlessEngines) Generate(ctx context.Context, request GenerateRequest) ([]Token, error) {
	version := int(e.version.Load())
	tokens := append(slices.Clone(request.Resume), Token{Text: "a", Version: version})
	request.Began(version)
	if version > 1 {
		return tokens, nil
	}
	if e.began.Add(1) == 1 {
		<-e.first
		return tokens, nil
	}
	<-ctx.Done()
	e.stopped.Add(1)
	return tokens, ctx.Err()
}

// Trainers wait for samples that are thrown away. A new version comes while all slots are taken by generations that
// began with the old weights; with a staleness bound of 0 none of them can be delivered, yet they run to their end,
// and only then the samples that replace them begin. Here all but one never end: the trainer would get no second batch.
func TestVoidGenerationsAreStopped(t *testing.T) {
	w := newWorld(t)
	engines := &endlessEngines{first: make(chan struct{})}
	engines.version.Store(1)
	w.engines.instead = engines
	w.lease.take(hostA, false)
	w.postVersion(hostA, 1)
	w.postStep(hostA, 1)
	w.eventually(hostA, "all slots taken", func(*runnerStatus) bool { return engines.began.Load() >= 4 })
	w.postVersion(hostA, 2)
	engines.version.Store(2)
	close(engines.first)
	seen := map[string]bool{}
	for batch := 1; batch <= 3; batch++ {
		for _, sample := range w.collect(seen, w.getBatch(hostA, 1, batch, nil)).Samples {
			if sample.Spans[0].Version != 2 {
				t.Errorf("%s was produced by %+v", sample.SampleID, sample.Spans)
			}
		}
	}
	if engines.stopped.Load() != 3 || engines.began.Load() != 4 {
		t.Errorf("%d of %d old generations were stopped, want 3 of 4", engines.stopped.Load(), engines.began.Load())
	}
}

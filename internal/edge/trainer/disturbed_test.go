package trainer

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// stage is a kind of call in the processing of a sample.
type stage string

const (
	stageGenerate stage = "generated"
	stageCopy     stage = "copied"
	stageScore    stage = "scored"
)

// faultKind is what happens to a call.
type faultKind string

const (
	requestLost     faultKind = "cut both ways"
	answerLost      faultKind = "answer lost"
	answerLate      faultKind = "answer late"
	answerTruncated faultKind = "answer short"
	callDuplicated  faultKind = "doubled"
	callHeld        faultKind = "held"
)

const responseDelay = 300 * time.Millisecond

// callFaults injects faults into some calls of one stage. The zero value injects none.
type callFaults struct {
	mu        sync.Mutex
	stage     stage
	faultKind faultKind
	skip      int
	remaining int
	// injected is closed with the last fault. Closing released lets held calls continue.
	injected chan struct{}
	released chan struct{}
}

// inject makes count calls of a stage fail, after it has let skip calls pass.
func (f *callFaults) inject(at stage, with faultKind, skip, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stage, f.faultKind, f.skip, f.remaining = at, with, skip, count
	f.injected, f.released = make(chan struct{}), make(chan struct{})
}

func (f *callFaults) next(at stage) faultKind {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stage != at || f.remaining == 0 {
		return ""
	}
	if f.skip > 0 {
		f.skip--
		return ""
	}
	f.remaining--
	if f.remaining == 0 {
		close(f.injected)
	}
	return f.faultKind
}

// callWithFault executes a call with the fault injected into it, if any. truncate shortens a complete response.
func callWithFault[T any](ctx context.Context, f *callFaults, at stage, call func() (T, error), truncate func(T) T) (T, error) {
	var none T
	switch f.next(at) {
	case requestLost:
		return none, errFake
	case answerLost:
		_, _ = call()
		return none, errFake
	case answerLate:
		answer, err := call()
		<-time.After(responseDelay)
		return answer, err
	case answerTruncated:
		answer, _ := call()
		return truncate(answer), errFake
	case callDuplicated:
		_, _ = call()
		return call()
	case callHeld:
		select {
		case <-f.released:
		case <-ctx.Done():
			return none, ctx.Err()
		}
	}
	return call()
}

type faultyGenerator struct {
	Generator
	faults *callFaults
}

func (f faultyGenerator) Generate(ctx context.Context, request GenerateRequest) ([]Token, error) {
	tokens, err := callWithFault(ctx, f.faults, stageGenerate,
		func() ([]Token, error) { return f.Generator.Generate(ctx, request) },
		func(tokens []Token) []Token { return tokens[:len(tokens)/2] })
	if err != nil && tokens == nil {
		tokens = request.Resume
	}
	return tokens, err
}

type faultyScorer struct {
	Scorer
	faults *callFaults
}

func (f faultyScorer) Score(ctx context.Context, pool, organisation string, samples []ScoreRequest) ([]Score, error) {
	return callWithFault(ctx, f.faults, stageScore,
		func() ([]Score, error) { return f.Scorer.Score(ctx, pool, organisation, samples) },
		func(scores []Score) []Score { return scores[:len(scores)/2] })
}

type faultyCopier struct {
	Copier
	faults *callFaults
}

func (f faultyCopier) Copy(ctx context.Context, job string, sample EncodedSample) (netip.AddrPort, error) {
	return callWithFault(ctx, f.faults, stageCopy,
		func() (netip.AddrPort, error) { return f.Copier.Copy(ctx, job, sample) },
		func(netip.AddrPort) netip.AddrPort { return netip.AddrPort{} })
}

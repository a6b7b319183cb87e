package trainer

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// stage is a kind of call that takes a sample on.
type stage string

const (
	stageGenerate stage = "generated"
	stageCopy     stage = "copied"
	stageScore    stage = "scored"
)

// mishap is what happens to a call.
type mishap string

const (
	requestLost mishap = "cut both ways"
	answerLost  mishap = "answer lost"
	answerLate  mishap = "answer late"
	answerShort mishap = "answer short"
	callTwice   mishap = "doubled"
	held        mishap = "held"
)

const lateBy = 300 * time.Millisecond

// callFault disturbs some calls of one stage; the zero value disturbs none.
type callFault struct {
	mu      sync.Mutex
	stage   stage
	mishap  mishap
	skip    int
	left    int
	reached chan struct{}
	healed  chan struct{}
}

// arm disturbs so many calls of a stage after the first ones.
func (f *callFault) arm(at stage, with mishap, skip, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stage, f.mishap, f.skip, f.left = at, with, skip, count
	f.reached, f.healed = make(chan struct{}), make(chan struct{})
}

func (f *callFault) next(at stage) mishap {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stage != at || f.left == 0 {
		return ""
	}
	if f.skip > 0 {
		f.skip--
		return ""
	}
	f.left--
	if f.left == 0 {
		close(f.reached)
	}
	return f.mishap
}

// carry makes a call with its mishap; half makes a short answer of a whole one.
func carry[T any](ctx context.Context, f *callFault, at stage, call func() (T, error), half func(T) T) (T, error) {
	var none T
	switch f.next(at) {
	case requestLost:
		return none, errFake
	case answerLost:
		_, _ = call()
		return none, errFake
	case answerLate:
		answer, err := call()
		<-time.After(lateBy)
		return answer, err
	case answerShort:
		answer, _ := call()
		return half(answer), errFake
	case callTwice:
		_, _ = call()
		return call()
	case held:
		select {
		case <-f.healed:
		case <-ctx.Done():
			return none, ctx.Err()
		}
	}
	return call()
}

type disturbedGenerator struct {
	Generator
	calls *callFault
}

func (d disturbedGenerator) Generate(ctx context.Context, request GenerateRequest) ([]Token, error) {
	tokens, err := carry(ctx, d.calls, stageGenerate,
		func() ([]Token, error) { return d.Generator.Generate(ctx, request) },
		func(tokens []Token) []Token { return tokens[:len(tokens)/2] })
	if err != nil && tokens == nil {
		tokens = request.Resume
	}
	return tokens, err
}

type disturbedScorer struct {
	Scorer
	calls *callFault
}

func (d disturbedScorer) Score(ctx context.Context, pool, organisation string, samples []ScoreRequest) ([]Score, error) {
	return carry(ctx, d.calls, stageScore,
		func() ([]Score, error) { return d.Scorer.Score(ctx, pool, organisation, samples) },
		func(scores []Score) []Score { return scores[:len(scores)/2] })
}

type disturbedCopier struct {
	Copier
	calls *callFault
}

func (d disturbedCopier) Copy(ctx context.Context, job string, sample CopiedSample) (netip.AddrPort, error) {
	return carry(ctx, d.calls, stageCopy,
		func() (netip.AddrPort, error) { return d.Copier.Copy(ctx, job, sample) },
		func(netip.AddrPort) netip.AddrPort { return netip.AddrPort{} })
}

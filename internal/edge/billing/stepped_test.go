package billing

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// outcome is what a schedule makes of one call to the platform.
type outcome int

const (
	succeed outcome = iota
	refuse
	loseAnswer
	crashBefore
	crashAfter
)

// process is an actor whose calls to the platform wait for the schedule. Between two calls it is
// paused for as long as the schedule likes.
type process struct {
	memory *standin.Memory
	// asked receives a value when a call waits, and granted lets it go on.
	asked   chan struct{}
	granted chan outcome
	done    chan struct{}
	crashed bool
}

// newProcess runs the body until its first call.
func newProcess(memory *standin.Memory, body func(users platform.Platform)) *process {
	p := &process{
		memory:  memory,
		asked:   make(chan struct{}),
		granted: make(chan outcome),
		done:    make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		body(p)
	}()
	p.settle()
	return p
}

// settle waits until the process waits for a call or has ended.
func (p *process) settle() {
	select {
	case <-p.asked:
	case <-p.done:
	}
}

// step grants the waiting call; it returns false if the process had ended.
func (p *process) step(with outcome) bool {
	select {
	case <-p.done:
		return false
	case p.granted <- with:
		p.settle()
		return true
	}
}

// finish lets all calls succeed.
func (p *process) finish() {
	for p.step(succeed) {
		continue
	}
}

// stepped runs one call when the schedule says so. After a crash every call fails: what the
// process would do next does not happen.
func stepped[T any](p *process, write bool, call func() (T, error)) (T, error) {
	var none T
	if p.crashed {
		return none, platform.ErrUnavailable
	}
	p.asked <- struct{}{}
	with := <-p.granted
	switch {
	case with == refuse:
		return none, platform.ErrUnavailable
	case with == crashBefore:
		p.crashed = true
		return none, platform.ErrUnavailable
	case with == succeed || !write && with == loseAnswer:
		return call()
	}
	_, _ = call()
	p.crashed = with == crashAfter
	return none, platform.ErrOutcomeUnknown
}

func (p *process) Get(ctx context.Context, name string) (platform.Object, error) {
	return stepped(p, false, func() (platform.Object, error) { return p.memory.Get(ctx, name) })
}

func (p *process) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	return stepped(p, false, func() ([]platform.Object, error) { return p.memory.List(ctx, prefix) })
}

func (p *process) Put(
	_ context.Context, name string, value json.RawMessage, ifVersion platform.Version,
) (platform.Version, error) {
	// The write's own deadline is left out: a write that is on its way arrives when it likes.
	return stepped(p, true, func() (platform.Version, error) {
		return p.memory.Put(context.Background(), name, value, ifVersion)
	})
}

func (p *process) Delete(_ context.Context, name string, ifVersion platform.Version) error {
	_, err := stepped(p, true, func() (struct{}, error) {
		return struct{}{}, p.memory.Delete(context.Background(), name, ifVersion)
	})
	return err
}

func (p *process) Report(_ context.Context, name string, raw json.RawMessage) error {
	_, err := stepped(p, true, func() (struct{}, error) {
		return struct{}{}, p.memory.Report(context.Background(), name, raw)
	})
	return err
}

func (p *process) Watch(
	ctx context.Context, name string, after platform.Version, wait time.Duration,
) (platform.Object, error) {
	return p.memory.Watch(ctx, name, after, wait)
}

func (p *process) Order(ctx context.Context, order platform.ServerOrder) error {
	return p.memory.Order(ctx, order)
}

func (p *process) Hosts(ctx context.Context) ([]platform.Host, error) {
	return p.memory.Hosts(ctx)
}

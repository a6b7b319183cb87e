package billing

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// outcome is the result that a schedule chooses for one call to the platform.
type outcome int

const (
	succeed outcome = iota
	refuse
	loseAnswer
	crashBefore
	crashAfter
)

// scheduledProcess runs code whose calls to the platform wait for the schedule. Between two calls the
// schedule can pause it for any time.
type scheduledProcess struct {
	memory *standin.Memory
	// pending receives a value when a call waits; a value in outcomes lets the call continue.
	pending  chan struct{}
	outcomes chan outcome
	done     chan struct{}
	crashed  bool
}

// newScheduledProcess runs body until its first call.
func newScheduledProcess(memory *standin.Memory, body func(client platform.Platform)) *scheduledProcess {
	p := &scheduledProcess{
		memory:   memory,
		pending:  make(chan struct{}),
		outcomes: make(chan outcome),
		done:     make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		body(p)
	}()
	p.awaitCall()
	return p
}

// awaitCall blocks until the process waits for the schedule at a call, or has ended.
func (p *scheduledProcess) awaitCall() {
	select {
	case <-p.pending:
	case <-p.done:
	}
}

// step continues the waiting call with the outcome. It returns false if the process has already ended.
func (p *scheduledProcess) step(result outcome) bool {
	select {
	case <-p.done:
		return false
	case p.outcomes <- result:
		p.awaitCall()
		return true
	}
}

// finish lets all remaining calls succeed.
func (p *scheduledProcess) finish() {
	for p.step(succeed) {
		continue
	}
}

// scheduleCall runs one call when the schedule allows it, with the outcome that the schedule chose. After a
// crash every call fails, so that nothing that the process does afterwards has an effect.
func scheduleCall[T any](p *scheduledProcess, write bool, call func() (T, error)) (T, error) {
	var zero T
	if p.crashed {
		return zero, platform.ErrUnavailable
	}
	p.pending <- struct{}{}
	result := <-p.outcomes
	switch {
	case result == refuse:
		return zero, platform.ErrUnavailable
	case result == crashBefore:
		p.crashed = true
		return zero, platform.ErrUnavailable
	case result == succeed || !write && result == loseAnswer:
		return call()
	}
	_, _ = call()
	p.crashed = result == crashAfter
	return zero, platform.ErrOutcomeUnknown
}

func (p *scheduledProcess) Get(ctx context.Context, name string) (platform.Object, error) {
	return scheduleCall(p, false, func() (platform.Object, error) { return p.memory.Get(ctx, name) })
}

func (p *scheduledProcess) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	return scheduleCall(p, false, func() ([]platform.Object, error) { return p.memory.List(ctx, prefix) })
}

func (p *scheduledProcess) Put(
	_ context.Context, name string, value json.RawMessage, ifVersion platform.Version,
) (platform.Version, error) {
	// The deadline of the write is ignored: a write in flight may arrive at any time.
	return scheduleCall(p, true, func() (platform.Version, error) {
		return p.memory.Put(context.Background(), name, value, ifVersion)
	})
}

func (p *scheduledProcess) Delete(_ context.Context, name string, ifVersion platform.Version) error {
	_, err := scheduleCall(p, true, func() (struct{}, error) {
		return struct{}{}, p.memory.Delete(context.Background(), name, ifVersion)
	})
	return err
}

func (p *scheduledProcess) Report(_ context.Context, name string, raw json.RawMessage) error {
	_, err := scheduleCall(p, true, func() (struct{}, error) {
		return struct{}{}, p.memory.Report(context.Background(), name, raw)
	})
	return err
}

func (p *scheduledProcess) Watch(
	ctx context.Context, name string, after platform.Version, wait time.Duration,
) (platform.Object, error) {
	return p.memory.Watch(ctx, name, after, wait)
}

func (p *scheduledProcess) Order(ctx context.Context, order platform.ServerOrder) error {
	return p.memory.Order(ctx, order)
}

func (p *scheduledProcess) Hosts(ctx context.Context) ([]platform.Host, error) {
	return p.memory.Hosts(ctx)
}

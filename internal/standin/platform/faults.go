package platform

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Kind is a kind of call.
type Kind string

// The kinds of calls that are counted.
const (
	KindGet    Kind = "get"
	KindList   Kind = "list"
	KindPut    Kind = "put"
	KindDelete Kind = "delete"
	KindWatch  Kind = "watch"
	KindOrder  Kind = "order"
	KindReport Kind = "report"
	KindHosts  Kind = "hosts"
)

// Faults are the switches of the stand-in; the zero value is a healthy platform.
type Faults struct {
	// Outage refuses every call before any effect and ends waiting watches.
	Outage bool `json:"outage"`
	// DelayMilliseconds passes before each call takes effect.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// LoseAnswers is the number of writes that take effect and whose answer is lost.
	LoseAnswers int `json:"loseAnswers"`
	// CallsPerSecond is the rate limit over all calls; 0 is no limit.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// IgnoreFencing accepts server orders whose fencing number is old.
	IgnoreFencing bool `json:"ignoreFencing"`
	// StartupMilliseconds is how long an ordered server takes until it is live.
	StartupMilliseconds int `json:"startupMilliseconds"`
	// LeavingMilliseconds is how long a stopped server is listed as leaving.
	LeavingMilliseconds int `json:"leavingMilliseconds"`
	// ListLagMilliseconds is the age of the host list.
	ListLagMilliseconds int `json:"listLagMilliseconds"`
}

// bucket limits the rate of calls; it holds at most one second's worth.
type bucket struct {
	tokens float64
	filled time.Time
}

func (b *bucket) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	b.tokens = min(max(rate, 1), b.tokens+now.Sub(b.filled).Seconds()*rate)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetFaults replaces all switches.
func (m *Memory) SetFaults(faults Faults) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.faults = faults
	m.wake()
}

// CurrentFaults returns the switches; LoseAnswers is what is left of it.
func (m *Memory) CurrentFaults() Faults {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.faults
}

// Outage switches the outage on or off.
func (m *Memory) Outage(on bool) {
	faults := m.CurrentFaults()
	faults.Outage = on
	m.SetFaults(faults)
}

// Delay sets the time that passes before each call takes effect.
func (m *Memory) Delay(delay time.Duration) {
	faults := m.CurrentFaults()
	faults.DelayMilliseconds = int(delay.Milliseconds())
	m.SetFaults(faults)
}

// LoseAnswers loses the answers of the next n writes after they took effect.
func (m *Memory) LoseAnswers(n int) {
	faults := m.CurrentFaults()
	faults.LoseAnswers = n
	m.SetFaults(faults)
}

// Calls returns the number of calls by kind, refused ones included.
func (m *Memory) Calls() map[Kind]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.calls)
}

// enter counts the call and refuses it in an outage or above the rate.
func (m *Memory) enter(kind Kind) (time.Duration, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.calls[kind]++
	if m.faults.Outage {
		m.refused++
		return 0, edge.ErrUnavailable
	}
	if !m.bucket.take(m.clock(), m.faults.CallsPerSecond) {
		m.refused++
		return 0, errors.Wrap(edge.ErrUnavailable, "rate limit")
	}
	return time.Duration(m.faults.DelayMilliseconds) * time.Millisecond, nil
}

func (m *Memory) read(ctx context.Context, kind Kind) error {
	if ctx.Err() != nil {
		return errors.Wrap(edge.ErrUnavailable, ctx.Err().Error())
	}
	delay, err := m.enter(kind)
	if err != nil {
		return err
	}
	if !wait(ctx, delay) {
		return errors.Wrap(edge.ErrUnavailable, ctx.Err().Error())
	}
	return nil
}

// write runs the effect under the mutex. A context that ends during the delay leaves a write that
// is under way: it still takes effect, and the caller learns only that it may have.
func (m *Memory) write(ctx context.Context, kind Kind, effect func() error) error {
	if ctx.Err() != nil {
		return errors.Wrap(edge.ErrUnavailable, ctx.Err().Error())
	}
	delay, err := m.enter(kind)
	if err != nil {
		return err
	}
	inTime := wait(ctx, delay)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	err = effect()
	if !inTime {
		return errors.Wrap(edge.ErrUnsettled, ctx.Err().Error())
	}
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		m.lost++
		return errors.Wrap(edge.ErrUnsettled, "answer lost")
	}
	return err
}

// wait returns false if the context ended first.
func wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

package platform

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// CallKind is a kind of call to the platform.
type CallKind string

// The kinds of calls that are counted.
const (
	KindGet    CallKind = "get"
	KindList   CallKind = "list"
	KindPut    CallKind = "put"
	KindDelete CallKind = "delete"
	KindWatch  CallKind = "watch"
	KindOrder  CallKind = "order"
	KindReport CallKind = "report"
	KindHosts  CallKind = "hosts"
)

// Faults are the faults that the stand-in simulates; the zero value is a healthy platform.
type Faults struct {
	// Outage refuses every call before any effect and ends waiting watches.
	Outage bool `json:"outage"`
	// DelayMilliseconds delays the effect of each call.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// LoseAnswers is the number of writes still to come that take effect although their answers are lost.
	LoseAnswers int `json:"loseAnswers"`
	// CallsPerSecond is the rate limit of all calls together; 0 means no limit.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// IgnoreFencing accepts server orders with an old fencing number.
	IgnoreFencing bool `json:"ignoreFencing"`
	// StartupMilliseconds is the time from the order of a server until it is live.
	StartupMilliseconds int `json:"startupMilliseconds"`
	// LeavingMilliseconds is how long a stopped server is listed as leaving.
	LeavingMilliseconds int `json:"leavingMilliseconds"`
	// ListLagMilliseconds is the age of the state that the host list shows.
	ListLagMilliseconds int `json:"listLagMilliseconds"`
}

// tokenBucket limits the rate of calls. It holds the tokens of one second, but at least one.
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// take removes one token at the rate per second and returns false if there is none; a rate of 0 is no limit.
func (b *tokenBucket) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	b.tokens = min(max(rate, 1), b.tokens+now.Sub(b.refilled).Seconds()*rate)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetFaults replaces all simulated faults.
func (m *Memory) SetFaults(faults Faults) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.faults = faults
	m.notifyWatchers()
}

// CurrentFaults returns the simulated faults; LoseAnswers is the number of answers that are still to be lost.
func (m *Memory) CurrentFaults() Faults {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.faults
}

// SetOutage starts or ends an outage.
func (m *Memory) SetOutage(on bool) {
	faults := m.CurrentFaults()
	faults.Outage = on
	m.SetFaults(faults)
}

// SetDelay sets the delay before each call takes effect.
func (m *Memory) SetDelay(delay time.Duration) {
	faults := m.CurrentFaults()
	faults.DelayMilliseconds = int(delay.Milliseconds())
	m.SetFaults(faults)
}

// LoseAnswers drops the answers to the next n writes after they took effect.
func (m *Memory) LoseAnswers(n int) {
	faults := m.CurrentFaults()
	faults.LoseAnswers = n
	m.SetFaults(faults)
}

// Calls returns the number of calls by kind, refused ones included.
func (m *Memory) Calls() map[CallKind]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.calls)
}

// admit counts the call and returns its delay, or refuses it in an outage or above the rate limit.
func (m *Memory) admit(kind CallKind) (time.Duration, error) {
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

// beginRead admits a read and waits for its delay.
func (m *Memory) beginRead(ctx context.Context, kind CallKind) error {
	if ctx.Err() != nil {
		return errors.Wrap(edge.ErrUnavailable, ctx.Err().Error())
	}
	delay, err := m.admit(kind)
	if err != nil {
		return err
	}
	if !sleep(ctx, delay) {
		return errors.Wrap(edge.ErrUnavailable, ctx.Err().Error())
	}
	return nil
}

// applyWrite admits a write, waits for its delay and runs its effect with the mutex held. If the context ends during the
// delay, the write still takes effect, and the caller gets ErrOutcomeUnknown.
func (m *Memory) applyWrite(ctx context.Context, kind CallKind, effect func() error) error {
	if ctx.Err() != nil {
		return errors.Wrap(edge.ErrUnavailable, ctx.Err().Error())
	}
	delay, err := m.admit(kind)
	if err != nil {
		return err
	}
	inTime := sleep(ctx, delay)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	err = effect()
	if !inTime {
		return errors.Wrap(edge.ErrOutcomeUnknown, ctx.Err().Error())
	}
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		m.lostAnswers++
		return errors.Wrap(edge.ErrOutcomeUnknown, "answer lost")
	}
	return err
}

// sleep waits for the delay. It returns false if the context ended first.
func sleep(ctx context.Context, delay time.Duration) bool {
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

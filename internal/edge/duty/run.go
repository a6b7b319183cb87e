package duty

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// run is the control goroutine, which carries out one step of the state machine at a time. Waits and watches end with waitCtx.
func (k *Keeper) run(ctx, waitCtx context.Context) {
	for ctx.Err() == nil {
		k.machine.SetContend(k.mayContend())
		if k.released.Load() {
			k.machine.Release()
		}
		if k.machine.Released() {
			k.publish(nil)
			close(k.releaseDone)
			return
		}
		if !k.tryStart() {
			ticker.Sleep(waitCtx, startCheckInterval)
			continue
		}
		err := k.step(ctx, waitCtx)
		k.publish(err)
		if err != nil {
			ticker.Sleep(ctx, jitter(retryPause))
		}
	}
}

// tryStart starts the keeper if it may start, and reports whether it has started.
func (k *Keeper) tryStart() bool {
	k.started = k.started || k.mayStart()
	return k.started
}

// step carries out the next step of the state machine.
func (k *Keeper) step(ctx, waitCtx context.Context) error {
	step := k.machine.Next(k.instant(k.clock()))
	switch step.Kind {
	case lease.StepRead:
		return k.observe(k.read(ctx))
	case lease.StepWatch:
		return k.observe(k.watch(waitCtx, step))
	case lease.StepWrite:
		return k.write(ctx, step)
	default:
		ticker.Sleep(waitCtx, step.Wait)
		return nil
	}
}

func (k *Keeper) read(ctx context.Context) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.store.Get(ctx, k.object)
}

func (k *Keeper) watch(ctx context.Context, step lease.Step) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, step.Wait+callTimeout)
	defer cancel()
	return k.store.Watch(ctx, k.object, platform.Version(step.IfVersion), step.Wait)
}

// observe passes the result of a read to the state machine. A failed read has no effect on it.
func (k *Keeper) observe(object platform.Object, err error) error {
	now := k.instant(k.clock())
	if errors.Is(err, platform.ErrNotFound) {
		k.machine.ObservedAbsent(now)
		return nil
	}
	if err != nil {
		return err
	}
	record, err := lease.ReadRecord(object.Value)
	if err != nil {
		return errors.Wrap(err, k.object)
	}
	first := now
	if reported := k.reported.Load(); reported != nil && reported.version == object.Version {
		first = reported.firstHeard
	}
	k.machine.ObservedSince(first, uint64(object.Version), record)
	if len(record.Notes) > 0 {
		k.readNotes(record.Notes)
	}
	return nil
}

// write carries out a write and passes its outcome to the state machine. Only errors that rule out any effect count as not
// written; after any other error the outcome is unknown to the state machine until it has read the object.
func (k *Keeper) write(ctx context.Context, step lease.Step) error {
	record := step.Record
	record.Notes = k.writeNotes()
	value, err := json.Marshal(record)
	if err != nil {
		k.machine.NotWritten(false)
		return errors.Wrap(err, k.object)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := k.store.Put(ctx, k.object, value, platform.Version(step.IfVersion))
	switch {
	case err == nil:
		k.machine.Wrote(k.instant(k.clock()), uint64(version))
		return nil
	case errors.Is(err, platform.ErrConflict):
		k.machine.NotWritten(true)
		return nil
	case errors.Is(err, platform.ErrUnavailable):
		k.machine.NotWritten(false)
	default:
		k.machine.WriteUncertain()
	}
	return err
}

// publish makes the state machine's state, and the error of the last step, visible to other goroutines.
func (k *Keeper) publish(failure error) {
	last := k.current.Load()
	next := &snapshot{changed: last.changed}
	next.grant, next.granted = k.machine.Grant()
	next.tenure = k.machine.Tenure()
	next.holder, next.hasHolder = k.machine.Holder()
	next.held = next.granted && k.timing.Held(next.grant, k.instant(k.clock()))
	if failure != nil {
		next.lastError = failure.Error()
	}
	unchanged := next.held == last.held && next.hasHolder == last.hasHolder && next.holder == last.holder
	if unchanged {
		k.current.Store(next)
		return
	}
	next.changed = make(chan struct{})
	k.current.Store(next)
	close(last.changed)
}

// State is the keeper's part of a state dump.
type State struct {
	Duty      string    `json:"duty"`
	Held      bool      `json:"held"`
	Fencing   uint64    `json:"fencing,omitempty"`
	Deadline  time.Time `json:"deadline,omitzero"`
	Holder    *Holder   `json:"holder,omitempty"`
	LastError string    `json:"lastError,omitempty"`
}

// State returns the keeper's state for the state dump.
func (k *Keeper) State() any {
	s := k.current.Load()
	state := State{Duty: k.name, LastError: s.lastError}
	if fence, held := k.Held(k.clock()); held {
		state.Held = true
		state.Fencing = uint64(fence.Number)
		state.Deadline = fence.Deadline
	}
	if s.hasHolder {
		state.Holder = &s.holder
	}
	return state
}

// jitter returns a random duration around mean.
func jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterFraction + 2*jitterFraction*rand.Float64()))
}

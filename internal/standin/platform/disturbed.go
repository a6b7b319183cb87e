package platform

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// CallFault is a fault that affects a call on its way to the platform or back.
type CallFault string

// The faults of calls.
const (
	// Refused: the platform refuses the call before any effect, as in an outage.
	Refused CallFault = "refused"
	// RequestLost: the call never arrives, and the caller can't tell that from a lost answer.
	RequestLost CallFault = "requestLost"
	// AnswerLost: the call takes effect, and its answer never arrives.
	AnswerLost CallFault = "answerLost"
	// Late: the caller gets an error at once, and the call takes effect at Heal.
	Late CallFault = "late"
	// Duplicated: the call arrives twice; the caller gets the first answer.
	Duplicated CallFault = "doubled"
	// HeldBefore: the call is blocked before it is sent, until Heal.
	HeldBefore CallFault = "heldBefore"
	// HeldAfter: the call takes effect, and the caller gets the answer at Heal.
	HeldAfter CallFault = "heldAfter"
)

// CallFaults returns all faults of calls.
func CallFaults() []CallFault {
	return []CallFault{Refused, RequestLost, AnswerLost, Late, Duplicated, HeldBefore, HeldAfter}
}

// FaultInjector wraps a platform and injects a fault into one call, or into all calls from that one on until Heal. Watches
// count as reads. It is safe for concurrent use.
type FaultInjector struct {
	edge.Platform
	mutex   sync.Mutex
	fault   CallFault
	skip    int
	lasting bool
	active  bool
	// object, if set, restricts the fault to writes of the object of that name.
	object      string
	lateEffects []func()
	injected    chan struct{}
	healed      chan struct{}
}

// NewFaultInjector wraps the platform; no fault is injected until InjectAt or InjectAtWrite.
func NewFaultInjector(inner edge.Platform) *FaultInjector {
	return &FaultInjector{Platform: inner, injected: make(chan struct{}), healed: make(chan struct{})}
}

// InjectAt injects the fault into the call that comes after skip others. If lasting is set, it also affects all calls after
// that one, until Heal.
func (f *FaultInjector) InjectAt(skip int, fault CallFault, lasting bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fault, f.skip, f.lasting, f.active, f.object = fault, skip, lasting, true, ""
}

// InjectAtWrite injects the fault into the write of the object that comes after skip other writes of it. If lasting is set, it
// also affects all writes of the object after that one, until Heal.
func (f *FaultInjector) InjectAtWrite(object string, skip int, fault CallFault, lasting bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fault, f.skip, f.lasting, f.active, f.object = fault, skip, lasting, true, object
}

// Injected returns a channel that is closed once a fault was injected into a call.
func (f *FaultInjector) Injected() <-chan struct{} { return f.injected }

// Heal stops the fault: late calls take effect, and blocked calls go on. It may be called once.
func (f *FaultInjector) Heal() {
	f.mutex.Lock()
	late := f.lateEffects
	f.lateEffects, f.active = nil, false
	f.mutex.Unlock()
	for _, effect := range late {
		effect()
	}
	close(f.healed)
}

// nextFault returns the fault of the next call, or "" for none; object is the written object, or empty for reads.
func (f *FaultInjector) nextFault(object string) CallFault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.active || (f.object != "" && f.object != object) {
		return ""
	}
	if f.skip > 0 {
		f.skip--
		return ""
	}
	if !f.lasting {
		f.active = false
	}
	select {
	case <-f.injected:
	default:
		close(f.injected)
	}
	return f.fault
}

// deferEffect stores the effect of a call until Heal.
func (f *FaultInjector) deferEffect(effect func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lateEffects = append(f.lateEffects, effect)
}

// callWithFault makes one call with its fault, if any. A call whose answer is lost, or that arrives late or twice, takes
// effect even if ctx ended, since it had been sent by then. written names the object of a write and is empty for reads.
func callWithFault[T any](ctx context.Context, f *FaultInjector, written string, call func(context.Context) (T, error)) (T, error) {
	var zero T
	lost := errors.Wrap(edge.ErrUnavailable, "disturbed")
	if written != "" {
		lost = errors.Wrap(edge.ErrOutcomeUnknown, "disturbed")
	}
	detached := context.WithoutCancel(ctx)
	switch f.nextFault(written) {
	case Refused:
		return zero, errors.Wrap(edge.ErrUnavailable, "disturbed")
	case RequestLost:
		return zero, lost
	case AnswerLost:
		_, _ = call(detached)
		return zero, lost
	case Late:
		f.deferEffect(func() { _, _ = call(detached) })
		return zero, lost
	case Duplicated:
		first, err := call(ctx)
		_, _ = call(detached)
		return first, err
	case HeldBefore:
		<-f.healed
		return call(ctx)
	case HeldAfter:
		answer, err := call(ctx)
		<-f.healed
		return answer, err
	default:
		return call(ctx)
	}
}

// empty is the answer to calls that return only an error.
type empty struct{}

// Get implements edge.Store.
func (f *FaultInjector) Get(ctx context.Context, name string) (edge.Object, error) {
	return callWithFault(ctx, f, "", func(ctx context.Context) (edge.Object, error) { return f.Platform.Get(ctx, name) })
}

// List implements edge.Store.
func (f *FaultInjector) List(ctx context.Context, prefix string) ([]edge.Object, error) {
	return callWithFault(ctx, f, "", func(ctx context.Context) ([]edge.Object, error) { return f.Platform.List(ctx, prefix) })
}

// Watch implements edge.Store.
func (f *FaultInjector) Watch(ctx context.Context, name string, after edge.Version, wait time.Duration) (edge.Object, error) {
	return callWithFault(ctx, f, "", func(ctx context.Context) (edge.Object, error) {
		return f.Platform.Watch(ctx, name, after, wait)
	})
}

// Put implements edge.Store.
func (f *FaultInjector) Put(ctx context.Context, name string, value json.RawMessage, ifVersion edge.Version) (edge.Version, error) {
	return callWithFault(ctx, f, name, func(ctx context.Context) (edge.Version, error) {
		return f.Platform.Put(ctx, name, value, ifVersion)
	})
}

// Delete implements edge.Store.
func (f *FaultInjector) Delete(ctx context.Context, name string, ifVersion edge.Version) error {
	_, err := callWithFault(ctx, f, name, func(ctx context.Context) (empty, error) {
		return empty{}, f.Platform.Delete(ctx, name, ifVersion)
	})
	return err
}

// Order implements edge.ServerOrders.
func (f *FaultInjector) Order(ctx context.Context, order edge.ServerOrder) error {
	_, err := callWithFault(ctx, f, order.Pool, func(ctx context.Context) (empty, error) { return empty{}, f.Platform.Order(ctx, order) })
	return err
}

// Report implements edge.UsageReports.
func (f *FaultInjector) Report(ctx context.Context, name string, raw json.RawMessage) error {
	_, err := callWithFault(ctx, f, name, func(ctx context.Context) (empty, error) {
		return empty{}, f.Platform.Report(ctx, name, raw)
	})
	return err
}

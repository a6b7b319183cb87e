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

// NewFaultInjector wraps the platform; no fault is injected until At or AtWrite.
func NewFaultInjector(inner edge.Platform) *FaultInjector {
	return &FaultInjector{Platform: inner, injected: make(chan struct{}), healed: make(chan struct{})}
}

// InjectAt injects the fault into the call that comes after skip others. If lasting is set, it also affects all calls after
// that one, until Heal.
func (d *FaultInjector) InjectAt(skip int, fault CallFault, lasting bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fault, d.skip, d.lasting, d.active, d.object = fault, skip, lasting, true, ""
}

// InjectAtWrite injects the fault into the write of the object that comes after skip other writes of it. If lasting is set, it
// also affects all writes of the object after that one, until Heal.
func (d *FaultInjector) InjectAtWrite(object string, skip int, fault CallFault, lasting bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fault, d.skip, d.lasting, d.active, d.object = fault, skip, lasting, true, object
}

// Injected returns a channel that is closed once a fault was injected into a call.
func (d *FaultInjector) Injected() <-chan struct{} { return d.injected }

// Heal stops the fault: late calls take effect, and blocked calls go on. It may be called once.
func (d *FaultInjector) Heal() {
	d.mutex.Lock()
	late := d.lateEffects
	d.lateEffects, d.active = nil, false
	d.mutex.Unlock()
	for _, effect := range late {
		effect()
	}
	close(d.healed)
}

// nextFault returns the fault of the next call, or "" for none; object is the written object, or empty for reads.
func (d *FaultInjector) nextFault(object string) CallFault {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.active || (d.object != "" && d.object != object) {
		return ""
	}
	if d.skip > 0 {
		d.skip--
		return ""
	}
	if !d.lasting {
		d.active = false
	}
	select {
	case <-d.injected:
	default:
		close(d.injected)
	}
	return d.fault
}

// deferEffect stores the effect of a call until Heal.
func (d *FaultInjector) deferEffect(effect func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lateEffects = append(d.lateEffects, effect)
}

// callWithFault makes one call with its fault, if any. A call whose answer is lost, or that arrives late or twice, takes
// effect even if ctx ended, since it had been sent by then. written names the object of a write and is empty for reads.
func callWithFault[T any](ctx context.Context, d *FaultInjector, written string, call func(context.Context) (T, error)) (T, error) {
	var zero T
	lost := errors.Wrap(edge.ErrUnavailable, "disturbed")
	if written != "" {
		lost = errors.Wrap(edge.ErrOutcomeUnknown, "disturbed")
	}
	detached := context.WithoutCancel(ctx)
	switch d.nextFault(written) {
	case Refused:
		return zero, errors.Wrap(edge.ErrUnavailable, "disturbed")
	case RequestLost:
		return zero, lost
	case AnswerLost:
		_, _ = call(detached)
		return zero, lost
	case Late:
		d.deferEffect(func() { _, _ = call(detached) })
		return zero, lost
	case Duplicated:
		first, err := call(ctx)
		_, _ = call(detached)
		return first, err
	case HeldBefore:
		<-d.healed
		return call(ctx)
	case HeldAfter:
		answer, err := call(ctx)
		<-d.healed
		return answer, err
	default:
		return call(ctx)
	}
}

// emptyAnswer is the answer to calls that return only an error.
type emptyAnswer struct{}

// Get implements edge.Store.
func (d *FaultInjector) Get(ctx context.Context, name string) (edge.Object, error) {
	return callWithFault(ctx, d, "", func(ctx context.Context) (edge.Object, error) { return d.Platform.Get(ctx, name) })
}

// List implements edge.Store.
func (d *FaultInjector) List(ctx context.Context, prefix string) ([]edge.Object, error) {
	return callWithFault(ctx, d, "", func(ctx context.Context) ([]edge.Object, error) { return d.Platform.List(ctx, prefix) })
}

// Watch implements edge.Store.
func (d *FaultInjector) Watch(ctx context.Context, name string, after edge.Version, wait time.Duration) (edge.Object, error) {
	return callWithFault(ctx, d, "", func(ctx context.Context) (edge.Object, error) {
		return d.Platform.Watch(ctx, name, after, wait)
	})
}

// Put implements edge.Store.
func (d *FaultInjector) Put(ctx context.Context, name string, value json.RawMessage, ifVersion edge.Version) (edge.Version, error) {
	return callWithFault(ctx, d, name, func(ctx context.Context) (edge.Version, error) {
		return d.Platform.Put(ctx, name, value, ifVersion)
	})
}

// Delete implements edge.Store.
func (d *FaultInjector) Delete(ctx context.Context, name string, ifVersion edge.Version) error {
	_, err := callWithFault(ctx, d, name, func(ctx context.Context) (emptyAnswer, error) {
		return emptyAnswer{}, d.Platform.Delete(ctx, name, ifVersion)
	})
	return err
}

// Order implements edge.ServerOrders.
func (d *FaultInjector) Order(ctx context.Context, order edge.ServerOrder) error {
	_, err := callWithFault(ctx, d, order.Pool, func(ctx context.Context) (emptyAnswer, error) { return emptyAnswer{}, d.Platform.Order(ctx, order) })
	return err
}

// Report implements edge.Reports.
func (d *FaultInjector) Report(ctx context.Context, name string, raw json.RawMessage) error {
	_, err := callWithFault(ctx, d, name, func(ctx context.Context) (emptyAnswer, error) {
		return emptyAnswer{}, d.Platform.Report(ctx, name, raw)
	})
	return err
}

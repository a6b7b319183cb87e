package platform

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Disturbance is what happens to calls on their way to the platform or back.
type Disturbance string

// The disturbances of calls.
const (
	// Refused: the platform refuses before any effect, as in an outage.
	Refused Disturbance = "refused"
	// RequestLost: the call never arrives, and its caller can't know.
	RequestLost Disturbance = "requestLost"
	// AnswerLost: the call takes effect, and its answer never arrives.
	AnswerLost Disturbance = "answerLost"
	// Late: the caller gives up; the call takes effect at Heal.
	Late Disturbance = "late"
	// Doubled: the call arrives twice; the first answer counts.
	Doubled Disturbance = "doubled"
	// HeldBefore: the caller stops before its call leaves, until Heal or the end of the call's context.
	HeldBefore Disturbance = "heldBefore"
	// HeldAfter: the call takes effect; the caller gets the answer at Heal.
	HeldAfter Disturbance = "heldAfter"
)

// Disturbances returns all of them.
func Disturbances() []Disturbance {
	return []Disturbance{Refused, RequestLost, AnswerLost, Late, Doubled, HeldBefore, HeldAfter}
}

// Disturbed is a platform whose calls are disturbed from the n-th on, until it is healed. Watches
// count as reads. It is safe for concurrent use.
type Disturbed struct {
	edge.Platform
	mutex   sync.Mutex
	with    Disturbance
	left    int
	lasting bool
	active  bool
	// object, if set, restricts the disturbance to writes of the object of that name.
	object  string
	late    []func()
	reached chan struct{}
	healed  chan struct{}
}

// NewDisturbed returns a platform that disturbs nothing yet.
func NewDisturbed(users edge.Platform) *Disturbed {
	return &Disturbed{Platform: users, reached: make(chan struct{}), healed: make(chan struct{})}
}

// At disturbs the call that comes after skip others; with lasting also all calls after it, until Heal.
func (d *Disturbed) At(skip int, with Disturbance, lasting bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.with, d.left, d.lasting, d.active, d.object = with, skip, lasting, true, ""
}

// AtWrite disturbs the write of an object that comes after skip others of it; with lasting also all
// writes of it after that one, until Heal.
func (d *Disturbed) AtWrite(object string, skip int, with Disturbance, lasting bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.with, d.left, d.lasting, d.active, d.object = with, skip, lasting, true, object
}

// Reached is closed once a call was disturbed.
func (d *Disturbed) Reached() <-chan struct{} { return d.reached }

// Heal ends all disturbances; late calls take effect.
func (d *Disturbed) Heal() {
	d.mutex.Lock()
	late := d.late
	d.late, d.active = nil, false
	d.mutex.Unlock()
	for _, effect := range late {
		effect()
	}
	close(d.healed)
}

// next says what happens to the next call; object is empty for all calls but writes.
func (d *Disturbed) next(object string) Disturbance {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.active || (d.object != "" && d.object != object) {
		return ""
	}
	if d.left > 0 {
		d.left--
		return ""
	}
	if !d.lasting {
		d.active = false
	}
	select {
	case <-d.reached:
	default:
		close(d.reached)
	}
	return d.with
}

func (d *Disturbed) arriveLate(effect func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.late = append(d.late, effect)
}

// disturbed carries one call. A call that is disturbed takes effect whatever became of its context,
// since it is on its way by then. written names what a write is about and is empty for reads.
func disturbed[T any](ctx context.Context, d *Disturbed, written string, call func(context.Context) (T, error)) (T, error) {
	var none T
	lost := errors.Wrap(edge.ErrUnavailable, "disturbed")
	if written != "" {
		lost = errors.Wrap(edge.ErrUnsettled, "disturbed")
	}
	away := context.WithoutCancel(ctx)
	switch d.next(written) {
	case Refused:
		return none, errors.Wrap(edge.ErrUnavailable, "disturbed")
	case RequestLost:
		return none, lost
	case AnswerLost:
		_, _ = call(away)
		return none, lost
	case Late:
		d.arriveLate(func() { _, _ = call(away) })
		return none, lost
	case Doubled:
		first, err := call(ctx)
		_, _ = call(away)
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

// none is the answer of calls that have none.
type none struct{}

// Get implements edge.Store.
func (d *Disturbed) Get(ctx context.Context, name string) (edge.Object, error) {
	return disturbed(ctx, d, "", func(ctx context.Context) (edge.Object, error) { return d.Platform.Get(ctx, name) })
}

// List implements edge.Store.
func (d *Disturbed) List(ctx context.Context, prefix string) ([]edge.Object, error) {
	return disturbed(ctx, d, "", func(ctx context.Context) ([]edge.Object, error) { return d.Platform.List(ctx, prefix) })
}

// Watch implements edge.Store.
func (d *Disturbed) Watch(ctx context.Context, name string, after edge.Version, wait time.Duration) (edge.Object, error) {
	return disturbed(ctx, d, "", func(ctx context.Context) (edge.Object, error) {
		return d.Platform.Watch(ctx, name, after, wait)
	})
}

// Put implements edge.Store.
func (d *Disturbed) Put(ctx context.Context, name string, value json.RawMessage, ifVersion edge.Version) (edge.Version, error) {
	return disturbed(ctx, d, name, func(ctx context.Context) (edge.Version, error) {
		return d.Platform.Put(ctx, name, value, ifVersion)
	})
}

// Delete implements edge.Store.
func (d *Disturbed) Delete(ctx context.Context, name string, ifVersion edge.Version) error {
	_, err := disturbed(ctx, d, name, func(ctx context.Context) (none, error) {
		return none{}, d.Platform.Delete(ctx, name, ifVersion)
	})
	return err
}

// Order implements edge.ServerOrders.
func (d *Disturbed) Order(ctx context.Context, order edge.ServerOrder) error {
	_, err := disturbed(ctx, d, order.Pool, func(ctx context.Context) (none, error) { return none{}, d.Platform.Order(ctx, order) })
	return err
}

// Report implements edge.Reports.
func (d *Disturbed) Report(ctx context.Context, name string, raw json.RawMessage) error {
	_, err := disturbed(ctx, d, name, func(ctx context.Context) (none, error) {
		return none{}, d.Platform.Report(ctx, name, raw)
	})
	return err
}

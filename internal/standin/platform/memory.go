// Package platform is a small stand-in for the users' platform: the object API, server orders, usage reports and the
// lagging host list, with faults that tests can switch on. Memory runs within the process; Server serves it over HTTP.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// MaxValueBytes is the largest value of an object.
const MaxValueBytes = 1 << 20

// ErrTooLarge is returned for a value above MaxValueBytes.
var ErrTooLarge = errors.New("value above one megabyte")

// Memory implements edge.Platform in memory. It is safe for concurrent use.
type Memory struct {
	clock func() time.Time

	mutex   sync.Mutex
	version edge.Version
	objects map[string]edge.Object
	// changed is closed and replaced when an object or the faults change.
	changed     chan struct{}
	faults      Faults
	lostAnswers int
	calls       map[CallKind]int
	// refused is the number of calls that were refused in an outage or above the rate limit.
	refused int
	bucket  tokenBucket
	orders  []edge.ServerOrder
	// fencing is the newest fencing number of the orders by availability zone.
	fencing map[string]edge.Version
	reports map[string]json.RawMessage
	// violations are the names under which a second report with other bytes was received.
	violations []string
	fleet      fleet
}

var _ edge.Platform = (*Memory)(nil)

// Option changes a stand-in under construction.
type Option func(*Memory)

// WithClock replaces time.Now.
func WithClock(clock func() time.Time) Option {
	return func(m *Memory) { m.clock = clock }
}

// WithHosts sets the hosts that can run.
func WithHosts(hosts []edge.Host) Option {
	return func(m *Memory) { m.fleet.load(hosts) }
}

// WithFaults sets the simulated faults from the start.
func WithFaults(faults Faults) Option {
	return func(m *Memory) { m.faults = faults }
}

// NewMemory returns an empty platform.
func NewMemory(opts ...Option) *Memory {
	memory := &Memory{
		clock:   time.Now,
		objects: make(map[string]edge.Object),
		changed: make(chan struct{}),
		calls:   make(map[CallKind]int),
		fencing: make(map[string]edge.Version),
		reports: make(map[string]json.RawMessage),
		fleet:   newFleet(),
	}
	for _, opt := range opts {
		opt(memory)
	}
	return memory
}

// Get implements edge.Store.
func (m *Memory) Get(ctx context.Context, name string) (edge.Object, error) {
	if err := m.beginRead(ctx, KindGet); err != nil {
		return edge.Object{}, errors.Wrap(err, name)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lookup(name)
}

// List implements edge.Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]edge.Object, error) {
	if err := m.beginRead(ctx, KindList); err != nil {
		return nil, errors.Wrap(err, prefix)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	objects := make([]edge.Object, 0)
	for name, object := range m.objects {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, cloneObject(object))
		}
	}
	slices.SortFunc(objects, func(a, b edge.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects, nil
}

// Put implements edge.Store.
func (m *Memory) Put(
	ctx context.Context, name string, value json.RawMessage, ifVersion edge.Version,
) (edge.Version, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrap(ErrTooLarge, name)
	}
	var version edge.Version
	err := m.applyWrite(ctx, KindPut, func() error {
		if m.objects[name].Version != ifVersion {
			return edge.ErrConflict
		}
		m.version++
		version = m.version
		m.objects[name] = edge.Object{Name: name, Version: version, Value: bytes.Clone(value)}
		m.notifyWatchers()
		return nil
	})
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	return version, nil
}

// Delete implements edge.Store.
func (m *Memory) Delete(ctx context.Context, name string, ifVersion edge.Version) error {
	err := m.applyWrite(ctx, KindDelete, func() error {
		object, ok := m.objects[name]
		if !ok {
			return edge.ErrNotFound
		}
		if object.Version != ifVersion {
			return edge.ErrConflict
		}
		m.version++
		delete(m.objects, name)
		m.notifyWatchers()
		return nil
	})
	return errors.Wrap(err, name)
}

// Watch implements edge.Store. A watch of an absent object waits for its creation if after is 0,
// and returns ErrNotFound at once otherwise.
func (m *Memory) Watch(
	ctx context.Context, name string, after edge.Version, wait time.Duration,
) (edge.Object, error) {
	if err := m.beginRead(ctx, KindWatch); err != nil {
		return edge.Object{}, errors.Wrap(err, name)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		object, changed, err := m.checkWatch(name, after, expired)
		if changed == nil {
			return object, err
		}
		select {
		case <-ctx.Done():
			return edge.Object{}, errors.Wrapf(edge.ErrUnavailable, "%s: %v", name, ctx.Err())
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

// checkWatch returns the result of a watch, or a channel that is closed at the next change if the watch has to go on.
func (m *Memory) checkWatch(name string, after edge.Version, expired bool) (edge.Object, <-chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.faults.Outage {
		return edge.Object{}, nil, errors.Wrap(edge.ErrUnavailable, name)
	}
	object, err := m.lookup(name)
	if expired || object.Version > after || (err != nil && after > 0) {
		return object, nil, err
	}
	return object, m.changed, nil
}

// lookup returns a copy of the object; the caller holds the mutex.
func (m *Memory) lookup(name string) (edge.Object, error) {
	object, ok := m.objects[name]
	if !ok {
		return edge.Object{}, errors.Wrap(edge.ErrNotFound, name)
	}
	return cloneObject(object), nil
}

// notifyWatchers makes all waiting watches check their objects again; the caller holds the mutex.
func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func cloneObject(object edge.Object) edge.Object {
	object.Value = bytes.Clone(object.Value)
	return object
}

package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Logged logs the calls of another platform: writes and failures, never values.
type Logged struct {
	inner Platform
	log   zerolog.Logger
}

var _ Platform = (*Logged)(nil)

// NewLogged wraps the platform.
func NewLogged(inner Platform, log zerolog.Logger) *Logged {
	return &Logged{inner: inner, log: log}
}

// Get implements Store.
func (l *Logged) Get(ctx context.Context, name string) (Object, error) {
	began := time.Now()
	object, err := l.inner.Get(ctx, name)
	l.read("get", name, began, err)
	return object, err
}

// List implements Store.
func (l *Logged) List(ctx context.Context, prefix string) ([]Object, error) {
	began := time.Now()
	objects, err := l.inner.List(ctx, prefix)
	l.read("list", prefix, began, err)
	return objects, err
}

// Put implements Store.
func (l *Logged) Put(ctx context.Context, name string, value json.RawMessage, ifVersion Version) (Version, error) {
	began := time.Now()
	version, err := l.inner.Put(ctx, name, value, ifVersion)
	l.write("put", name, began, err)
	return version, err
}

// Delete implements Store.
func (l *Logged) Delete(ctx context.Context, name string, ifVersion Version) error {
	began := time.Now()
	err := l.inner.Delete(ctx, name, ifVersion)
	l.write("delete", name, began, err)
	return err
}

// Watch implements Store.
func (l *Logged) Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error) {
	began := time.Now()
	object, err := l.inner.Watch(ctx, name, after, wait)
	l.read("watch", name, began, err)
	return object, err
}

// Order implements ServerOrders.
func (l *Logged) Order(ctx context.Context, order ServerOrder) error {
	began := time.Now()
	err := l.inner.Order(ctx, order)
	l.write("order", order.AvailabilityZone+"/"+order.Pool, began, err)
	return err
}

// Report implements Reports.
func (l *Logged) Report(ctx context.Context, name string, raw json.RawMessage) error {
	began := time.Now()
	err := l.inner.Report(ctx, name, raw)
	l.write("report", name, began, err)
	return err
}

// Hosts implements HostList.
func (l *Logged) Hosts(ctx context.Context) ([]Host, error) {
	began := time.Now()
	hosts, err := l.inner.Hosts(ctx)
	l.read("hosts", "", began, err)
	return hosts, err
}

// read logs at debug level: absent objects are common, and an outage would flood the log.
func (l *Logged) read(kind, name string, began time.Time, err error) {
	event(l.log.Debug(), kind, name, began, err)
}

// write logs what may have changed the platform; a conflict is a common outcome.
func (l *Logged) write(kind, name string, began time.Time, err error) {
	level := zerolog.DebugLevel
	if err != nil && !errors.Is(err, ErrConflict) {
		level = zerolog.WarnLevel
	}
	event(l.log.WithLevel(level), kind, name, began, err)
}

func event(e *zerolog.Event, kind, name string, began time.Time, err error) {
	e.Str("call", kind).Str("name", name).Dur("took", time.Since(began)).Err(err).Msg("platform call")
}

package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Logged logs the calls to another platform, without the values that they carry.
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
	start := time.Now()
	object, err := l.inner.Get(ctx, name)
	l.logRead("get", name, start, err)
	return object, err
}

// List implements Store.
func (l *Logged) List(ctx context.Context, prefix string) ([]Object, error) {
	start := time.Now()
	objects, err := l.inner.List(ctx, prefix)
	l.logRead("list", prefix, start, err)
	return objects, err
}

// Put implements Store.
func (l *Logged) Put(ctx context.Context, name string, value json.RawMessage, ifVersion Version) (Version, error) {
	start := time.Now()
	version, err := l.inner.Put(ctx, name, value, ifVersion)
	l.logWrite("put", name, start, err)
	return version, err
}

// Delete implements Store.
func (l *Logged) Delete(ctx context.Context, name string, ifVersion Version) error {
	start := time.Now()
	err := l.inner.Delete(ctx, name, ifVersion)
	l.logWrite("delete", name, start, err)
	return err
}

// Watch implements Store.
func (l *Logged) Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error) {
	start := time.Now()
	object, err := l.inner.Watch(ctx, name, after, wait)
	l.logRead("watch", name, start, err)
	return object, err
}

// Order implements ServerOrders.
func (l *Logged) Order(ctx context.Context, order ServerOrder) error {
	start := time.Now()
	err := l.inner.Order(ctx, order)
	l.logWrite("order", order.AvailabilityZone+"/"+order.Pool, start, err)
	return err
}

// Report implements UsageReports.
func (l *Logged) Report(ctx context.Context, name string, raw json.RawMessage) error {
	start := time.Now()
	err := l.inner.Report(ctx, name, raw)
	l.logWrite("report", name, start, err)
	return err
}

// Hosts implements HostList.
func (l *Logged) Hosts(ctx context.Context) ([]Host, error) {
	start := time.Now()
	hosts, err := l.inner.Hosts(ctx)
	l.logRead("hosts", "", start, err)
	return hosts, err
}

// logRead logs a read at debug level, even if it failed: absent objects are common, and an outage would flood the log.
func (l *Logged) logRead(operation, name string, start time.Time, err error) {
	logCall(l.log.Debug(), operation, name, start, err)
}

// logWrite logs a write: at debug level if it succeeded or met a conflict, which is common, else as a warning.
func (l *Logged) logWrite(operation, name string, start time.Time, err error) {
	level := zerolog.DebugLevel
	if err != nil && !errors.Is(err, ErrConflict) {
		level = zerolog.WarnLevel
	}
	logCall(l.log.WithLevel(level), operation, name, start, err)
}

func logCall(e *zerolog.Event, operation, name string, start time.Time, err error) {
	e.Str("call", operation).Str("name", name).Dur("took", time.Since(start)).Err(err).Msg("platform call")
}

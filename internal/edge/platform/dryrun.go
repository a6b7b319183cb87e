package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// DryRun passes reads on to another platform and only simulates writes: a write that would conflict fails with
// ErrConflict, and every other write succeeds without effect.
type DryRun struct {
	inner Platform
}

var _ Platform = (*DryRun)(nil)

// NewDryRun wraps the platform.
func NewDryRun(inner Platform) *DryRun {
	return &DryRun{inner: inner}
}

// Get implements Store.
func (d *DryRun) Get(ctx context.Context, name string) (Object, error) {
	return d.inner.Get(ctx, name)
}

// List implements Store.
func (d *DryRun) List(ctx context.Context, prefix string) ([]Object, error) {
	return d.inner.List(ctx, prefix)
}

// Put implements Store. It returns ifVersion + 1, which is not stored.
func (d *DryRun) Put(ctx context.Context, name string, _ json.RawMessage, ifVersion Version) (Version, error) {
	if err := d.checkVersion(ctx, name, ifVersion); err != nil {
		return 0, err
	}
	return ifVersion + 1, nil
}

// Delete implements Store.
func (d *DryRun) Delete(ctx context.Context, name string, ifVersion Version) error {
	return d.checkVersion(ctx, name, ifVersion)
}

// Watch implements Store.
func (d *DryRun) Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error) {
	return d.inner.Watch(ctx, name, after, wait)
}

// Order implements ServerOrders.
func (d *DryRun) Order(context.Context, ServerOrder) error {
	return nil
}

// Report implements UsageReports.
func (d *DryRun) Report(context.Context, string, json.RawMessage) error {
	return nil
}

// Hosts implements HostList.
func (d *DryRun) Hosts(ctx context.Context) ([]Host, error) {
	return d.inner.Hosts(ctx)
}

// checkVersion returns ErrConflict if the object's version is not ifVersion.
func (d *DryRun) checkVersion(ctx context.Context, name string, ifVersion Version) error {
	object, err := d.inner.Get(ctx, name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	if object.Version != ifVersion {
		return errors.Wrap(ErrConflict, name)
	}
	return nil
}

package store

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// LeaseStore adapts the store to the object API that the lease keeper uses. A lease is named "kind/name", after the kind and
// the name of its object in the store.
type LeaseStore struct {
	store *Store
	// holderAlive reports whether the lease holder is known to be alive from a source other than the lease.
	holderAlive func() bool
}

// NewLeaseStore returns the leases in the store. holderAlive reports whether the lease holder is alive according to the
// gossip between entries.
func NewLeaseStore(store *Store, holderAlive func() bool) LeaseStore {
	return LeaseStore{store: store, holderAlive: holderAlive}
}

// splitName splits "kind/name" at its first slash.
func splitName(name string) (kind, rest string) {
	kind, rest, _ = strings.Cut(name, "/")
	return kind, rest
}

// Get reads the object.
func (l LeaseStore) Get(ctx context.Context, name string) (product.Object, error) {
	kind, rest := splitName(name)
	return l.store.Get(ctx, kind, rest)
}

// List reads the objects whose names start with the prefix.
func (l LeaseStore) List(ctx context.Context, prefix string) ([]product.Object, error) {
	kind, rest := splitName(prefix)
	all, _, err := l.store.List(ctx, kind)
	if err != nil {
		return nil, err
	}
	var out []product.Object
	for _, object := range all {
		if strings.HasPrefix(object.Name, rest) {
			out = append(out, object)
		}
	}
	return out, nil
}

// Put writes the value if the object's version is still ifVersion; 0 means that the object must not exist.
func (l LeaseStore) Put(ctx context.Context, name string, value json.RawMessage, ifVersion product.Version) (product.Version, error) {
	kind, rest := splitName(name)
	if ifVersion == 0 {
		return l.store.Create(ctx, kind, rest, value)
	}
	return l.store.Update(ctx, kind, rest, value, ifVersion)
}

// Delete removes the object if its version is still ifVersion.
func (l LeaseStore) Delete(ctx context.Context, name string, ifVersion product.Version) error {
	kind, rest := splitName(name)
	return l.store.Delete(ctx, kind, rest, ifVersion)
}

// Watch reads the object as soon as the holder is no longer alive. If it hasn't been all the while, Watch first waits for the shorter of
// silentReadInterval and wait.
//
// It doesn't watch the object at the store: every renewal would end that watch, so that the watches of each contender would
// cost as many calls as the renewals. Entries hear of each other several times a second anyway, so the object is read only
// while the holder is silent. The added delay only makes a contender wait longer before it takes the lease over.
func (l LeaseStore) Watch(ctx context.Context, name string, _ product.Version, wait time.Duration) (product.Object, error) {
	wasAlive := false
	for l.holderAlive() {
		wasAlive = true
		if !ticker.Sleep(ctx, aliveCheckInterval) {
			return product.Object{}, errors.Wrap(product.ErrUnavailable, ctx.Err().Error())
		}
	}
	if !wasAlive && !ticker.Sleep(ctx, min(silentReadInterval, wait)) {
		return product.Object{}, errors.Wrap(product.ErrUnavailable, ctx.Err().Error())
	}
	return l.Get(ctx, name)
}

const (
	// aliveCheckInterval is how often a contender checks whether the holder is still alive.
	aliveCheckInterval = 250 * time.Millisecond
	// silentReadInterval is the delay between reads of the lease while the holder is silent.
	silentReadInterval = time.Second
)

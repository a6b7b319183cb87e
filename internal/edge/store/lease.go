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

// Leases shows one kind of objects of the store as the object API on which leases are kept. A lease is named by its kind
// and name with a slash between.
type Leases struct {
	store *Store
	// holderHeard says whether the holder of the lease is heard of by other means than the lease.
	holderHeard func() bool
}

// NewLeases returns the leases in the store; holderHeard says whether the holder of the lease in question is alive, as far as
// other entries know.
func NewLeases(store *Store, holderHeard func() bool) Leases {
	return Leases{store: store, holderHeard: holderHeard}
}

func split(name string) (kind, rest string) {
	kind, rest, _ = strings.Cut(name, "/")
	return kind, rest
}

// Get reads the object.
func (l Leases) Get(ctx context.Context, name string) (product.Object, error) {
	kind, rest := split(name)
	return l.store.Get(ctx, kind, rest)
}

// List reads the objects whose names start with the prefix.
func (l Leases) List(ctx context.Context, prefix string) ([]product.Object, error) {
	kind, rest := split(prefix)
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

// Put writes the value if the object's version is still ifVersion; 0: if there is none.
func (l Leases) Put(ctx context.Context, name string, value json.RawMessage, ifVersion product.Version) (product.Version, error) {
	kind, rest := split(name)
	if ifVersion == 0 {
		return l.store.Create(ctx, kind, rest, value)
	}
	return l.store.Update(ctx, kind, rest, value, ifVersion)
}

// Delete removes the object if its version is still ifVersion.
func (l Leases) Delete(ctx context.Context, name string, ifVersion product.Version) error {
	kind, rest := split(name)
	return l.store.Delete(ctx, kind, rest, ifVersion)
}

// Watch returns the object once the holder is silent and the pause or the wait is over.
//
// Each renewal would end a watch at the store, and every contender's watches would cost as much as the renewals. Entries
// hear of each other several times a second anyway, so the object is read only while the holder is silent. A wait that
// becomes longer by this only makes a taker wait longer.
func (l Leases) Watch(ctx context.Context, name string, _ product.Version, wait time.Duration) (product.Object, error) {
	for l.holderHeard() {
		if !ticker.Sleep(ctx, heardPause) {
			return product.Object{}, errors.Wrap(product.ErrUnavailable, ctx.Err().Error())
		}
	}
	if !ticker.Sleep(ctx, min(silentPause, wait)) {
		return product.Object{}, errors.Wrap(product.ErrUnavailable, ctx.Err().Error())
	}
	return l.Get(ctx, name)
}

const (
	// heardPause is how often a contender looks whether the holder is still heard of.
	heardPause = 250 * time.Millisecond
	// silentPause is the pause between reads while the holder is silent.
	silentPause = time.Second
)

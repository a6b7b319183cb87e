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
	// openJobs returns the batch jobs that are to be kept beside the lease; readJobs takes in those that a holder kept there.
	openJobs func() []string
	readJobs func(ids []string)
}

// LeasesOption changes leases under construction.
type LeasesOption func(*Leases)

// WithOpenJobs keeps the names of the open batch jobs beside the lease, with each of its writes, so that they cost no call of their own.
// Open returns them; read takes in, with each read of the lease, those that its holder knew of at its last renewal.
func WithOpenJobs(open func() []string, read func(ids []string)) LeasesOption {
	return func(l *Leases) {
		l.openJobs = open
		l.readJobs = read
	}
}

// NewLeases returns the leases in the store; holderHeard says whether the holder of the lease in question is alive, as far as
// other entries know.
func NewLeases(store *Store, holderHeard func() bool, options ...LeasesOption) Leases {
	l := Leases{store: store, holderHeard: holderHeard}
	for _, option := range options {
		option(&l)
	}
	return l
}

func split(name string) (kind, rest string) {
	kind, rest, _ = strings.Cut(name, "/")
	return kind, rest
}

// Get reads the object.
func (l Leases) Get(ctx context.Context, name string) (product.Object, error) {
	kind, rest := split(name)
	object, err := l.store.Get(ctx, kind, rest)
	if err == nil {
		l.takeJobs(object.Value)
	}
	return object, err
}

// fieldOpenJobs is the field of the object, beside those of the lease, that names the open batch jobs.
const fieldOpenJobs = "openJobs"

// addJobs adds the names of the open batch jobs to the value of a lease.
func (l Leases) addJobs(value json.RawMessage) (json.RawMessage, error) {
	if l.openJobs == nil {
		return value, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		return nil, errors.Wrap(err, "lease")
	}
	jobs, err := json.Marshal(l.openJobs())
	if err != nil {
		return nil, errors.Wrap(err, "open batch jobs")
	}
	fields[fieldOpenJobs] = jobs
	return json.Marshal(fields)
}

// takeJobs hands on the names of batch jobs in the value of a lease. One that was written without them has none.
func (l Leases) takeJobs(value json.RawMessage) {
	var fields struct {
		OpenJobs []string `json:"openJobs"`
	}
	if l.readJobs == nil || json.Unmarshal(value, &fields) != nil || len(fields.OpenJobs) == 0 {
		return
	}
	l.readJobs(fields.OpenJobs)
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
	value, err := l.addJobs(value)
	if err != nil {
		return 0, err
	}
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

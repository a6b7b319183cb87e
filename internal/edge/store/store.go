// Package store carries calls to the platform's store: straight to it, or through another entry while the store turns this
// host away. It is the one client of the store for all parts of a process.
package store

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// callTimeout bounds a call. The store answers in milliseconds, and within a third of a second while it is slow; a
	// host that is cut off goes through another one after this time.
	callTimeout = 800 * time.Millisecond
	// awayTime is how long calls go through another host first once the store turned this one away: in that time
	// another call would cost as much and be turned away too.
	awayTime = 2 * time.Second
)

// Carrier carries one call to the store.
type Carrier interface {
	// Carry returns the answer, or an error that is a product.ErrUnavailable (not sent) or product.ErrUnsettled.
	Carry(ctx context.Context, call platform.Call) (platform.Reply, error)
}

// Store is the platform's store as the product sees it.
type Store struct {
	direct Carrier
	relay  Carrier
	log    zerolog.Logger
	// awayUntil is the time until which the store is assumed to turn this host away, or nil if it has not done so yet.
	// It keeps its monotonic clock reading so that wall clock steps don't change the duration.
	awayUntil atomic.Pointer[time.Time]
	reached   atomic.Bool
	metrics   *Metrics
}

// New returns a store that is reached through direct, and through relay while direct fails.
func New(direct, relay Carrier, metrics *Metrics, log zerolog.Logger) *Store {
	s := &Store{direct: direct, relay: relay, log: log, metrics: metrics}
	s.reached.Store(true)
	return s
}

// Away says whether the store turns this host away for now.
func (s *Store) Away(now time.Time) bool {
	until := s.awayUntil.Load()
	return until != nil && now.Before(*until)
}

// Direct carries a call straight to the store, without another host's help; other entries use it through this host.
func (s *Store) Direct(ctx context.Context, call platform.Call) (platform.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+call.Wait)
	defer cancel()
	started := time.Now()
	reply, err := s.direct.Carry(ctx, call)
	s.log.Debug().Str("method", call.Method).Str("target", call.Target).Int("status", reply.Status).Err(err).Dur("took", time.Since(started)).Msg("store called")
	s.metrics.called(call.Method, time.Since(started), err == nil && !turnedAway(reply))
	return reply, err
}

func turnedAway(reply platform.Reply) bool {
	return reply.Status == statusTooMany || reply.Status >= statusServerError
}

// Statuses by which the store turns a host away.
const (
	statusTooMany     = 429
	statusServerError = 500
)

// call carries a call straight to the store, or through another entry.
//
// Guard: a write may be tried on several ways, and each of them may have carried it out without an answer. Judged by the last way alone it was
// said to have had no effect, while the job or the end that it wrote was there. So a write of which one way is open stays open.
func (s *Store) call(ctx context.Context, call platform.Call) (platform.Reply, error) {
	var open error
	note := func(err error) {
		if call.Writes() && errors.Is(err, product.ErrUnsettled) {
			open = err
		}
	}
	if s.Away(time.Now()) {
		reply, err := s.relay.Carry(ctx, call)
		if err == nil && !turnedAway(reply) {
			return reply, nil
		}
		note(err)
	}
	reply, err := s.Direct(ctx, call)
	if err == nil && !turnedAway(reply) {
		s.noteReached()
		return reply, nil
	}
	note(err)
	if ctx.Err() == nil && call.Wait == 0 {
		s.noteAway(reply, err)
		relayed, relayErr := s.relay.Carry(ctx, call)
		if relayErr == nil && !turnedAway(relayed) {
			return relayed, nil
		}
		note(relayErr)
	}
	if open != nil {
		return platform.Reply{}, open
	}
	return reply, err
}

func (s *Store) noteReached() {
	if !s.reached.Swap(true) {
		s.log.Info().Str("dependency", "store").Msg("regained")
	}
}

func (s *Store) noteAway(reply platform.Reply, err error) {
	until := time.Now().Add(awayTime)
	s.awayUntil.Store(&until)
	if s.reached.Swap(false) {
		s.log.Warn().Str("dependency", "store").Int("status", reply.Status).Err(err).Msg("lost")
	}
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, kind, name string) (product.Object, error) {
	reply, err := s.call(ctx, platform.Get(kind, name))
	if err != nil {
		return product.Object{}, readError(err)
	}
	object, err := platform.ReadObject(reply)
	return object, errors.Wrapf(readError(err), "%s/%s", kind, name)
}

// List reads all objects of a kind, and a revision from which on a watch tells of everything that the list doesn't hold.
//
// Guard: a kind of more than some 500 objects comes in several answers. An object of the first one may change before the last one is
// given; watched from the revision of the last, that change would never be seen. So the revision is that of the first.
func (s *Store) List(ctx context.Context, kind string) ([]product.Object, product.Version, error) {
	var objects []product.Object
	var revision product.Version
	after := ""
	for {
		reply, err := s.call(ctx, platform.List(kind, after, false))
		if err != nil {
			return nil, 0, readError(err)
		}
		page, err := platform.ReadList(reply)
		if err != nil {
			return nil, 0, errors.Wrap(readError(err), kind)
		}
		objects = append(objects, page.Objects...)
		if revision == 0 {
			revision = page.Revision
		}
		if !page.More || len(page.Objects) == 0 {
			return objects, revision, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

// Probe finds out whether the store can be reached from here, by a read that is cheap and may be old.
func (s *Store) Probe(ctx context.Context) error {
	reply, err := s.Direct(ctx, platform.List(platform.KindModelVersions, "", true))
	if err != nil {
		return readError(err)
	}
	_, err = platform.ReadList(reply)
	return readError(err)
}

// Watch waits until an object of the kind changes after the revision. It goes straight to the store only.
func (s *Store) Watch(ctx context.Context, kind string, after product.Version, wait time.Duration) (platform.Changes, error) {
	reply, err := s.call(ctx, platform.Watch(kind, after, wait))
	if err != nil {
		return platform.Changes{}, readError(err)
	}
	changes, err := platform.ReadChanges(reply)
	return changes, errors.Wrap(readError(err), kind)
}

// Create creates an object; a product.ErrConflict says that there is one of the name.
func (s *Store) Create(ctx context.Context, kind, name string, value json.RawMessage) (product.Version, error) {
	call, err := platform.Create(kind, name, value)
	if err != nil {
		return 0, err
	}
	return s.write(ctx, call, kind, name)
}

// Update replaces the value of an object that still has the version.
func (s *Store) Update(ctx context.Context, kind, name string, value json.RawMessage, version product.Version) (product.Version, error) {
	call, err := platform.Update(kind, name, value, version)
	if err != nil {
		return 0, err
	}
	return s.write(ctx, call, kind, name)
}

// Delete removes an object that still has the version; 0 removes it whatever its version is.
func (s *Store) Delete(ctx context.Context, kind, name string, version product.Version) error {
	reply, err := s.call(ctx, platform.Delete(kind, name, version))
	if err != nil {
		return err
	}
	return errors.Wrapf(platform.ReadDone(reply), "%s/%s", kind, name)
}

// OpenRetirements returns the hosts that are to be emptied and are not reported as empty. The answer may be seconds old, which is
// cheap, and a report that comes twice is harmless.
func (s *Store) OpenRetirements(ctx context.Context) ([]string, product.Version, error) {
	reply, err := s.call(ctx, platform.List(platform.KindRetirements, "", true))
	if err != nil {
		return nil, 0, readError(err)
	}
	hosts, revision, err := platform.OpenRetirements(reply)
	return hosts, revision, errors.Wrap(readError(err), platform.KindRetirements)
}

// Retired reports that a host holds nothing any more.
func (s *Store) Retired(ctx context.Context, host string) error {
	call, err := platform.Retired(host)
	if err != nil {
		return err
	}
	_, err = s.write(ctx, call, platform.KindRetirements, host)
	return err
}

func (s *Store) write(ctx context.Context, call platform.Call, kind, name string) (product.Version, error) {
	reply, err := s.call(ctx, call)
	if err != nil {
		return 0, errors.Wrapf(err, "%s/%s", kind, name)
	}
	object, err := platform.ReadObject(reply)
	return object.Version, errors.Wrapf(err, "%s/%s", kind, name)
}

// readError takes a lost answer to a read for an unavailable store: a read leaves nothing open.
func readError(err error) error {
	if errors.Is(err, product.ErrUnsettled) {
		return errors.Wrap(product.ErrUnavailable, err.Error())
	}
	return err
}

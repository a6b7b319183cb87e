// Package store is the client of the platform's store that all parts of a process share. It calls the store directly, or
// through another entry while the store rejects this host's calls or can't be reached from it.
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
	// callTimeout bounds a call, beyond the time that a watch may wait. The store answers in milliseconds, and within a
	// third of a second while it is slow. A host that is cut off uses another one after this time.
	callTimeout = 800 * time.Millisecond
	// unavailableTime is how long calls go through another host first after a direct call failed. Another direct call in
	// that time would cost as much and be rejected too.
	unavailableTime = 2 * time.Second
)

// Transport sends a call to the store.
type Transport interface {
	// Send returns the answer, whatever its status, or an error that is a product.ErrUnavailable (not sent) or a
	// product.ErrOutcomeUnknown (sent, but the answer was lost).
	Send(ctx context.Context, call platform.Call) (platform.Reply, error)
}

// Store reads, writes and watches objects of the platform's store. It is safe for concurrent use.
type Store struct {
	direct Transport
	relay  Transport
	log    zerolog.Logger
	// unavailableUntil is the time until which direct calls are assumed to fail, or nil if none has failed yet.
	// It keeps its monotonic clock reading so that wall clock steps don't change the duration.
	unavailableUntil atomic.Pointer[time.Time]
	// directAvailable is false from a failed direct call until the next successful one. Only changes of it are logged.
	directAvailable atomic.Bool
	metrics         *Metrics
}

// New returns a store that sends calls over direct, and over relay while direct fails.
func New(direct, relay Transport, metrics *Metrics, log zerolog.Logger) *Store {
	s := &Store{direct: direct, relay: relay, log: log, metrics: metrics}
	s.directAvailable.Store(true)
	return s
}

// DirectUnavailable reports whether a direct call other than a watch or a probe failed within the last unavailableTime.
func (s *Store) DirectUnavailable(now time.Time) bool {
	until := s.unavailableUntil.Load()
	return until != nil && now.Before(*until)
}

// CallDirect sends a call to the store without the relay. Other entries use it to relay their calls through this host.
func (s *Store) CallDirect(ctx context.Context, call platform.Call) (platform.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+call.Wait)
	defer cancel()
	started := time.Now()
	reply, err := s.direct.Send(ctx, call)
	s.log.Debug().Str("method", call.Method).Str("target", call.Target).Int("status", reply.Status).Err(err).
		Dur("took", time.Since(started)).Msg("store called")
	s.metrics.recordCall(call.Method, time.Since(started), err == nil && !rejected(reply))
	return reply, err
}

// rejected reports whether the store rejected a call because of its rate limit or a failure of its own.
func rejected(reply platform.Reply) bool {
	return reply.Status == statusTooManyRequests || reply.Status >= statusServerError
}

// Statuses with which the store rejects calls. statusServerError is the lowest of its range.
const (
	statusTooManyRequests = 429
	statusServerError     = 500
)

// call sends a call that the store answers at once, directly or through another entry.
//
// A write may be sent over several paths, and each of them may have taken effect although its answer was lost. When
// only the last attempt decided, a write was reported as without effect although the job or the end of a job that it wrote was
// in the store. So a write returns product.ErrOutcomeUnknown if any of its attempts did, unless a later attempt gets an answer
// that is not a rejection.
func (s *Store) call(ctx context.Context, call platform.Call) (platform.Reply, error) {
	var uncertain error
	noteUncertain := func(err error) {
		if call.Writes() && errors.Is(err, product.ErrOutcomeUnknown) {
			uncertain = err
		}
	}
	if s.DirectUnavailable(time.Now()) {
		reply, err := s.relay.Send(ctx, call)
		if err == nil && !rejected(reply) {
			return reply, nil
		}
		noteUncertain(err)
	}
	reply, err := s.CallDirect(ctx, call)
	if err == nil && !rejected(reply) {
		s.recordAvailable()
		return reply, nil
	}
	noteUncertain(err)
	if ctx.Err() == nil {
		s.recordUnavailable(reply, err)
		relayed, relayErr := s.relay.Send(ctx, call)
		if relayErr == nil && !rejected(relayed) {
			return relayed, nil
		}
		noteUncertain(relayErr)
	}
	if uncertain != nil {
		return platform.Reply{}, uncertain
	}
	return reply, err
}

// recordAvailable notes a successful direct call.
func (s *Store) recordAvailable() {
	if !s.directAvailable.Swap(true) {
		s.log.Info().Str("dependency", "store").Msg("regained")
	}
}

// recordUnavailable notes a failed direct call, so that calls go through the relay first for unavailableTime.
func (s *Store) recordUnavailable(reply platform.Reply, err error) {
	until := time.Now().Add(unavailableTime)
	s.unavailableUntil.Store(&until)
	if s.directAvailable.Swap(false) {
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

// List reads all objects of a kind. It also returns the revision from which a watch shows every change that the list misses.
//
// A kind with more than about 500 objects comes in several pages. An object of the first page may change before the last
// page is read, and a watch from the last page's revision would never show that change. So the revision is that of the
// first page.
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

// Changed reports whether an object of the kind may have changed after the revision. It is a cheap direct call, which also shows whether this
// host reaches the store. A change of the last seconds may be missing.
func (s *Store) Changed(ctx context.Context, kind string, after product.Version) (bool, error) {
	reply, err := s.CallDirect(ctx, platform.CheckChanges(kind, after))
	if err != nil {
		return false, readError(err)
	}
	changes, err := platform.ReadChanges(reply)
	if errors.Is(err, platform.ErrCompacted) {
		return true, nil
	}
	return len(changes.Changes) > 0, errors.Wrap(readError(err), kind)
}

// Watch waits up to wait for a change to an object of the kind after the revision. It is never sent through another entry:
// Changed, by which a caller tells whether a watch without an answer still hears of changes, only checks this host's own path to the store.
func (s *Store) Watch(ctx context.Context, kind string, after product.Version, wait time.Duration) (platform.Changes, error) {
	reply, err := s.CallDirect(ctx, platform.Watch(kind, after, wait))
	if err != nil {
		return platform.Changes{}, readError(err)
	}
	changes, err := platform.ReadChanges(reply)
	return changes, errors.Wrap(readError(err), kind)
}

// Create creates an object. It returns a product.ErrConflict if there is already one of that name.
func (s *Store) Create(ctx context.Context, kind, name string, value json.RawMessage) (product.Version, error) {
	call, err := platform.Create(kind, name, value)
	if err != nil {
		return 0, err
	}
	return s.write(ctx, call, kind, name)
}

// Update replaces the value of an object if its version is still the given one, else it returns a product.ErrConflict.
func (s *Store) Update(ctx context.Context, kind, name string, value json.RawMessage, version product.Version) (product.Version, error) {
	call, err := platform.Update(kind, name, value, version)
	if err != nil {
		return 0, err
	}
	return s.write(ctx, call, kind, name)
}

// Delete removes an object if its version is still the given one; 0 removes any version.
func (s *Store) Delete(ctx context.Context, kind, name string, version product.Version) error {
	reply, err := s.call(ctx, platform.Delete(kind, name, version))
	if err != nil {
		return err
	}
	return errors.Wrapf(platform.CheckStatus(reply), "%s/%s", kind, name)
}

// OpenRetirements returns the hosts that the platform wants to remove and that have not been reported as drained yet. It
// makes a cheap read whose answer may be seconds old, because reporting a host twice is harmless.
func (s *Store) OpenRetirements(ctx context.Context) ([]string, product.Version, error) {
	reply, err := s.call(ctx, platform.List(platform.KindRetirements, "", true))
	if err != nil {
		return nil, 0, readError(err)
	}
	hosts, revision, err := platform.ReadOpenRetirements(reply)
	return hosts, revision, errors.Wrap(readError(err), platform.KindRetirements)
}

// ReportRetired reports that a host is drained, so that the platform may remove it.
func (s *Store) ReportRetired(ctx context.Context, host string) error {
	call, err := platform.CompleteRetirement(host)
	if err != nil {
		return err
	}
	_, err = s.write(ctx, call, platform.KindRetirements, host)
	return err
}

// write sends a write of an object and returns the object's new version.
func (s *Store) write(ctx context.Context, call platform.Call, kind, name string) (product.Version, error) {
	reply, err := s.call(ctx, call)
	if err != nil {
		return 0, errors.Wrapf(err, "%s/%s", kind, name)
	}
	object, err := platform.ReadObject(reply)
	return object.Version, errors.Wrapf(err, "%s/%s", kind, name)
}

// readError turns the lost answer to a read into a product.ErrUnavailable, because a read has no effect whose
// outcome could be unknown.
func readError(err error) error {
	if errors.Is(err, product.ErrOutcomeUnknown) {
		return errors.Wrap(product.ErrUnavailable, err.Error())
	}
	return err
}

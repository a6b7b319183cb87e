package configuration

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// partRetention is how long an unreferenced part is retained, since hosts that still have an older head read it.
	partRetention = time.Hour
	// maxPartsAge bounds the time that a publisher may take from writing its first part to writing the head. It is
	// far below partRetention.
	maxPartsAge = 10 * time.Minute
	// partShards is the number of shards, which are formed by the first digit of the hash. With 5,400 tickets a day
	// a list holds about 20 unreferenced parts and a sixteenth of the referenced ones.
	partShards = 16
	// sweepInterval is the time between the sweeps of two shards, so that each shard is swept every 16 minutes.
	sweepInterval = time.Minute
)

// Duty reports whether this host may perform a singleton duty at the moment.
type Duty interface {
	Held(now time.Time) (number platform.Version, deadline time.Time, ok bool)
}

// PartSweeper deletes parts that no head has referenced for an hour. It works under a duty, so that a single host
// does it for all.
//
// Load pattern: 5,400 tickets a day leave as many small unreferenced objects. Without the sweeper the platform would
// hold about two million of them after a year.
//
// It guards against the deletion of a part that a new ticket references again because it restores earlier content.
// No host could then apply the head of that ticket. So a publisher writes such a part again, which gives it a new
// version, before it writes the head, and a deletion is conditional on the version that was unreferenced for an hour.
type PartSweeper struct {
	store platform.Store
	duty  Duty
	log   zerolog.Logger
	shard int
	// unreferenced holds the unreferenced parts by object name. Only the sweeping goroutine uses it.
	unreferenced map[string]unreferencedPart
	wg           conc.WaitGroup
}

// unreferencedPart is a version of a part that no head has referenced since the given time.
type unreferencedPart struct {
	version platform.Version
	since   time.Time
}

// NewPartSweeper starts a sweeper that runs until ctx is cancelled.
func NewPartSweeper(ctx context.Context, store platform.Store, duty Duty, log zerolog.Logger) *PartSweeper {
	s := newPartSweeper(store, duty, log)
	s.wg.Go(func() {
		ticker.Every(ctx, sweepInterval, func(now time.Time) {
			if err := s.sweep(ctx, now); err != nil {
				s.log.Warn().Err(err).Msg("cannot sweep the configuration parts")
			}
		})
	})
	return s
}

func newPartSweeper(store platform.Store, duty Duty, log zerolog.Logger) *PartSweeper {
	return &PartSweeper{store: store, duty: duty, log: log, unreferenced: map[string]unreferencedPart{}}
}

// Wait waits for the sweeper to end after its context was cancelled.
func (s *PartSweeper) Wait() { s.wg.Wait() }

// sweep sweeps the next shard. It reads the head after the parts, so that a part is kept if a head has come to
// reference it in between.
func (s *PartSweeper) sweep(ctx context.Context, now time.Time) error {
	_, deadline, held := s.duty.Held(now)
	if !held {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	prefix := fmt.Sprintf("%s%x", ticket.PartObjectPrefix, s.shard)
	objects, err := s.store.List(ctx, prefix)
	if err != nil {
		return errors.Wrap(err, prefix)
	}
	referenced, err := s.referenced(ctx)
	if err != nil {
		return err
	}
	s.shard = (s.shard + 1) % partShards
	return s.deleteExpired(ctx, now, s.updateUnreferenced(now, prefix, objects, referenced))
}

// referenced returns the object names of the parts that the current head references.
func (s *PartSweeper) referenced(ctx context.Context) (map[string]bool, error) {
	object, err := s.store.Get(ctx, ticket.HeadObject)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, ticket.HeadObject)
	}
	head, err := ticket.DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	referenced := make(map[string]bool, len(head.Parts))
	for _, hash := range head.Parts {
		referenced[ticket.PartObject(hash)] = true
	}
	return referenced, nil
}

// updateUnreferenced records the unreferenced parts of a shard, and since when they are, and returns them.
func (s *PartSweeper) updateUnreferenced(now time.Time, prefix string, objects []platform.Object, referenced map[string]bool) map[string]unreferencedPart {
	found := map[string]unreferencedPart{}
	for _, object := range objects {
		if referenced[object.Name] {
			continue
		}
		part, known := s.unreferenced[object.Name]
		if !known || part.version != object.Version {
			part = unreferencedPart{version: object.Version, since: now}
		}
		found[object.Name] = part
	}
	for name := range s.unreferenced {
		if strings.HasPrefix(name, prefix) {
			delete(s.unreferenced, name)
		}
	}
	for name, part := range found {
		s.unreferenced[name] = part
	}
	return found
}

func (s *PartSweeper) deleteExpired(ctx context.Context, now time.Time, parts map[string]unreferencedPart) error {
	for name, part := range parts {
		if now.Sub(part.since) < partRetention {
			continue
		}
		err := s.store.Delete(ctx, name, part.version)
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

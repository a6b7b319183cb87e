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
	// partLife is how long a part that no head names is kept: hosts that are behind by some heads still read it.
	partLife = time.Hour
	// partsGoodFor is how long a publisher may take from its first part to the head; far below partLife.
	partsGoodFor = 10 * time.Minute
	// partShards divide the parts by the first digit of their hash. With 5,400 tickets a day a list then holds some 20
	// parts that are not in force beside a sixteenth of those that are.
	partShards = 16
	// partInterval makes each shard's turn come every 16 minutes.
	partInterval = time.Minute
)

// Duty says whether this host may act for a duty now.
type Duty interface {
	Held(now time.Time) (number platform.Version, deadline time.Time, ok bool)
}

// PartSweeper deletes parts that no head has named for an hour, under a duty so that one host does it for all.
//
// Load pattern: 5,400 tickets a day leave as many small objects behind. Without it the platform would hold some two
// million of them after a year.
//
// Guard: a ticket that brings an earlier content back names a part that is being deleted, and no host could take its head
// in. A publisher gives such a part a new version before it names it, and a deletion is conditional on the version that was
// unnamed for an hour.
type PartSweeper struct {
	store platform.Store
	duty  Duty
	log   zerolog.Logger
	shard int
	// unnamed holds by object name what no head has named since a moment. Only the sweeping goroutine uses it.
	unnamed map[string]unnamedPart
	work    conc.WaitGroup
}

// unnamedPart is a part that no head names.
type unnamedPart struct {
	version platform.Version
	since   time.Time
}

// NewPartSweeper sweeps until ctx ends.
func NewPartSweeper(ctx context.Context, store platform.Store, duty Duty, log zerolog.Logger) *PartSweeper {
	s := newPartSweeper(store, duty, log)
	s.work.Go(func() {
		ticker.Every(ctx, partInterval, func(now time.Time) {
			if err := s.sweep(ctx, now); err != nil {
				s.log.Warn().Err(err).Msg("sweep parts of the configuration")
			}
		})
	})
	return s
}

func newPartSweeper(store platform.Store, duty Duty, log zerolog.Logger) *PartSweeper {
	return &PartSweeper{store: store, duty: duty, log: log, unnamed: map[string]unnamedPart{}}
}

// Wait returns once the sweeper has ended, after its context has.
func (s *PartSweeper) Wait() { s.work.Wait() }

// sweep looks at the next shard. The head is read after the parts, so that a part which a head names since is spared.
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
	named, err := s.named(ctx)
	if err != nil {
		return err
	}
	s.shard = (s.shard + 1) % partShards
	return s.deleteOld(ctx, now, s.track(now, prefix, objects, named))
}

// named returns the names of the parts of the present head.
func (s *PartSweeper) named(ctx context.Context) (map[string]bool, error) {
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
	named := make(map[string]bool, len(head.Parts))
	for _, hash := range head.Parts {
		named[ticket.PartObject(hash)] = true
	}
	return named, nil
}

// track notes which parts of a shard are unnamed, and since when, and returns them.
func (s *PartSweeper) track(now time.Time, prefix string, objects []platform.Object, named map[string]bool) map[string]unnamedPart {
	found := map[string]unnamedPart{}
	for _, object := range objects {
		if named[object.Name] {
			continue
		}
		part, known := s.unnamed[object.Name]
		if !known || part.version != object.Version {
			part = unnamedPart{version: object.Version, since: now}
		}
		found[object.Name] = part
	}
	for name := range s.unnamed {
		if strings.HasPrefix(name, prefix) {
			delete(s.unnamed, name)
		}
	}
	for name, part := range found {
		s.unnamed[name] = part
	}
	return found
}

func (s *PartSweeper) deleteOld(ctx context.Context, now time.Time, parts map[string]unnamedPart) error {
	for name, part := range parts {
		if now.Sub(part.since) < partLife {
			continue
		}
		err := s.store.Delete(ctx, name, part.version)
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

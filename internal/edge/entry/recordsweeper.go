package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// RecordLife is how long an idempotency key is remembered: a day, the longest time after which a
	// client's own retries of a booking or charge are still the same call.
	RecordLife = 24 * time.Hour
	// recordShards bounds one listing of records; one shard is swept at a time.
	recordShards = 256
	// sweepInterval visits every shard within about two hours and costs a listing every half minute.
	sweepInterval = 30 * time.Second
)

// Duty says whether this host may act for a duty now.
type Duty interface {
	Held(now time.Time) (number platform.Version, deadline time.Time, ok bool)
}

// RecordSweeper deletes idempotency records that are older than RecordLife, under a duty so that one
// host does it for all.
type RecordSweeper struct {
	store platform.Store
	duty  Duty
	log   zerolog.Logger
	shard int
	work  conc.WaitGroup
}

// NewRecordSweeper sweeps until ctx ends.
func NewRecordSweeper(ctx context.Context, store platform.Store, duty Duty, log zerolog.Logger) *RecordSweeper {
	s := &RecordSweeper{store: store, duty: duty, log: log}
	s.work.Go(func() {
		ticker.Every(ctx, sweepInterval, func(now time.Time) {
			if err := s.sweep(ctx, now); err != nil {
				s.log.Warn().Err(err).Msg("sweep idempotency records")
			}
		})
	})
	return s
}

// Wait returns once the sweeper has ended, after its context has.
func (s *RecordSweeper) Wait() { s.work.Wait() }

// sweep deletes the old records of the next shard. A record that changed meanwhile is left alone.
func (s *RecordSweeper) sweep(ctx context.Context, now time.Time) error {
	if _, _, held := s.duty.Held(now); !held {
		return nil
	}
	prefix := recordPrefix(s.shard)
	objects, err := s.store.List(ctx, prefix)
	if err != nil {
		return errors.Wrap(err, prefix)
	}
	s.shard = (s.shard + 1) % recordShards
	for _, object := range objects {
		if !isOld(object, now) {
			continue
		}
		err := s.store.Delete(ctx, object.Name, object.Version)
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			return errors.Wrap(err, object.Name)
		}
	}
	return nil
}

func isOld(object platform.Object, now time.Time) bool {
	var kept record
	if err := json.Unmarshal(object.Value, &kept); err != nil {
		return false
	}
	return now.Sub(kept.Created) > RecordLife
}

func recordPrefix(shard int) string { return fmt.Sprintf("idempotency/%02x/", shard) }

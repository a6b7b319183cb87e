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
	// RecordRetention is how long an idempotency key is remembered. A client that repeats a booking or charge within a
	// day may still mean the same call.
	RecordRetention = 24 * time.Hour
	// recordShards bounds the size of one listing of records; one shard is swept at a time.
	recordShards = 256
	// sweepInterval visits every shard within about two hours, at the cost of one listing every half minute.
	sweepInterval = 30 * time.Second
)

// Duty reports whether this host holds a duty now.
type Duty interface {
	Held(now time.Time) (number platform.Version, deadline time.Time, ok bool)
}

// RecordSweeper deletes idempotency records that are older than RecordRetention. It acts only while this host holds
// the duty, so that one host sweeps for all.
type RecordSweeper struct {
	store platform.Store
	duty  Duty
	log   zerolog.Logger
	shard int
	wg    conc.WaitGroup
}

// NewRecordSweeper starts a sweeper that runs until ctx ends.
func NewRecordSweeper(ctx context.Context, store platform.Store, duty Duty, log zerolog.Logger) *RecordSweeper {
	s := &RecordSweeper{store: store, duty: duty, log: log}
	s.wg.Go(func() {
		ticker.Every(ctx, sweepInterval, func(now time.Time) {
			if err := s.sweep(ctx, now); err != nil {
				s.log.Warn().Err(err).Msg("sweep idempotency records")
			}
		})
	})
	return s
}

// Wait returns once the sweeper has ended, which it does after its context ends.
func (s *RecordSweeper) Wait() { s.wg.Wait() }

// sweep deletes the expired records of the next shard. A record that changes after it was listed is kept.
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
		if !isExpired(object, now) {
			continue
		}
		err := s.store.Delete(ctx, object.Name, object.Version)
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			return errors.Wrap(err, object.Name)
		}
	}
	return nil
}

func isExpired(object platform.Object, now time.Time) bool {
	var stored record
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return false
	}
	return now.Sub(stored.Created) > RecordRetention
}

func recordPrefix(shard int) string { return fmt.Sprintf("idempotency/%02x/", shard) }

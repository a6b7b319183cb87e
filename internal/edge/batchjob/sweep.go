package batchjob

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// SweepInterval is the time between two sweeps. Listing the ends costs a call for each 500.
	SweepInterval = 5 * time.Minute
	// jobRetention is how long after its acceptance an ended job is kept: results are read for two minutes, and a call to the store may be
	// carried out seconds late.
	jobRetention = 10 * time.Minute
	// maxSweptJobs is how many jobs one sweep removes; each has some ten objects, and the store allows some hundred writes a second.
	maxSweptJobs = 40
)

// endRecord is the object of the store that marks a job as ended.
type endRecord struct {
	Accepted time.Time `json:"accepted"`
}

// Sweep removes ended jobs from the store whose results may not be read any more; without it the store would grow by some 700 KB a step.
// The end is deleted last, so that the next sweep continues one that broke off.
func (m *Manager) Sweep(ctx context.Context, now time.Time) error {
	ends, _, err := m.store.List(ctx, KindEnds)
	if err != nil {
		return errors.Wrap(err, "sweep")
	}
	removed := 0
	for _, object := range ends {
		var ended endRecord
		if err := json.Unmarshal(object.Value, &ended); err != nil {
			m.log.Warn().Err(err).Str("request", object.Name).Msg("end of a batch job can't be read")
			continue
		}
		if now.Sub(ended.Accepted) < jobRetention || removed == maxSweptJobs {
			continue
		}
		if err := m.deleteJob(ctx, object.Name); err != nil {
			return errors.Wrapf(err, "sweep job %s", object.Name)
		}
		removed++
	}
	m.log.Info().Int("ended", len(ends)).Int("removed", removed).Msg("ended batch jobs removed")
	return nil
}

// deleteJob deletes a job, its pages and its end, in this order.
func (m *Manager) deleteJob(ctx context.Context, id string) error {
	if err := m.delete(ctx, KindJobs, id); err != nil && !errors.Is(err, product.ErrNotFound) {
		return err
	}
	for number := 1; ; number++ {
		err := m.delete(ctx, KindPages, pageName(id, number))
		if errors.Is(err, product.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
	}
	return m.delete(ctx, KindEnds, id)
}

func (m *Manager) delete(ctx context.Context, kind, name string) error {
	return m.store.Delete(ctx, kind, name, 0)
}

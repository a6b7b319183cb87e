package batchjob

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// pageName names the page with the number, from 1, of a job's log.
func pageName(job string, number int) string { return fmt.Sprintf("%s-%06d", job, number) }

// peek reads a job without its pages.
func (m *Manager) peek(ctx context.Context, id string) (*job, error) {
	object, err := m.store.Get(ctx, KindJobs, id)
	if errors.Is(err, product.ErrNotFound) {
		return nil, notFound(id)
	}
	if err != nil {
		return nil, storeRefusal(err)
	}
	var spec batch.Job
	if err := json.Unmarshal(object.Value, &spec); err != nil {
		return nil, storeRefusal(errors.Wrapf(err, "job %s", id))
	}
	return newJob(&spec), nil
}

// read reads a job with all its pages.
func (m *Manager) read(ctx context.Context, id, organisation string) (*job, error) {
	j, err := m.known(ctx, id)
	if err != nil {
		return nil, err
	}
	if organisation != "" && j.spec.Organisation != organisation {
		return nil, notFound(id)
	}
	if err := m.catchUp(ctx, j); err != nil {
		return nil, storeRefusal(err)
	}
	if j.over() {
		return j, nil
	}
	ended, err := m.endInStore(ctx, id)
	if err != nil {
		return nil, storeRefusal(err)
	}
	if ended {
		j.end()
		m.endHere(id)
	}
	return j, nil
}

// endInStore says whether the store holds the end of a job.
func (m *Manager) endInStore(ctx context.Context, id string) (bool, error) {
	_, err := m.store.Get(ctx, KindEnds, id)
	if errors.Is(err, product.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// known returns a job that is in memory, or reads it without its pages and remembers it.
//
// Guard: a store that is slow takes longer for the pages of a job than a call lasts. Read from the first page at each call, the job was never
// shown nor taken over; remembered, each call goes on where the one before ended.
func (m *Manager) known(ctx context.Context, id string) (*job, error) {
	if j, ok := m.find(id); ok {
		return j, nil
	}
	j, err := m.peek(ctx, id)
	if err != nil {
		return nil, err
	}
	return m.keep(j), nil
}

// catchUp reads the pages that follow those known.
func (m *Manager) catchUp(ctx context.Context, j *job) error {
	for {
		j.mu.Lock()
		next := j.progress.Pages() + 1
		complete := j.progress.Complete()
		j.mu.Unlock()
		if complete {
			return nil
		}
		asked := time.Now()
		object, err := m.store.Get(ctx, KindPages, pageName(j.spec.ID, next))
		if errors.Is(err, product.ErrNotFound) {
			j.caughtUp(asked)
			return nil
		}
		if err != nil {
			return err
		}
		var page batch.Page
		if err := json.Unmarshal(object.Value, &page); err != nil {
			return errors.Wrapf(err, "page %s", object.Name)
		}
		j.absorb(next, page)
	}
}

// absorb takes in the page with the number, unless another goroutine was faster.
func (j *job) absorb(number int, page batch.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.progress.Pages()+1 != number {
		return
	}
	j.progress.Lose(page)
	j.tell()
}

// keep remembers a job, and forgets others that are over or unused. It returns the one that is remembered under the id.
func (m *Manager) keep(j *job) *job {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keepLocked(j)
}

// keepLocked does what keep does. The caller holds the lock.
func (m *Manager) keepLocked(j *job) *job {
	if known, ok := m.jobs[j.spec.ID]; ok {
		return known
	}
	m.jobs[j.spec.ID] = j
	m.forget(time.Now())
	return j
}

// forget drops jobs that this process doesn't run: those unused for long, and the longest unused beyond the most kept.
func (m *Manager) forget(now time.Time) {
	var idle []*job
	for id, j := range m.jobs {
		if j.running() {
			continue
		}
		if now.Sub(j.lastUsed()) > keepTime {
			delete(m.jobs, id)
			continue
		}
		idle = append(idle, j)
	}
	slices.SortFunc(idle, func(a, b *job) int { return cmp.Compare(a.lastUsed().UnixNano(), b.lastUsed().UnixNano()) })
	for len(idle) > keepMost {
		delete(m.jobs, idle[0].spec.ID)
		idle = idle[1:]
	}
}

func (j *job) lastUsed() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.used
}

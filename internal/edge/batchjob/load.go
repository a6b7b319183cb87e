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

// pageName returns the name in the store of a job's page with the number, from 1.
func pageName(job string, number int) string { return fmt.Sprintf("%s-%06d", job, number) }

// readSpec reads a job without its pages from the store.
func (m *Manager) readSpec(ctx context.Context, id string) (*job, error) {
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

// readJob returns a job with all its pages; what isn't in memory is read from the store. An empty organisation allows every job.
func (m *Manager) readJob(ctx context.Context, id, organisation string) (*job, error) {
	j, err := m.findOrRead(ctx, id)
	if err != nil {
		return nil, err
	}
	if organisation != "" && j.spec.Organisation != organisation {
		return nil, notFound(id)
	}
	if err := m.readNewPages(ctx, j); err != nil {
		return nil, storeRefusal(err)
	}
	if j.finished() {
		return j, nil
	}
	ended, err := m.isEndedInStore(ctx, id)
	if err != nil {
		return nil, storeRefusal(err)
	}
	if ended {
		j.end()
		m.markEnded(id)
	}
	return j, nil
}

// isEndedInStore reports whether the store holds the end of a job.
func (m *Manager) isEndedInStore(ctx context.Context, id string) (bool, error) {
	_, err := m.store.Get(ctx, KindEnds, id)
	if errors.Is(err, product.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// findOrRead returns a job that is in memory, or reads it without its pages and caches it.
//
// Reading all pages of a job from a slow store takes longer than a call lasts. Since the job is cached, each call continues where the one
// before stopped; when every call began at the first page, such a job was neither shown nor taken over.
func (m *Manager) findOrRead(ctx context.Context, id string) (*job, error) {
	if j, ok := m.find(id); ok {
		return j, nil
	}
	j, err := m.readSpec(ctx, id)
	if err != nil {
		return nil, err
	}
	return m.cache(j), nil
}

// readNewPages reads the pages that follow those known.
func (m *Manager) readNewPages(ctx context.Context, j *job) error {
	for {
		j.mu.Lock()
		next := j.progress.Pages() + 1
		complete := j.progress.Complete()
		j.mu.Unlock()
		if complete {
			return nil
		}
		queried := time.Now()
		object, err := m.store.Get(ctx, KindPages, pageName(j.spec.ID, next))
		if errors.Is(err, product.ErrNotFound) {
			j.recordNoNewPage(queried)
			return nil
		}
		if err != nil {
			return err
		}
		var page batch.Page
		if err := json.Unmarshal(object.Value, &page); err != nil {
			return errors.Wrapf(err, "page %s", object.Name)
		}
		j.applyPage(next, page)
	}
}

// applyPage adds the page with the number that was read from the store, unless another goroutine has added it already.
func (j *job) applyPage(number int, page batch.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.progress.Pages()+1 != number {
		return
	}
	j.progress.ApplyConflictingPage(page)
	j.notifyReaders()
}

// cache adds a job to those in memory and evicts idle ones. It returns the job that is in memory under the id.
func (m *Manager) cache(j *job) *job {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cacheLocked(j)
}

// cacheLocked is cache for callers that hold the lock.
func (m *Manager) cacheLocked(j *job) *job {
	if known, ok := m.jobs[j.spec.ID]; ok {
		return known
	}
	m.jobs[j.spec.ID] = j
	m.evictIdle(time.Now())
	return j
}

// evictIdle drops jobs that this process doesn't run: those unused for longer than cacheTTL, and the least recently used beyond
// maxIdleJobs.
func (m *Manager) evictIdle(now time.Time) {
	var idle []*job
	for id, j := range m.jobs {
		if j.isRunning() {
			continue
		}
		if now.Sub(j.lastUsed()) > cacheTTL {
			delete(m.jobs, id)
			continue
		}
		idle = append(idle, j)
	}
	slices.SortFunc(idle, func(a, b *job) int { return cmp.Compare(a.lastUsed().UnixNano(), b.lastUsed().UnixNano()) })
	for len(idle) > maxIdleJobs {
		delete(m.jobs, idle[0].spec.ID)
		idle = idle[1:]
	}
}

func (j *job) lastUsed() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastUse
}

package trainer

import (
	"maps"
	"sync"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

// defaultShelfBytes bounds the contents held for own and for other hosts' jobs. A step of 8192
// samples of 16 KiB, the largest allowed with samples of about 4000 tokens, is 128 MiB; two fit.
const defaultShelfBytes = 256 << 20

// Errors of the shelf.
var (
	errShelfFull = errors.New("no room for another sample")
	errDigest    = errors.New("content does not match its digest")
)

type shelfKey struct {
	job    string
	digest string
}

// shelf holds the contents of finished samples in bounded memory. Contents of a step are dropped
// when a later step of the job comes, since that acknowledges them.
type shelf struct {
	mu    sync.Mutex
	limit int
	bytes int
	// contents are never changed once put.
	contents map[shelfKey]CopiedSample
	// steps is the newest step of each job.
	steps map[string]int
}

func newShelf(limit int) *shelf {
	return &shelf{limit: limit, contents: map[shelfKey]CopiedSample{}, steps: map[string]int{}}
}

// put keeps a content, which the caller does not change any more.
func (s *shelf) put(job string, sample CopiedSample) error {
	// A content that was damaged on the way would be handed to a trainer by a successor.
	if delivery.Digest(sample.Raw) != sample.Digest {
		return errors.Wrap(errDigest, sample.Digest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sample.Step > s.steps[job] {
		s.steps[job] = sample.Step
		s.drop(func(key shelfKey, held CopiedSample) bool { return key.job == job && held.Step < sample.Step })
	}
	key := shelfKey{job: job, digest: sample.Digest}
	if _, held := s.contents[key]; held {
		return nil
	}
	if s.bytes+len(sample.Raw) > s.limit {
		return errors.Wrapf(errShelfFull, "%d bytes held", s.bytes)
	}
	s.bytes += len(sample.Raw)
	s.contents[key] = sample
	return nil
}

func (s *shelf) get(job, digest string) (CopiedSample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample, ok := s.contents[shelfKey{job: job, digest: digest}]
	return sample, ok
}

// retain drops the contents of jobs that are configured no more.
func (s *shelf) retain(configured func(job string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(func(key shelfKey, _ CopiedSample) bool { return !configured(key.job) })
	maps.DeleteFunc(s.steps, func(job string, _ int) bool { return !configured(job) })
}

func (s *shelf) drop(unwanted func(shelfKey, CopiedSample) bool) {
	maps.DeleteFunc(s.contents, func(key shelfKey, sample CopiedSample) bool {
		if !unwanted(key, sample) {
			return false
		}
		s.bytes -= len(sample.Raw)
		return true
	})
}

// shelfState is the dump of a shelf.
type shelfState struct {
	Samples int `json:"samples"`
	Bytes   int `json:"bytes"`
	Limit   int `json:"limit"`
}

func (s *shelf) state() shelfState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shelfState{Samples: len(s.contents), Bytes: s.bytes, Limit: s.limit}
}

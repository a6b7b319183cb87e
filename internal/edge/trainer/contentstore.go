package trainer

import (
	"maps"
	"sync"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

// defaultContentBytes limits the contents held for this and for other hosts' jobs. The largest allowed step has 8192
// samples; with samples of 16 KiB, or about 4000 tokens, it is 128 MiB, so two such steps fit.
const defaultContentBytes = 256 << 20

// Errors of the content store.
var (
	errContentStoreFull = errors.New("no room for another sample")
	errDigest           = errors.New("content does not match its digest")
)

type contentKey struct {
	job    string
	digest string
}

// contentStore holds the contents of finished samples in bounded memory. The contents of a step are removed when a content
// of a later step of the job is stored, because a later step acknowledges them.
type contentStore struct {
	mu    sync.Mutex
	limit int
	bytes int
	// contents are not modified after they are stored.
	contents map[contentKey]EncodedSample
	// steps holds the newest step of each job.
	steps map[string]int
}

func newContentStore(limit int) *contentStore {
	return &contentStore{limit: limit, contents: map[contentKey]EncodedSample{}, steps: map[string]int{}}
}

// put stores a content, which the caller must not modify afterwards. It returns an error if the content doesn't match its
// digest or exceeds the limit.
func (s *contentStore) put(job string, sample EncodedSample) error {
	// A content that was corrupted in transit would be delivered to a trainer by a successor.
	if delivery.Digest(sample.Raw) != sample.Digest {
		return errors.Wrap(errDigest, sample.Digest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sample.Step > s.steps[job] {
		s.steps[job] = sample.Step
		s.drop(func(key contentKey, held EncodedSample) bool { return key.job == job && held.Step < sample.Step })
	}
	key := contentKey{job: job, digest: sample.Digest}
	if _, held := s.contents[key]; held {
		return nil
	}
	if s.bytes+len(sample.Raw) > s.limit {
		return errors.Wrapf(errContentStoreFull, "%d bytes held", s.bytes)
	}
	s.bytes += len(sample.Raw)
	s.contents[key] = sample
	return nil
}

func (s *contentStore) get(job, digest string) (EncodedSample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample, ok := s.contents[contentKey{job: job, digest: digest}]
	return sample, ok
}

// retain removes the contents of jobs that are no longer configured.
func (s *contentStore) retain(configured func(job string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(func(key contentKey, _ EncodedSample) bool { return !configured(key.job) })
	maps.DeleteFunc(s.steps, func(job string, _ int) bool { return !configured(job) })
}

func (s *contentStore) drop(unwanted func(contentKey, EncodedSample) bool) {
	maps.DeleteFunc(s.contents, func(key contentKey, sample EncodedSample) bool {
		if !unwanted(key, sample) {
			return false
		}
		s.bytes -= len(sample.Raw)
		return true
	})
}

// contentStoreState is the debug state of a content store, with sizes in bytes.
type contentStoreState struct {
	Samples int `json:"samples"`
	Bytes   int `json:"bytes"`
	Limit   int `json:"limit"`
}

func (s *contentStore) state() contentStoreState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return contentStoreState{Samples: len(s.contents), Bytes: s.bytes, Limit: s.limit}
}

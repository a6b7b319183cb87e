package execution

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

const (
	// defaultKeyRetention is the time in which callers may retry with the same key, as is customary
	// for payment APIs.
	defaultKeyRetention = 24 * time.Hour
	// defaultKeyCapacity bounds the number of keys. With a small answer for each they take about 20 MB.
	defaultKeyCapacity = 20_000
	// retryWhenFull is an estimate: capacity becomes free only when keys expire.
	retryWhenFull = time.Minute
)

// Digest is the SHA-256 of a call's method, path, query and body.
type Digest [32]byte

// Key is a caller's idempotency key. The same key of two organisations is two keys.
type Key struct {
	Organisation string
	// Hash is the hash of the caller's key, as the entry sends it.
	Hash string
}

// Keys maps callers' idempotency keys to the outcome T of their single run. A key is never removed
// before its retention has passed, since the call could then run twice. When the capacity is reached,
// new keys are refused with the verdict "not run". It is not safe for concurrent use.
type Keys[T any] struct {
	retention time.Duration
	capacity  int
	runs      map[Key]*run[T]
}

// run is the run of the call under one key.
type run[T any] struct {
	digest Digest
	// since is when the run was claimed, or when it ended.
	since   time.Time
	state   State
	outcome T
}

// NewKeys returns an empty record that keeps each key for the retention after its run ended, and holds
// at most capacity keys. A zero argument selects the default.
func NewKeys[T any](retention time.Duration, capacity int) *Keys[T] {
	if retention == 0 {
		retention = defaultKeyRetention
	}
	if capacity == 0 {
		capacity = defaultKeyCapacity
	}
	return &Keys[T]{retention: retention, capacity: capacity, runs: make(map[Key]*run[T])}
}

// Claim reserves the key for a run. It returns the outcome and true if the same call has run before. It
// returns a refusal if the call is running, its outcome is unknown, the key was used for another call,
// or the record is full.
func (k *Keys[T]) Claim(now time.Time, key Key, digest Digest) (T, bool, error) {
	var zero T
	known, ok := k.runs[key]
	if !ok {
		return zero, false, k.reserve(now, key, digest)
	}
	switch {
	case known.digest != digest:
		return zero, false, verdict.Refuse(verdict.NotRun, verdict.ReasonKeyReused, 0,
			"the idempotency key was used for another call")
	case known.state == Ran:
		return known.outcome, true, nil
	case known.state == Running:
		return zero, false, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonInProgress,
			retryInProgress, "the call with this idempotency key is in progress")
	default:
		return zero, false, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonAnswerLost, 0,
			"the call with this idempotency key may have run; its answer was lost")
	}
}

// reserve records that the call under a new key is running.
func (k *Keys[T]) reserve(now time.Time, key Key, digest Digest) error {
	if len(k.runs) >= k.capacity {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoRoom, retryWhenFull,
			"the record of idempotency keys is full")
	}
	k.runs[key] = &run[T]{digest: digest, since: now, state: Running}
	return nil
}

// Finish records the outcome of the run that claimed the key. NotRun removes the key, so that the call can be retried.
func (k *Keys[T]) Finish(now time.Time, key Key, v verdict.Verdict, outcome T) {
	known, ok := k.runs[key]
	if !ok || known.state != Running {
		return
	}
	known.since = now
	switch v {
	case verdict.NotRun:
		delete(k.runs, key)
	case verdict.Ran:
		known.state = Ran
		known.outcome = outcome
	default:
		known.state = Uncertain
	}
}

// Expire removes the keys whose run ended longer ago than the retention.
func (k *Keys[T]) Expire(now time.Time) {
	for key, known := range k.runs {
		if known.state != Running && now.Sub(known.since) >= k.retention {
			delete(k.runs, key)
		}
	}
}

// Len returns the number of keys.
func (k *Keys[T]) Len() int { return len(k.runs) }

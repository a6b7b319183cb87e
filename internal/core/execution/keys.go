package execution

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

const (
	// defaultKeyKeep is the time in which callers retry with the same key, as is customary for
	// payment interfaces.
	defaultKeyKeep = 24 * time.Hour
	// defaultKeyCapacity bounds the keys; with a small answer each they take about 20 MB.
	defaultKeyCapacity = 20_000
	// retryWhenFull is a guess: room appears only as keys expire.
	retryWhenFull = time.Minute
)

// Digest is the SHA-256 of a call: method, path, query and body.
type Digest [32]byte

// Key is a caller's idempotency key. Keys of different organisations never meet.
type Key struct {
	Organisation string
	// Hash is that of the key, as the entry sends it.
	Hash string
}

// Keys maps callers' idempotency keys to the outcome T of their one run. A key is never forgotten
// before its time, since forgetting it would let the call run twice: when the record is full, new
// keys are refused as not run. It is not safe for use by several goroutines.
type Keys[T any] struct {
	keep     time.Duration
	capacity int
	runs     map[Key]*run[T]
}

type run[T any] struct {
	digest  Digest
	since   time.Time
	state   State
	outcome T
}

// NewKeys returns an empty record that keeps keys for keep and holds at most capacity of them;
// 0 stands for the default of each.
func NewKeys[T any](keep time.Duration, capacity int) *Keys[T] {
	if keep == 0 {
		keep = defaultKeyKeep
	}
	if capacity == 0 {
		capacity = defaultKeyCapacity
	}
	return &Keys[T]{keep: keep, capacity: capacity, runs: make(map[Key]*run[T])}
}

// Claim reserves the key for a run. It returns the outcome and true if the same call has run before,
// and a refusal if the call is running, its end is unknown, or the key was used for another call.
func (k *Keys[T]) Claim(now time.Time, key Key, digest Digest) (T, bool, error) {
	var none T
	known, ok := k.runs[key]
	if !ok {
		return none, false, k.reserve(now, key, digest)
	}
	switch {
	case known.digest != digest:
		return none, false, verdict.Refuse(verdict.NotRun, verdict.ReasonKeyReused, 0,
			"the idempotency key was used for another call")
	case known.state == Ran:
		return known.outcome, true, nil
	case known.state == Running:
		return none, false, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonInProgress,
			retryInProgress, "the call with this idempotency key is in progress")
	default:
		return none, false, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonAnswerLost, 0,
			"the call with this idempotency key may have run; its answer was lost")
	}
}

func (k *Keys[T]) reserve(now time.Time, key Key, digest Digest) error {
	if len(k.runs) >= k.capacity {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoRoom, retryWhenFull,
			"the record of idempotency keys is full")
	}
	k.runs[key] = &run[T]{digest: digest, since: now, state: Running}
	return nil
}

// Finish records the outcome of the run that claimed the key. NotRun frees the key for another try.
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

// Expire forgets the keys whose run ended long ago.
func (k *Keys[T]) Expire(now time.Time) {
	for key, known := range k.runs {
		if known.state != Running && now.Sub(known.since) >= k.keep {
			delete(k.runs, key)
		}
	}
}

// Len returns how many keys are held.
func (k *Keys[T]) Len() int { return len(k.runs) }

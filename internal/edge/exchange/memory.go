package exchange

import (
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/buffering"
)

// protectedBytes is what an answer may always hold, however much the others hold.
const protectedBytes = 32 << 10

// releaseTimeout bounds how long an answer waits for the memory of those that were ended for it. Their reads fail at once.
const releaseTimeout = 100 * time.Millisecond

// Memory bounds the bytes of answers that clients hold in memory at the same time. It is safe for concurrent use.
type Memory struct {
	mutex        sync.Mutex
	budget       *buffering.Budget
	reservations map[*buffering.Answer]*reservation
	limit        int
}

// NewMemory returns memory for answers of limit bytes in total. While the answers together exceed it, the largest one is ended, and its
// connection closed, unless it holds 32 KiB or less.
func NewMemory(limit int) *Memory {
	return &Memory{
		budget:       buffering.NewBudget(limit, protectedBytes),
		reservations: map[*buffering.Answer]*reservation{},
		limit:        limit,
	}
}

// Held returns the number of bytes that all answers hold.
func (m *Memory) Held() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.budget.Held()
}

// reservation is the part of the memory that one answer holds. It must be released.
type reservation struct {
	memory *Memory
	answer buffering.Answer
	// abort makes reads of the answer fail.
	abort func()
	// ended is closed when the answer is ended, and released once it holds nothing any more.
	ended, released chan struct{}
	release         func()
}

// reserve returns a reservation that holds nothing yet. Declared says whether the server declared the length of the answer.
func (m *Memory) reserve(declared bool, abort func()) *reservation {
	r := &reservation{
		memory:   m,
		answer:   buffering.Answer{Declared: declared},
		abort:    abort,
		ended:    make(chan struct{}),
		released: make(chan struct{}),
	}
	r.release = sync.OnceFunc(r.releaseOnce)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reservations[&r.answer] = r
	return r
}

// hold sets how many bytes the answer holds, and returns once the answers that were ended for it hold nothing any more. It returns false if
// the answer itself has been ended.
func (r *reservation) hold(bytes int) bool {
	for _, other := range r.resize(bytes) {
		select {
		case <-other.released:
		case <-r.ended:
		case <-time.After(releaseTimeout):
		}
	}
	return !r.wasEnded()
}

// resize sets how many bytes the answer holds and ends answers as needed. It returns those that were ended.
func (r *reservation) resize(bytes int) []*reservation {
	r.memory.mutex.Lock()
	defer r.memory.mutex.Unlock()
	var ended []*reservation
	for _, answer := range r.memory.budget.Hold(&r.answer, bytes) {
		other := r.memory.reservations[answer]
		close(other.ended)
		other.abort()
		ended = append(ended, other)
	}
	return ended
}

// wasEnded reports whether the answer has been ended.
func (r *reservation) wasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// complete records that the whole answer has been read, so that it is no longer ended. It returns false if it has been ended before.
func (r *reservation) complete() bool {
	r.memory.mutex.Lock()
	defer r.memory.mutex.Unlock()
	r.memory.budget.Complete(&r.answer)
	return !r.wasEnded()
}

func (r *reservation) releaseOnce() {
	r.memory.mutex.Lock()
	defer r.memory.mutex.Unlock()
	r.memory.budget.Release(&r.answer)
	delete(r.memory.reservations, &r.answer)
	close(r.released)
}

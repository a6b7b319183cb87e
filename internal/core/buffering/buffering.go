// Package buffering decides which of the answers that a process reads into memory are ended when together they hold too much.
//
// The load that it bounds is a server that sends without end, to many requests at once. Without it, each such answer would be read up to the
// limit of a single answer, and a process with little memory would end. Ending the largest answer, and not the one that asks last, keeps
// answers of the usual size out of it.
package buffering

// Answer is an answer that is read into memory. It is used with one Budget only.
type Answer struct {
	// Declared is set if the server declared the answer's length, so that the answer can't be endless.
	Declared bool

	held     int
	ended    bool
	complete bool
}

// Budget is the memory for the answers of a process. It is not safe for concurrent use.
type Budget struct {
	limit     int
	protected int
	held      int
	// large holds the incomplete answers that hold more than protected.
	large map[*Answer]struct{}
}

// NewBudget returns a budget of limit bytes. An answer that holds no more than protected bytes is never ended: many small answers may
// together exceed the limit.
func NewBudget(limit, protected int) *Budget {
	return &Budget{limit: limit, protected: protected, large: map[*Answer]struct{}{}}
}

// Hold records that the answer holds the given number of bytes from now on, and returns the answers to be ended, which may include the
// answer itself. They no longer count. It ignores an answer that has been ended.
func (b *Budget) Hold(answer *Answer, bytes int) []*Answer {
	if answer.ended {
		return nil
	}
	b.set(answer, bytes)
	var ended []*Answer
	for b.held > b.limit {
		largest := b.largest()
		if largest == nil {
			break
		}
		b.set(largest, 0)
		largest.ended = true
		ended = append(ended, largest)
	}
	return ended
}

// Complete records that the whole answer has been read. What it holds still counts, and it is no longer ended.
func (b *Budget) Complete(answer *Answer) {
	answer.complete = true
	delete(b.large, answer)
}

// Release records that the answer holds nothing any more.
func (b *Budget) Release(answer *Answer) {
	if !answer.ended {
		b.set(answer, 0)
	}
}

// Held returns the number of bytes that all answers hold.
func (b *Budget) Held() int { return b.held }

func (b *Budget) set(answer *Answer, bytes int) {
	b.held += bytes - answer.held
	answer.held = bytes
	if bytes > b.protected && !answer.complete {
		b.large[answer] = struct{}{}
	} else {
		delete(b.large, answer)
	}
}

// largest returns the answer to be ended next; nil if there is none. An answer of undeclared length, which may be endless, is ended before
// any of declared length.
func (b *Budget) largest() *Answer {
	var largest *Answer
	for answer := range b.large {
		if largest == nil || precedes(answer, largest) {
			largest = answer
		}
	}
	return largest
}

// precedes reports whether a is ended before b.
func precedes(a, b *Answer) bool {
	if a.Declared != b.Declared {
		return !a.Declared
	}
	return a.held > b.held
}

package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// promise is what callers, trainers, servers or the platform may count on.
type promise string

// The promises that are checked.
const (
	promiseWhole      promise = "an answer is whole and the caller's own"
	promiseNotRun     promise = "what was refused as not run never runs"
	promiseOnce       promise = "a call that may not be repeated runs at most once"
	promiseServer     promise = "servers see the right organisation, the right body and no key"
	promiseKey        promise = "a withdrawn key is not served"
	promiseAccepted   promise = "an accepted job is never unknown"
	promiseRepeat     promise = "the repeat of an accepted submission is not refused as not run by an entry that knows a configuration"
	promisePosition   promise = "a position that was shown never changes"
	promiseEmpty      promise = "no list is empty at a position that was shown"
	promiseTotal      promise = "a job has one total"
	promiseBody       promise = "the body of an item that isn't listed can be read"
	promiseItem       promise = "each item is listed once, whole, by weights that are allowed"
	promiseScore      promise = "a score is the signature of an answer to the item's reward call, sent after its text was whole"
	promiseEnd        promise = "no item and no reward call of a job starts after its end"
	promiseReport     promise = "a usage window has one set of figures"
	promiseFence      promise = "fencing numbers never fall"
	promiseComesRight promise = "all is well again after the last disturbance"
)

// tally counts how often a promise was checked and broken.
type tally struct {
	checks, violations int
	// found describes the first violations.
	found []string
}

// ledger holds what was checked.
type ledger struct {
	mu      sync.Mutex
	tallies map[promise]*tally
}

func newLedger() *ledger { return &ledger{tallies: map[promise]*tally{}} }

// told is how many violations of one promise are described; the others are counted.
const told = 12

// check counts a check of the promise; the violation is described if it doesn't hold.
func (l *ledger) check(p promise, holds bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tallies[p] == nil {
		l.tallies[p] = &tally{}
	}
	l.tallies[p].checks++
	if holds {
		return
	}
	l.tallies[p].violations++
	if l.tallies[p].violations <= told {
		l.tallies[p].found = append(l.tallies[p].found, fmt.Sprintf(format, args...))
	}
}

// sums returns the promises that were checked, by name.
func (l *ledger) sums() []Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sums []Tally
	for p, each := range l.tallies {
		sums = append(sums, Tally{Promise: string(p), Checks: each.checks, Violations: each.violations, Found: each.found})
	}
	slices.SortFunc(sums, func(a, b Tally) int { return cmp.Compare(a.Promise, b.Promise) })
	return sums
}

// checked returns how often a promise was checked.
func (l *ledger) checked(p promise) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tallies[p] == nil {
		return 0
	}
	return l.tallies[p].checks
}

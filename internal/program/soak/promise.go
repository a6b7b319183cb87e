package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// guarantee is a property that callers, trainers, servers or the platform may rely on.
type guarantee string

// The guarantees that are checked.
const (
	guaranteeComplete         guarantee = "a response is complete and belongs to its request"
	guaranteeNotRun           guarantee = "a request that was rejected as not run never runs"
	guaranteeOnce             guarantee = "a non-idempotent call runs at most once"
	guaranteeServerRequest    guarantee = "servers receive the right organisation, the right body and no API key"
	guaranteeKey              guarantee = "a withdrawn API key is rejected"
	guaranteeAccepted         guarantee = "an accepted job is never reported as unknown"
	guaranteeResubmission     guarantee = "a repeated submission of an accepted job is not rejected as not run by a gateway that has a configuration"
	guaranteeBegun            guarantee = "a submission is not rejected as not run once an item of its job has reached a server"
	guaranteeRefused          guarantee = "no item runs of a job whose submission was rejected as not run, unless a later one was accepted"
	guaranteeAcceptanceStored guarantee = "an accepted job is in the store"
	guaranteeStored           guarantee = "a listed result is in a page in the store"
	guaranteePosition         guarantee = "the result at a listed position never changes"
	guaranteeNotEmpty         guarantee = "a list from an already listed position is not empty"
	guaranteeTotal            guarantee = "the total of a job never changes"
	guaranteeBody             guarantee = "the body of an item that is not listed yet can be read"
	guaranteeItem             guarantee = "each item is listed once, complete, from allowed model versions"
	guaranteeScore            guarantee = "a score is the signature on the item's reward call, made after its text was complete"
	guaranteeEvacuation       guarantee = "no request reaches a server of an evacuated availability zone"
	guaranteeCold             guarantee = "a cold server gets no more requests in a second than it bears"
	guaranteeEnd              guarantee = "no item or reward call of a job starts after the job has ended"
	guaranteeReport           guarantee = "a usage window is always reported with the same counts"
	guaranteeFencing          guarantee = "fencing numbers never decrease"
	guaranteeStepOutage       guarantee = "submissions arrive, and work begins, in outages that begin with a step"
	guaranteeMemory           guarantee = "a process takes no more memory than the smallest host has"
	guaranteeRecovery         guarantee = "the system recovers after the last disturbance"
)

// tally counts the checks and violations of a guarantee.
type tally struct {
	checks, violations int
	// found describes the first violations.
	found []string
}

// checker counts the checks and violations of all guarantees.
type checker struct {
	mu      sync.Mutex
	tallies map[guarantee]*tally
}

func newChecker() *checker { return &checker{tallies: map[guarantee]*tally{}} }

// maxDescribed is how many violations of one guarantee are described; further ones are only counted.
const maxDescribed = 12

// check counts a check of the guarantee. If it does not hold, the format and its arguments describe the violation.
func (c *checker) check(g guarantee, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tallies[g] == nil {
		c.tallies[g] = &tally{}
	}
	c.tallies[g].checks++
	if holds {
		return
	}
	c.tallies[g].violations++
	if c.tallies[g].violations <= maxDescribed {
		c.tallies[g].found = append(c.tallies[g].found, fmt.Sprintf(format, args...))
	}
}

// summaries returns the tallies of all checked guarantees, sorted by guarantee.
func (c *checker) summaries() []Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	var summaries []Tally
	for g, t := range c.tallies {
		summaries = append(summaries, Tally{Guarantee: string(g), Checks: t.checks, Violations: t.violations, Found: t.found})
	}
	slices.SortFunc(summaries, func(a, b Tally) int { return cmp.Compare(a.Guarantee, b.Guarantee) })
	return summaries
}

// checked returns how often a guarantee was checked.
func (c *checker) checked(g guarantee) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tallies[g] == nil {
		return 0
	}
	return c.tallies[g].checks
}

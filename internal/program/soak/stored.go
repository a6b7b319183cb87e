package soak

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/batchjob"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// storedResults returns the results in the job's pages in the store, by position. An item counts where it stands first.
func (j *job) storedResults() []batch.Result {
	var results []batch.Result
	seen := map[string]bool{}
	for number := 1; ; number++ {
		object, ok := j.store.Get(batchjob.KindPages, fmt.Sprintf("%s-%06d", j.id, number))
		if !ok {
			return results
		}
		var page batch.Page
		if err := json.Unmarshal(object.Spec, &page); err != nil {
			j.checker.check(guaranteeStored, false, "job %s: page %d can't be read: %v", j.id, number, err)
			return results
		}
		for _, result := range page.Results {
			if !seen[result.ID] {
				seen[result.ID] = true
				results = append(results, result)
			}
		}
	}
}

// checkStored checks that the results listed from a position on are in the store, at their positions. Positions whose first listing was
// checked are left out: that a listed result never changes is checked on its own.
func (j *job) checkStored(from int, listed []platformtest.Result, r reply) {
	isNew := func(o observation) bool { return o.at.IsZero() }
	if !slices.ContainsFunc(j.observed[from:from+len(listed)], isNew) {
		return
	}
	stored := j.storedResults()
	for i, result := range listed {
		position := from + i
		if !isNew(j.observed[position]) {
			continue
		}
		same := position < len(stored) && stored[position].ID == result.ID && string(stored[position].State) == result.State &&
			stored[position].Text == result.Text && slices.Equal(stored[position].Versions, result.Versions) &&
			stored[position].Score == result.Score
		j.checker.check(guaranteeStored, same, "job %s: a read %v with %v at position %d; the pages in the store hold %d results",
			j.id, r, result, position, len(stored))
	}
}

// checkAcceptanceStored checks that the store holds a job whose submission was accepted.
func (j *job) checkAcceptanceStored(r reply) {
	_, stored := j.store.Get(batchjob.KindJobs, j.id)
	j.checker.check(guaranteeAcceptanceStored, stored, "job %s: its submission %v, and the store doesn't hold it", j.id, r)
}

// recordStart records that a server received an item of the job; nil is no job.
func (j *job) recordStart(request platformtest.Request) {
	if j != nil && (j.firstStart.IsZero() || request.ReceivedAt.Before(j.firstStart)) {
		j.firstStart = request.ReceivedAt
	}
}

// checkRefusals checks the submissions that were rejected as not run, once it is known when the job's first item reached a server. An
// accepted job is left to guaranteeResubmission.
func (j *job) checkRefusals() {
	for _, r := range j.refusals {
		if !j.accepted.IsZero() && r.sent.After(j.accepted) {
			continue
		}
		begun := !j.firstStart.IsZero() && j.firstStart.Before(r.sent)
		j.checker.check(guaranteeBegun, !begun || lacksConfiguration(r), "job %s: an item reached a server at %s; its submission %v",
			j.id, formatTime(j.firstStart), r)
		j.checker.check(guaranteeRefused, j.firstStart.IsZero() || j.lastAccepted.After(r.sent),
			"job %s: its submission %v and none was accepted later; an item reached a server at %s", j.id, r, formatTime(j.firstStart))
	}
}

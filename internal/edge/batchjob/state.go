package batchjob

import (
	"cmp"
	"slices"
)

// JobState is the state of one job in the debug dump.
type JobState struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
	Runs  bool   `json:"runs"`
	Ended bool   `json:"ended"`
	// Unaccepted is set while the job runs although the store isn't known to hold it.
	Unaccepted bool `json:"unaccepted,omitempty"`
	Total      int  `json:"total"`
	Listed     int  `json:"listed"`
	Running    int  `json:"running"`
	Waiting    int  `json:"waiting"`
	// Scoring counts the items whose text is complete and has no score.
	Scoring int `json:"scoring"`
	// Withheld counts the items that are sent to no server for now because servers ended under them.
	Withheld int `json:"withheld,omitempty"`
	Pages    int `json:"pages"`
}

// unfinished returns the number of items without a listed result.
func (s JobState) unfinished() int { return s.Total - s.Listed }

// State returns the states of the jobs in memory for the debug dump, unaccepted ones included, sorted by id.
func (m *Manager) State() any {
	m.mu.Lock()
	jobs := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		jobs = append(jobs, j)
	}
	for _, j := range m.unacceptedLocked() {
		jobs = append(jobs, j)
	}
	m.mu.Unlock()
	states := make([]JobState, 0, len(jobs))
	for _, j := range jobs {
		states = append(states, j.state())
	}
	slices.SortFunc(states, func(a, b JobState) int { return cmp.Compare(a.ID, b.ID) })
	return states
}

func (j *job) state() JobState {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stateLocked()
}

// stateLocked is state for callers that hold the lock.
func (j *job) stateLocked() JobState {
	return JobState{
		ID:         j.spec.ID,
		Owner:      j.spec.Owner,
		Runs:       j.running,
		Ended:      j.progress.Ended(),
		Unaccepted: j.unaccepted,
		Total:      j.progress.Total(),
		Listed:     j.progress.Published(),
		Running:    j.progress.Running(),
		Waiting:    j.progress.Waiting(),
		Withheld:   j.progress.Withheld(),
		Scoring:    j.progress.AwaitingScore(),
		Pages:      j.progress.Pages(),
	}
}

package batch

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Item is one generation request of a batch job.
type Item struct {
	ID string `json:"id"`
	// Path is the request path at the backend server.
	Path   string                `json:"path"`
	Header []request.HeaderField `json:"header"`
	Body   []byte                `json:"body"`
	// Group identifies the items that share a prompt. A group counts as complete only once each of its items has a
	// result.
	Group string `json:"group"`
	// ExpectedTokens is the trainer's estimate of the output length; 0 if there is none. It is right only at the
	// median.
	ExpectedTokens int `json:"expectedTokens"`
	// Reward scores the item's text; nil if the item is not scored.
	Reward *RewardCall `json:"reward,omitempty"`
}

// RewardCall is a request that scores the complete text of an item. It may be sent more than once.
type RewardCall struct {
	ID string `json:"id"`
	// Host and Path select the route.
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Submission is the set of items that a trainer submits for one step.
type Submission struct {
	Step  int    `json:"step"`
	Model string `json:"model"`
	// MinVersion is the oldest weight version that may produce an event of a result.
	MinVersion int `json:"minVersion"`
	// WantedGroups is the number of complete groups that the trainer waits for.
	WantedGroups int    `json:"wantedGroups"`
	Items        []Item `json:"items"`
}

// Terms are the settings of the job's route at the time when the job was accepted.
type Terms struct {
	Pool string `json:"pool"`
	Host string `json:"host"`
	// MaxAttempts is the number of failed runs after which an item is lost.
	MaxAttempts    int           `json:"maxAttempts"`
	ItemTimeout    time.Duration `json:"itemTimeout"`
	ResultDeadline time.Duration `json:"resultDeadline"`
	SingleVersion  bool          `json:"singleVersion"`
	// Regions are the regions in which the job may run and be kept in memory; null allows all.
	Regions []string `json:"regions"`
}

// Job is an accepted batch job as the store keeps it.
type Job struct {
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Accepted     time.Time `json:"accepted"`
	// Owner is the host that is to run the job for as long as it is alive; OwnerRun is the incarnation of its process
	// at acceptance.
	Owner    string `json:"owner"`
	OwnerRun uint64 `json:"ownerRun"`
	Terms
	Submission
}

// TokenRate returns the output rate that the job requires: its expected tokens per second until its results are due.
func (j Job) TokenRate() float64 {
	tokens := 0
	for i := range j.Items {
		tokens += max(1, j.Items[i].ExpectedTokens)
	}
	return float64(tokens) / max(1, j.ResultDeadline.Seconds())
}

// maxClockSkew is the maximum tolerated difference, including clock steps, between the clocks of the host that
// accepted a job and the host that runs it.
const maxClockSkew = 5 * time.Second

// ExpiresAt returns the time at which items without a result are lost. It includes maxClockSkew because Accepted may
// come from another host's clock.
func (j Job) ExpiresAt() time.Time { return j.Accepted.Add(j.ItemTimeout + maxClockSkew) }

// State is the outcome of an item.
type State string

// The states of results.
const (
	// StateCompleted: the text is the item's complete output.
	StateCompleted State = "completed"
	// StateLost: the item failed too often, can never be run, or ran out of time.
	StateLost State = "lost"
)

// Result is the outcome of one item.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	// Text holds the data of all events in order, separated by line feeds.
	Text string `json:"text"`
	// Versions are all weight versions that produced an event of the text, in order of first use.
	Versions []int `json:"versions"`
	// Score is the signature of the answer to the item's reward call; empty if the item has none or is lost.
	Score string `json:"score,omitempty"`
}

// Page is one record in a job's log of results.
type Page struct {
	// Writer and Serial identify the write, so that a process recognises its own page when the answer to its create
	// was lost.
	Writer  uint64   `json:"writer"`
	Serial  int      `json:"serial"`
	Results []Result `json:"results"`
	// Partials are the outputs received so far for items without a result. They are never returned to trainers; an
	// entry that takes over the job resumes from them.
	Partials []Partial `json:"partials,omitempty"`
}

// SameWrite reports whether two pages are the same write.
func (p Page) SameWrite(other Page) bool { return p.Writer == other.Writer && p.Serial == other.Serial }

package batch

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Item is one generation of a batch job.
type Item struct {
	ID string `json:"id"`
	// Path is where the item is sent at its server.
	Path   string                `json:"path"`
	Header []request.HeaderField `json:"header"`
	Body   []byte                `json:"body"`
	// Group names the items that share a prompt and count only together.
	Group string `json:"group"`
	// ExpectedTokens is the caller's estimate of the output; 0 if there is none. It is right at the median only.
	ExpectedTokens int `json:"expectedTokens"`
	// Reward scores the item's text; nil if the text is the whole result.
	Reward *RewardCall `json:"reward,omitempty"`
}

// RewardCall is a request that scores an item once its text is whole. It may run more than once.
type RewardCall struct {
	ID string `json:"id"`
	// Host and Path select the route.
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Submission is what a trainer hands in.
type Submission struct {
	Step  int    `json:"step"`
	Model string `json:"model"`
	// MinVersion is the oldest weight version that may make an event of a result.
	MinVersion int `json:"minVersion"`
	// WantedGroups is how many whole groups the trainer waits for.
	WantedGroups int    `json:"wantedGroups"`
	Items        []Item `json:"items"`
}

// Terms are what the job's route said when the job was accepted.
type Terms struct {
	Pool string `json:"pool"`
	Host string `json:"host"`
	// MaxAttempts is how many failures of its own end an item.
	MaxAttempts    int           `json:"maxAttempts"`
	ItemTimeout    time.Duration `json:"itemTimeout"`
	ResultDeadline time.Duration `json:"resultDeadline"`
	SingleVersion  bool          `json:"singleVersion"`
}

// Job is an accepted batch job as the store keeps it.
type Job struct {
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Accepted     time.Time `json:"accepted"`
	// Owner is the host that is to run the job and runs it while it lives; OwnerRun is the incarnation of its process then.
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

// maxClockSkew is the maximum tolerated difference, including clock steps, between the clocks of the host that accepted a job and the host that runs it.
const maxClockSkew = 5 * time.Second

// GivenUp is when items that have no result are given up. It includes maxClockSkew because Accepted may come from another host's clock.
func (j Job) GivenUp() time.Time { return j.Accepted.Add(j.ItemTimeout + maxClockSkew) }

// State is what became of an item.
type State string

// The states of results.
const (
	// StateCompleted: the text is the item's whole output.
	StateCompleted State = "completed"
	// StateLost: the item was given up.
	StateLost State = "lost"
)

// Result is the outcome of one item.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	// Text holds the data of all events in order, separated by line feeds.
	Text string `json:"text"`
	// Versions are all weight versions that made an event of the text, in order of first use.
	Versions []int `json:"versions"`
	// Score is the signature of the answer to the item's reward call; empty if the item has none or was given up.
	Score string `json:"score,omitempty"`
}

// Page is one entry of a job's log of results.
type Page struct {
	// Writer and Serial name the write, so that a create whose answer was lost is recognised.
	Writer  uint64   `json:"writer"`
	Serial  int      `json:"serial"`
	Results []Result `json:"results"`
	// Partials are what was received of items that have no result. They are shown to nobody; an entry that takes the job over goes on from them.
	Partials []Partial `json:"partials,omitempty"`
}

// Same says whether two pages are the same write.
func (p Page) Same(other Page) bool { return p.Writer == other.Writer && p.Serial == other.Serial }

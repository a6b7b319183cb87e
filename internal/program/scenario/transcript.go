package scenario

import (
	"slices"
)

// Transcript is what the operators, callers and trainers of one deployment received, without anything that
// differs from run to run.
type Transcript struct {
	Deployment string         `json:"deployment"`
	Tickets    []TicketSeen   `json:"tickets"`
	Lookup     AnswerSeen     `json:"lookup"`
	Booking    BookingSeen    `json:"booking"`
	Generation GenerationSeen `json:"generation"`
	Stream     GenerationSeen `json:"stream"`
	Refusals   []RefusalSeen  `json:"refusals"`
	Steps      []StepSeen     `json:"steps"`
	Usage      []UsageSeen    `json:"usage"`
	Servers    ServersSeen    `json:"servers"`
	Platform   []string       `json:"platformViolations"`
	KeysSeen   []string       `json:"keysSeenByServers"`
}

// TicketSeen is what an operator saw of one ticket.
type TicketSeen struct {
	Number   int     `json:"number"`
	Accepted bool    `json:"accepted"`
	Share    float64 `json:"share"`
}

// AnswerSeen is one answer of a plain service.
type AnswerSeen struct {
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// BookingSeen is a call that may not be repeated, sent twice under one Idempotency-Key.
type BookingSeen struct {
	First AnswerSeen `json:"first"`
	Again AnswerSeen `json:"again"`
	// Runs is how often it ran, counted over all servers.
	Runs int `json:"runs"`
}

// SpanSeen is a run of tokens made by one weight version.
type SpanSeen struct {
	Version int `json:"version"`
	From    int `json:"from"`
	To      int `json:"to"`
}

// GenerationSeen is a generation as its caller received it.
type GenerationSeen struct {
	Text   string     `json:"text"`
	Tokens int        `json:"tokens"`
	Spans  []SpanSeen `json:"spans"`
}

// RefusalSeen is a refused request.
type RefusalSeen struct {
	What    string `json:"what"`
	Status  int    `json:"status"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

// StepSeen is a trainer's step after its last batch.
type StepSeen struct {
	Step    int `json:"step"`
	Samples int `json:"samples"`
	Batches int `json:"batches"`
	// Twice counts samples that came more than once, Missing those that never came.
	Twice   int `json:"twice"`
	Missing int `json:"missing"`
	// Versions are the weight versions named by the samples' spans, sorted.
	Versions []int `json:"versions"`
	// RepeatSame says that a batch asked for again came byte for byte.
	RepeatSame bool `json:"repeatSame"`
}

// UsageSeen is what the platform received about one organisation over all windows.
type UsageSeen struct {
	Organisation string `json:"organisation"`
	Requests     uint64 `json:"requests"`
	Tokens       uint64 `json:"tokens"`
}

// ServersSeen is how the number of ordered model servers moved.
type ServersSeen struct {
	// Least and Most are over all orders for the model pool in one availability zone.
	Least int `json:"least"`
	Most  int `json:"most"`
}

func addVersion(versions []int, version int) []int {
	if !slices.Contains(versions, version) {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions
}

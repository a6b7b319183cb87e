package demo

import (
	"fmt"
	"net/http"
)

// Transcript is what the operators, callers and trainers of one deployment received.
type Transcript struct {
	Deployment string        `json:"deployment"`
	Lookups    []AnswerSeen  `json:"lookups"`
	Bookings   []BookingSeen `json:"bookings"`
	Refusals   []RefusalSeen `json:"refusals"`
	Steps      []StepSeen    `json:"steps"`
	Orders     []OrderSeen   `json:"orders"`
	Usage      UsageSeen     `json:"usage"`
	// Retired says that the host that was to be emptied was reported as empty.
	Retired bool `json:"retired"`
	// KeysSeen are the servers that a caller's key reached, Misnamed those that were named another organisation than the key's.
	KeysSeen []string `json:"keysSeenByServers"`
	Misnamed []string `json:"organisationsMisnamed"`
}

// AnswerSeen is one answer to a look-up.
type AnswerSeen struct {
	What   string `json:"what"`
	Status int    `json:"status"`
	// Own says that the answer is a server's to this very question, whole and signed.
	Own bool `json:"own"`
}

// BookingSeen is a call that may not be repeated.
type BookingSeen struct {
	What   string `json:"what"`
	Status int    `json:"status"`
	Want   int    `json:"-"`
	// Runs is how often it ran, over all servers.
	Runs int `json:"runs"`
}

// RefusalSeen is a refused request.
type RefusalSeen struct {
	What    string `json:"what"`
	Status  int    `json:"status"`
	Want    int    `json:"-"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

// StepSeen is a trainer's step after its last result.
type StepSeen struct {
	Step  string `json:"step"`
	Items int    `json:"items"`
	// Twice, Missing and Wrong count items listed more than once, never, and not with their whole own output.
	Twice   int `json:"twice"`
	Missing int `json:"missing"`
	Wrong   int `json:"wrong"`
	// Oldest is the oldest weight version that made an item, MinVersion the oldest that the trainer wants.
	Oldest     int `json:"oldestVersion"`
	MinVersion int `json:"minVersion"`
	// Same says that all gateways list the same results.
	Same bool `json:"same"`
	// Unscored counts items that have not their own score.
	Unscored int `json:"unscored"`
}

// OrderSeen is an order of new weights that an engine accepted.
type OrderSeen struct {
	Server  string `json:"server"`
	Version int    `json:"version"`
	// Fenced says that the order named its holder, a fencing number, and the orders accepted before it.
	Fenced bool `json:"fenced"`
}

// UsageSeen is what was reported about the caller, over all windows.
type UsageSeen struct {
	Organisation string `json:"organisation"`
	Reported     uint64 `json:"reported"`
	Ran          uint64 `json:"ran"`
	// Changed counts windows that were reported with two sets of figures.
	Changed int `json:"windowsChanged"`
}

// Broken names the promises that the transcript breaks; it is empty if all held.
func (t Transcript) Broken() []string {
	broken := []string{}
	say := func(bad bool, format string, args ...any) {
		if bad {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	for _, lookup := range t.Lookups {
		say(lookup.Status != http.StatusOK || !lookup.Own, "%s: answered %d, its own answer: %t", lookup.What, lookup.Status, lookup.Own)
	}
	for _, booking := range t.Bookings {
		say(booking.Runs != 1, "%s: ran %d times", booking.What, booking.Runs)
		say(booking.Status != booking.Want, "%s: answered %d, not %d", booking.What, booking.Status, booking.Want)
	}
	for _, refusal := range t.Refusals {
		say(refusal.Verdict != "notRun", "%s: verdict %q", refusal.What, refusal.Verdict)
		say(refusal.Status != refusal.Want, "%s: answered %d, not %d", refusal.What, refusal.Status, refusal.Want)
	}
	for _, step := range t.Steps {
		say(step.Twice != 0, "%s: %d items came twice", step.Step, step.Twice)
		say(step.Missing != 0, "%s: %d items never came", step.Step, step.Missing)
		say(step.Unscored != 0, "%s: %d items have not their own score", step.Step, step.Unscored)
		say(step.Wrong != 0, "%s: %d items have not their own output", step.Step, step.Wrong)
		say(step.Oldest < step.MinVersion, "%s: made by version %d, which is older than %d", step.Step, step.Oldest, step.MinVersion)
		say(!step.Same, "%s: gateways list different results", step.Step)
	}
	say(len(t.Orders) == 0, "no engine was ordered to load the new weights")
	for _, order := range t.Orders {
		say(order.Version != secondVersion || !order.Fenced, "order %+v", order)
	}
	say(t.Usage.Reported != t.Usage.Ran, "%d calls of %s ran and %d were reported", t.Usage.Ran, t.Usage.Organisation, t.Usage.Reported)
	say(t.Usage.Changed != 0, "%d windows were reported with two sets of figures", t.Usage.Changed)
	say(!t.Retired, "the host to be emptied was not reported")
	say(len(t.KeysSeen) != 0, "keys reached %v", t.KeysSeen)
	say(len(t.Misnamed) != 0, "another organisation was named to %v", t.Misnamed)
	return broken
}

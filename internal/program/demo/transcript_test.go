package demo

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func passingTranscript() Transcript {
	return Transcript{
		Lookups:  []LookupResult{{Name: "look-up", Status: http.StatusOK, Correct: true}},
		Bookings: []BookingResult{{Name: "booking", Status: http.StatusOK, Want: http.StatusOK, Runs: 1}},
		Refusals: []RefusalResult{{Name: "no key", Status: http.StatusUnauthorized, Want: http.StatusUnauthorized, Verdict: "notRun"}},
		Steps:    []StepResult{{Step: "step", Items: 1, OldestVersion: secondVersion, MinVersion: secondVersion, Consistent: true}},
		Orders:   []OrderResult{{Server: "engine", Version: secondVersion, Fenced: true}},
		Usage:    UsageResult{Organisation: "caller", Reported: 3, Executed: 3},
		Retired:  true,
	}
}

// Guards against a demo that exits with 0 although a guarantee was violated: each violation alone must be reported and must fail
// the demo.
func TestEachViolationFailsTheDemo(t *testing.T) {
	if err := checkTranscript(io.Discard, passingTranscript()); err != nil {
		t.Errorf("a transcript without violations: %v", err)
	}
	for name, violate := range map[string]func(*Transcript){
		"look-up: status 503":                              func(t *Transcript) { t.Lookups[0].Status = http.StatusServiceUnavailable },
		"correct response: false":                          func(t *Transcript) { t.Lookups[0].Correct = false },
		"booking: ran 2 times":                             func(t *Transcript) { t.Bookings[0].Runs = 2 },
		"booking: status 502, want 200":                    func(t *Transcript) { t.Bookings[0].Status = http.StatusBadGateway },
		`verdict "mayHaveRun"`:                             func(t *Transcript) { t.Refusals[0].Verdict = "mayHaveRun" },
		"no key: status 200, want 401":                     func(t *Transcript) { t.Refusals[0].Status = http.StatusOK },
		"1 items listed more than once":                    func(t *Transcript) { t.Steps[0].Duplicates = 1 },
		"1 items missing":                                  func(t *Transcript) { t.Steps[0].Missing = 1 },
		"1 items without their own output":                 func(t *Transcript) { t.Steps[0].Wrong = 1 },
		"1 items without their own score":                  func(t *Transcript) { t.Steps[0].Unscored = 1 },
		"which is older than 2":                            func(t *Transcript) { t.Steps[0].OldestVersion = firstVersion },
		"gateways list different results":                  func(t *Transcript) { t.Steps[0].Consistent = false },
		"no engine was ordered":                            func(t *Transcript) { t.Orders = nil },
		"Fenced:false":                                     func(t *Transcript) { t.Orders[0].Fenced = false },
		"Version:3":                                        func(t *Transcript) { t.Orders[0].Version = 3 },
		"3 calls of caller ran and 4":                      func(t *Transcript) { t.Usage.Reported = 4 },
		"1 windows were reported again with another count": func(t *Transcript) { t.Usage.ConflictingWindows = 1 },
		"the host to be retired was not reported as empty": func(t *Transcript) { t.Retired = false },
		"received a key: [desk]":                           func(t *Transcript) { t.KeyLeaks = []string{"desk"} },
		"received a wrong organisation: [pc]":              func(t *Transcript) { t.WrongOrganisations = []string{"pc"} },
	} {
		t.Run(name, func(t *testing.T) {
			transcript := passingTranscript()
			violate(&transcript)
			if err := checkTranscript(io.Discard, transcript); !errors.Is(err, ErrGuaranteeViolated) || !strings.Contains(err.Error(), name) {
				t.Errorf("have %v", err)
			}
		})
	}
}

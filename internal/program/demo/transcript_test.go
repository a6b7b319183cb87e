package demo

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func good() Transcript {
	return Transcript{
		Lookups:  []AnswerSeen{{What: "look-up", Status: http.StatusOK, Own: true}},
		Bookings: []BookingSeen{{What: "booking", Status: http.StatusOK, Want: http.StatusOK, Runs: 1}},
		Refusals: []RefusalSeen{{What: "no key", Status: http.StatusUnauthorized, Want: http.StatusUnauthorized, Verdict: "notRun"}},
		Steps:    []StepSeen{{Step: "step", Items: 1, Oldest: secondVersion, MinVersion: secondVersion, Same: true}},
		Orders:   []OrderSeen{{Server: "engine", Version: secondVersion, Fenced: true}},
		Usage:    UsageSeen{Organisation: "caller", Reported: 3, Ran: 3},
		Retired:  true,
	}
}

// The demo would end with 0 after a broken promise. Each of them, broken alone, must be named and make the demo fail.
func TestBrokenPromisesAreNamed(t *testing.T) {
	if err := check(io.Discard, good()); err != nil {
		t.Errorf("nothing is broken: %v", err)
	}
	for name, spoil := range map[string]func(*Transcript){
		"look-up: answered 503":                  func(s *Transcript) { s.Lookups[0].Status = http.StatusServiceUnavailable },
		"its own answer: false":                  func(s *Transcript) { s.Lookups[0].Own = false },
		"booking: ran 2 times":                   func(s *Transcript) { s.Bookings[0].Runs = 2 },
		"booking: answered 502":                  func(s *Transcript) { s.Bookings[0].Status = http.StatusBadGateway },
		`verdict "mayHaveRun"`:                   func(s *Transcript) { s.Refusals[0].Verdict = "mayHaveRun" },
		"no key: answered 200":                   func(s *Transcript) { s.Refusals[0].Status = http.StatusOK },
		"1 items came twice":                     func(s *Transcript) { s.Steps[0].Twice = 1 },
		"1 items never came":                     func(s *Transcript) { s.Steps[0].Missing = 1 },
		"1 items have not their own output":      func(s *Transcript) { s.Steps[0].Wrong = 1 },
		"1 items have not their own score":       func(s *Transcript) { s.Steps[0].Unscored = 1 },
		"which is older than 2":                  func(s *Transcript) { s.Steps[0].Oldest = firstVersion },
		"gateways list different results":        func(s *Transcript) { s.Steps[0].Same = false },
		"no engine was ordered":                  func(s *Transcript) { s.Orders = nil },
		"Fenced:false":                           func(s *Transcript) { s.Orders[0].Fenced = false },
		"Version:3":                              func(s *Transcript) { s.Orders[0].Version = 3 },
		"3 calls of caller ran and 4":            func(s *Transcript) { s.Usage.Reported = 4 },
		"1 windows were reported with two sets":  func(s *Transcript) { s.Usage.Changed = 1 },
		"the host to be emptied":                 func(s *Transcript) { s.Retired = false },
		"keys reached [desk]":                    func(s *Transcript) { s.KeysSeen = []string{"desk"} },
		"another organisation was named to [pc]": func(s *Transcript) { s.Misnamed = []string{"pc"} },
	} {
		t.Run(name, func(t *testing.T) {
			seen := good()
			spoil(&seen)
			if err := check(io.Discard, seen); !errors.Is(err, ErrPromise) || !strings.Contains(err.Error(), name) {
				t.Errorf("%v", err)
			}
		})
	}
}

// Package ticket holds the configuration that operators change by numbered tickets:
// its parts, the order of tickets, and the immutable view that traffic reads.
//
// Load pattern: a few tickets a minute from operators that race one another, read on thousands of hosts at
// each request, with cuts and outages between. Head.Order decides which ticket gets a number: without it two
// operators could both be told that theirs was accepted. Freshness decides whether a host may serve by its
// view: without it a host that is cut off would serve a withdrawn key for as long as the cut lasts, or an
// outage of the platform would stop all traffic. The grounds of the figures stand at the constants.
package ticket

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration written as a string such as "90s" in tickets.
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string such as "90s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("a duration is a string such as \"90s\", not %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrapf(err, "duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}

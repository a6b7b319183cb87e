// Package verdict defines refusals: errors that say why a request was not answered in full and whether it may have run.
package verdict

import (
	"fmt"

	"github.com/pkg/errors"
)

// Verdict says whether a request may have had an effect at a backend server.
type Verdict uint8

// The zero value is invalid, so that a missing verdict is never read as NotRun.
const (
	// NotRun: the request had no effect and never will; it may be sent again to any server.
	NotRun Verdict = iota + 1
	// MayHaveRun: it is unknown whether the request ran; only an idempotent request may be sent again.
	MayHaveRun
	// Ran: the request ran and its answer is known.
	Ran
)

var verdictNames = map[Verdict]string{NotRun: "notRun", MayHaveRun: "mayHaveRun", Ran: "ran"}

// ErrUnknown is returned for an unknown verdict value or name.
var ErrUnknown = errors.New("unknown verdict")

// String returns the camel-case name sent to callers.
func (v Verdict) String() string {
	if name, ok := verdictNames[v]; ok {
		return name
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText encodes the verdict by name.
func (v Verdict) MarshalText() ([]byte, error) {
	if name, ok := verdictNames[v]; ok {
		return []byte(name), nil
	}
	return nil, errors.Wrapf(ErrUnknown, "%d", uint8(v))
}

// UnmarshalText decodes a verdict from its name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for known, name := range verdictNames {
		if name == string(text) {
			*v = known
			return nil
		}
	}
	return errors.Wrapf(ErrUnknown, "%q", text)
}

// Package verdict says, for every request that was not answered whole, whether it may have run.
package verdict

import (
	"fmt"

	"github.com/pkg/errors"
)

// Verdict tells whether a request may have had an effect at a backend server.
type Verdict uint8

// The zero value is invalid, so that a forgotten verdict is never read as "not run".
const (
	// NotRun: the request had no effect and never will; it may be sent again anywhere.
	NotRun Verdict = iota + 1
	// MayHaveRun: it is unknown whether the request ran; only an idempotent request may be sent again.
	MayHaveRun
	// Ran: the request ran and its answer is known.
	Ran
)

var names = map[Verdict]string{NotRun: "notRun", MayHaveRun: "mayHaveRun", Ran: "ran"}

// ErrUnknown is returned for a verdict name that is not in use.
var ErrUnknown = errors.New("unknown verdict")

// String returns the camel-case name used in answers to callers.
func (v Verdict) String() string {
	if name, ok := names[v]; ok {
		return name
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText encodes the verdict by name.
func (v Verdict) MarshalText() ([]byte, error) {
	if name, ok := names[v]; ok {
		return []byte(name), nil
	}
	return nil, errors.Wrapf(ErrUnknown, "%d", uint8(v))
}

// UnmarshalText decodes a verdict from its name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for known, name := range names {
		if name == string(text) {
			*v = known
			return nil
		}
	}
	return errors.Wrapf(ErrUnknown, "%q", text)
}

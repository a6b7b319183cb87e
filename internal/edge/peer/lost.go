package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// lostError is an ErrLost that names the process to which the request was sent.
type lostError struct {
	process uint64
	detail  string
}

func (o *outbound) lost(format string, args ...any) error {
	return &lostError{process: o.channel.process, detail: fmt.Sprintf(format, args...)}
}

// Error returns the detail and what it means.
func (e *lostError) Error() string { return e.detail + ": " + ErrLost.Error() }

// Unwrap makes errors.Is find ErrLost.
func (e *lostError) Unwrap() error { return ErrLost }

// LostProcess returns the incarnation of the process to which a request with this ErrLost was sent, and
// 0 for other errors. A process of another incarnation at the same address can't say what became of
// the request.
func LostProcess(err error) uint64 {
	var lost *lostError
	if errors.As(err, &lost) {
		return lost.process
	}
	return 0
}

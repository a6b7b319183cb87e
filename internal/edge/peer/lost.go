package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// lostError wraps ErrLost and records the incarnation of the process to which the request was sent.
type lostError struct {
	serverIncarnation uint64
	detail            string
}

func (s *clientStream) lostErrorf(format string, args ...any) error {
	return &lostError{serverIncarnation: s.conn.serverIncarnation, detail: fmt.Sprintf(format, args...)}
}

// Error returns the detail followed by the text of ErrLost.
func (e *lostError) Error() string { return e.detail + ": " + ErrLost.Error() }

// Unwrap returns ErrLost.
func (e *lostError) Unwrap() error { return ErrLost }

// ServerIncarnation returns the incarnation of the process to which the request was sent if err wraps ErrLost, and 0 for other
// errors. A process with another incarnation at the same address doesn't know the outcome of the request.
func ServerIncarnation(err error) uint64 {
	var lost *lostError
	if errors.As(err, &lost) {
		return lost.serverIncarnation
	}
	return 0
}

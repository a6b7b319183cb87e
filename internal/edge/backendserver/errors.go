package backendserver

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// Errors of calls to backend servers.
var (
	// ErrNotSent: no byte of the request was sent, so the call can't have run.
	ErrNotSent = exchange.ErrNotSent
	// ErrAnswerLost: the request was sent, but its complete answer was not received; the call may have run.
	ErrAnswerLost = exchange.ErrAnswerLost
	// ErrFenced: the server has seen a newer fencing number than the order's.
	ErrFenced = errors.New("fencing number is old")
	// ErrBusy: the server refused the call before running it.
	ErrBusy = errors.New("server takes no more work")
	// ErrSwapFailed: the server could not switch to the ordered weights and keeps the old ones.
	ErrSwapFailed = errors.New("weight swap failed")
)

// StatusError is the error of a call whose answer has an unexpected status.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered status %d", e.Path, e.Status)
}

// statusError returns the error for the status of an answer, nil for 200.
func statusError(path string, status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return errors.Wrap(ErrFenced, path)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Wrap(ErrBusy, path)
	case http.StatusFailedDependency:
		return errors.Wrap(ErrSwapFailed, path)
	default:
		return &StatusError{Path: path, Status: status}
	}
}

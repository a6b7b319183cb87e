package backendserver

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// Errors of calls to backend servers.
var (
	// ErrNotSent: no byte of the call left this host, so it can't have run.
	ErrNotSent = exchange.ErrNotSent
	// ErrLost: the call was sent and its answer did not come whole; it may have run.
	ErrLost = exchange.ErrLost
	// ErrFenced: the server knows a newer fencing number than the order's.
	ErrFenced = errors.New("fencing number is old")
	// ErrBusy: the server refused the call before running it.
	ErrBusy = errors.New("server takes no more work")
	// ErrSwapFailed: the server kept its weights.
	ErrSwapFailed = errors.New("weight swap failed")
)

// StatusError is an answer with a status that the call does not expect.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered status %d", e.Path, e.Status)
}

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

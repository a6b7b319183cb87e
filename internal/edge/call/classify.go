package call

import (
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/platform"
)

// ErrWrongRequest is the cause of an answer that belongs to another request.
var ErrWrongRequest = errors.New("the answer belongs to another request")

// Classify returns what the status and header of an answer say about the request. Ran means that a server produced the answer for this request;
// any other outcome comes with its cause. All answers of servers are classified here, those to items of batch jobs included.
func Classify(answer platform.Answer, request string) (verdict.Verdict, error) {
	switch {
	case answer.RequestID != request:
		return verdict.MayHaveRun, errors.Wrapf(ErrWrongRequest, "%.40q", answer.RequestID)
	case answer.NotRun:
		return verdict.NotRun, errors.Errorf("status %d", answer.Status)
	case !answer.Signed():
		return verdict.MayHaveRun, errors.Errorf("status %d without a server's signature", answer.Status)
	case answer.ContentEncoded:
		return verdict.MayHaveRun, errors.Errorf("status %d with a content encoding that was not requested", answer.Status)
	default:
		return verdict.Ran, nil
	}
}

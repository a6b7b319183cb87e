package trainer

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// retryInterval is the Retry-After of refusals whose cause is temporary.
const retryInterval = time.Second

func refusalNotHolder(job string) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonNotLeader, retryInterval,
		"no coordinator of trainer job %s is known here", job)
}

func refusalLeaving(job string) *verdict.Refusal {
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonLeaving, retryInterval,
		"the coordinator of trainer job %s is leaving", job)
}

func refusalBadRequest(format string, args ...any) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, format, args...)
}

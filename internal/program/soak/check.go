package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// countRuns counts how often each call and each batch item ran on a server, and checks every request that a server received.
func (l *loadGenerator) countRuns() map[string]int {
	runs, jobs := map[string]int{}, map[string]*job{}
	for _, j := range l.jobs {
		jobs[j.id] = j
	}
	for _, server := range l.env.allServers() {
		for _, request := range server.Requests() {
			id := request.ID()
			if item, ok := strings.CutPrefix(id, rewardIDPrefix); ok {
				l.checkReward(jobs[jobIDOf(item)], request, server.ID)
				continue
			}
			valid := request.Organisation() == organisation && request.Key() == "" && (isBatchItem(request) || request.Body == "body of "+id)
			l.checker.check(guaranteeServerRequest, valid, "server %s received headers %v and body %q", server.ID, request.Header, request.Body)
			if request.Behaviour.Refuses() {
				continue
			}
			runs[id]++
			if isBatchItem(request) {
				jobs[jobIDOf(id)].recordStart(request)
				l.checkStart(jobs[jobIDOf(id)], request, server.ID)
			}
		}
	}
	return runs
}

// checkReward checks the content of a reward call that a server received, and that it did not start after the end of its job.
func (l *loadGenerator) checkReward(j *job, request platformtest.Request, server string) {
	valid := request.Organisation() == "" && request.Key() == "" && request.Body == platformtest.RewardBody
	l.checker.check(guaranteeServerRequest, valid,
		"server %s received a reward call with headers %v and body %q", server, request.Header, request.Body)
	if !request.Behaviour.Refuses() {
		l.checkStart(j, request, server)
	}
}

// isScored reports whether score is the signature of a service on a reward call for the item
// that the service received after an engine had sent all of the item.
func (l *loadGenerator) isScored(item, score string) bool {
	completed, ok := l.env.completedAt(item)
	if !ok {
		return false
	}
	for _, service := range l.env.services {
		if score != platformtest.Signature(service.ID, rewardIDPrefix+item) {
			continue
		}
		return slices.ContainsFunc(service.Requests(), func(request platformtest.Request) bool {
			return request.ID() == rewardIDPrefix+item && request.Behaviour.AnswersPlainCalls() && request.ReceivedAt.After(completed)
		})
	}
	return false
}

// isBatchItem reports whether a request that a server received is an item of a batch job.
func isBatchItem(r platformtest.Request) bool { return strings.HasPrefix(r.Target, pathJobs) }

// jobIDOf returns the ID of the job that the item belongs to, or "" if the item ID has no job part.
func jobIDOf(item string) string {
	last := strings.LastIndex(item, "-")
	if last < 0 {
		return ""
	}
	return item[:last]
}

// startGrace is how long items of a job may still start after its end was acknowledged. A process that was isolated
// and could not learn of the end has the same time after the isolation.
const startGrace = 3 * time.Second

func (l *loadGenerator) checkStart(j *job, request platformtest.Request, server string) {
	if j == nil {
		l.checker.check(guaranteeServerRequest, false, "server %s received item %s, which belongs to no submitted job", server, request.ID())
		return
	}
	if j.ended.IsZero() {
		return
	}
	delay := request.ReceivedAt.Sub(j.ended)
	l.checker.check(guaranteeEnd, delay <= startGrace || l.env.wasIsolated(request.ReceivedAt),
		"job %s ended at %s; item %s started on %s at %s, %v later",
		j.id, formatTime(j.ended), request.ID(), server, formatTime(request.ReceivedAt), delay)
}

// withdrawalGrace is how long a withdrawn key may still be served. It is longer than any disturbance, because a
// disturbed process may learn of the withdrawal only after the disturbance.
const withdrawalGrace = 12 * time.Second

func (l *loadGenerator) checkCall(c call, runs int) {
	status := c.reply.status
	if status == http.StatusOK {
		l.checker.check(guaranteeComplete, strings.HasSuffix(c.reply.body, "body of "+c.id), "call %s returned body %q", c.id, c.reply.body)
	}
	if isNotRun(status) || status == http.StatusUnauthorized {
		l.checker.check(guaranteeNotRun, runs == 0, "call %s: %v; it ran %d times", c.id, c.reply, runs)
	}
	if c.path == pathOnce {
		l.checker.check(guaranteeOnce, runs <= 1, "call %s: %v; it ran %d times", c.id, c.reply, runs)
	}
	if at, withdrawn := l.env.withdrawnKeys[c.key]; withdrawn && status == http.StatusOK {
		delay := c.reply.sent.Sub(at)
		l.checker.check(guaranteeKey, delay <= withdrawalGrace, "call %s was served %v after its key was withdrawn", c.id, delay)
	}
}

func (l *loadGenerator) checkJob(j *job, runs map[string]int) {
	j.checkItems(l.isScored)
	j.checkDenials(l.env.completedAt)
	j.checkRefusals()
	if j.mayHaveRun {
		return
	}
	for _, item := range j.items {
		l.checker.check(guaranteeNotRun, runs[item.ID] == 0,
			"item %s ran %d times although every submission of its job was rejected as not run", item.ID, runs[item.ID])
	}
}

// completedAt returns when an engine first sent the last event of an item.
func (env *environment) completedAt(item string) (first time.Time, ok bool) {
	for _, engine := range env.engines {
		if at, sent := engine.LastEventSentAt(item); sent && (!ok || at.Before(first)) {
			first, ok = at, true
		}
	}
	return first, ok
}

// checkAll runs the checks that need the data of the whole run.
func (l *loadGenerator) checkAll() {
	runs := l.countRuns()
	for _, c := range l.calls {
		l.checkCall(c, runs[c.id])
	}
	for _, j := range l.jobs {
		l.checkJob(j, runs)
	}
	l.checkReports()
	l.checkZones()
	l.checkStepOutages()
	for _, g := range []guarantee{
		guaranteeComplete, guaranteeItem, guaranteeScore, guaranteeReport, guaranteeStored, guaranteeAcceptanceStored,
	} {
		l.checker.check(guaranteeRecovery, l.checker.checked(g) > 0, "never checked: %s", g)
	}
}

// checkReports checks that each usage window was reported with one set of counts and that fencing numbers never decrease.
func (l *loadGenerator) checkReports() {
	windows, fence := map[int64]uint64{}, uint64(0)
	for _, report := range l.env.usageReceiver.Reports() {
		known, again := windows[report.Window]
		l.checker.check(guaranteeReport, !again || known == report.Counts[organisation],
			"usage window %d was reported as %d and then as %d", report.Window, known, report.Counts[organisation])
		windows[report.Window] = report.Counts[organisation]
		l.checker.check(guaranteeFencing, report.Fencing >= fence,
			"a usage report with fencing number %d followed one with %d", report.Fencing, fence)
		fence = max(fence, report.Fencing)
	}
	for _, engine := range l.env.engines {
		last := uint64(0)
		for _, order := range engine.Orders() {
			l.checker.check(guaranteeFencing, order.FenceToken >= last,
				"engine %s accepted an order with fencing number %d after %d", engine.ID, order.FenceToken, last)
			last = max(last, order.FenceToken)
		}
	}
}

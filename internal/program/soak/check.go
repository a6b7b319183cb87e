package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// ran counts how often each call and each item ran at a server, and checks what each server was sent.
func (l *load) ran() map[string]int {
	ran, jobs := map[string]int{}, map[string]*job{}
	for _, j := range l.jobs {
		jobs[j.id] = j
	}
	for _, server := range l.w.all() {
		for _, request := range server.Requests() {
			id := request.ID()
			if item, ok := strings.CutPrefix(id, rewardPrefix); ok {
				l.checkReward(jobs[jobOf(item)], request, server.ID)
				continue
			}
			sound := request.Organisation() == organisation && request.Key() == "" && (isJob(request) || request.Body == "body of "+id)
			l.ledger.check(promiseServer, sound, "server %s was sent %v with the body %q", server.ID, request.Header, request.Body)
			if request.Behaviour == platformtest.Shed {
				continue
			}
			ran[id]++
			if isJob(request) {
				l.checkStart(jobs[jobOf(id)], request, server.ID)
			}
		}
	}
	return ran
}

// checkReward checks what a server was sent as a reward call, and when.
func (l *load) checkReward(j *job, request platformtest.Request, server string) {
	sound := request.Organisation() == "" && request.Key() == "" && request.Body == platformtest.RewardBody
	l.ledger.check(promiseServer, sound, "server %s was sent the reward call %v with the body %q", server, request.Header, request.Body)
	if request.Behaviour != platformtest.Shed {
		l.checkStart(j, request, server)
	}
}

// isScored says whether a score is the signature of a service's answer to the item's reward call that came after an engine had sent all of the
// item.
func (l *load) isScored(item, score string) bool {
	whole, ok := l.w.whole(item)
	if !ok {
		return false
	}
	for _, service := range l.w.services {
		if score != platformtest.Signature(service.ID, rewardPrefix+item) {
			continue
		}
		return slices.ContainsFunc(service.Requests(), func(request platformtest.Request) bool {
			return request.ID() == rewardPrefix+item && request.Behaviour.AnswersPlainCalls() && request.ReceivedAt.After(whole)
		})
	}
	return false
}

// isJob says whether a request at a server is an item of a batch job.
func isJob(r platformtest.Request) bool { return strings.HasPrefix(r.Target, pathJobs) }

// jobOf returns the id of an item's job.
func jobOf(item string) string {
	last := strings.LastIndex(item, "-")
	if last < 0 {
		return ""
	}
	return item[:last]
}

// startsTime is how long after its acknowledged end items of a job may still start, and how long a process that could not hear of
// it may go on once it can.
const startsTime = 3 * time.Second

func (l *load) checkStart(j *job, request platformtest.Request, server string) {
	if j == nil {
		l.ledger.check(promiseServer, false, "server %s was sent item %s, which is no trainer's", server, request.ID())
		return
	}
	if j.ended.IsZero() {
		return
	}
	late := request.ReceivedAt.Sub(j.ended)
	l.ledger.check(promiseEnd, late <= startsTime || l.w.wasIsolated(request.ReceivedAt), "job %s was ended at %s; item %s started at %s at %s, %v later",
		j.id, clock(j.ended), request.ID(), server, clock(request.ReceivedAt), late)
}

// withdrawnTime is how long a withdrawn key may go on while processes are disturbed: longer than any disturbance.
const withdrawnTime = 12 * time.Second

func (l *load) checkCall(c call, ran int) {
	status := c.reply.status
	if status == http.StatusOK {
		l.ledger.check(promiseWhole, strings.HasSuffix(c.reply.body, "body of "+c.id), "call %s got %q", c.id, c.reply.body)
	}
	if saysNotRun(status) || status == http.StatusUnauthorized {
		l.ledger.check(promiseNotRun, ran == 0, "call %s %v and ran %d times", c.id, c.reply, ran)
	}
	if c.path == pathOnce {
		l.ledger.check(promiseOnce, ran <= 1, "call %s %v and ran %d times", c.id, c.reply, ran)
	}
	if at, withdrawn := l.w.retired[c.key]; withdrawn && status == http.StatusOK {
		late := c.reply.sent.Sub(at)
		l.ledger.check(promiseKey, late <= withdrawnTime, "call %s was served %v after its key was withdrawn", c.id, late)
	}
}

func (l *load) checkJob(j *job, ran map[string]int) {
	j.checkItems(l.isScored)
	j.checkDenials(l.w.whole)
	if j.maybe {
		return
	}
	for _, item := range j.items {
		l.ledger.check(promiseNotRun, ran[item.ID] == 0, "item %s ran %d times; each submission of its job was refused as not run", item.ID, ran[item.ID])
	}
}

// whole returns when a server first sent the last event of an item.
func (w *world) whole(item string) (first time.Time, ok bool) {
	for _, engine := range w.engines {
		if at, sent := engine.LastEventSentAt(item); sent && (!ok || at.Before(first)) {
			first, ok = at, true
		}
	}
	return first, ok
}

// check checks what is known only when a run is over.
func (l *load) check() {
	ran := l.ran()
	for _, c := range l.calls {
		l.checkCall(c, ran[c.id])
	}
	for _, j := range l.jobs {
		l.checkJob(j, ran)
	}
	l.checkReports()
	for _, p := range []promise{promiseWhole, promiseItem, promiseScore, promiseReport} {
		l.ledger.check(promiseComesRight, l.ledger.checked(p) > 0, "never checked: %s", p)
	}
}

// checkReports checks that a window has one set of figures and that fencing numbers never fall.
func (l *load) checkReports() {
	windows, fence := map[int64]uint64{}, uint64(0)
	for _, report := range l.w.duties.Reports() {
		known, again := windows[report.Window]
		l.ledger.check(promiseReport, !again || known == report.Counts[organisation], "window %d was reported with %d and %d", report.Window, known, report.Counts[organisation])
		windows[report.Window] = report.Counts[organisation]
		l.ledger.check(promiseFence, report.Fencing >= fence, "a report came under %d after %d", report.Fencing, fence)
		fence = max(fence, report.Fencing)
	}
	for _, engine := range l.w.engines {
		last := uint64(0)
		for _, order := range engine.Orders() {
			l.ledger.check(promiseFence, order.FenceToken >= last, "engine %s took an order under %d after %d", engine.ID, order.FenceToken, last)
			last = max(last, order.FenceToken)
		}
	}
}

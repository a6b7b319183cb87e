package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// job is a batch job together with everything that any response from any gateway has shown of it. A request that is sent after such
// a response must not contradict it, whichever gateway answers.
type job struct {
	id         string
	minVersion int
	items      []platformtest.Item
	checker    *checker
	store      *platformtest.Store

	mu sync.Mutex
	// observed holds the first result seen at each position.
	observed []observation
	// accepted is when the first acceptance was received. mayHaveRun is set once a response to a submission did not promise
	// that the job has not run.
	accepted   time.Time
	mayHaveRun bool
	// lastAccepted is when the last accepted submission was sent. refusals are the submissions that were rejected as not run.
	lastAccepted time.Time
	refusals     []reply
	// endSent is when the end was first sent, ended when it was first acknowledged.
	endSent, ended time.Time
	denials        []bodyDenial
	// firstStart is when a server first received an item; it is set after the run.
	firstStart time.Time
}

// observation is a result that a response contained. It is unset while at is zero.
type observation struct {
	result  platformtest.Result
	at      time.Time
	gateway string
}

// bodyDenial is a response that said that an item has no body.
type bodyDenial struct {
	item  string
	reply reply
}

func newJob(id string, items, minVersion int, env *environment) *job {
	j := &job{id: id, minVersion: minVersion, checker: env.checker, store: env.store, observed: make([]observation, items)}
	for i := range items {
		item := fmt.Sprintf("%s-%d", id, i)
		j.items = append(j.items, platformtest.Item{
			ID: item, Path: fmt.Sprintf("%s%d", pathJobs, i), Group: fmt.Sprint(i / groupSize),
			Reward: &platformtest.Reward{ID: rewardIDPrefix + item, Host: hostName, Path: pathSafe + item},
		})
	}
	return j
}

// rewardIDPrefix precedes the item ID in the ID of a reward call.
const rewardIDPrefix = "score-"

// eventsOf returns the number of events in the output of an item.
func eventsOf(item string) int {
	if number, err := strconv.Atoi(item[strings.LastIndex(item, "-")+1:]); err == nil && number%longItemInterval == longItemInterval-1 {
		return longItemEvents
	}
	return itemEvents
}

// groupSize is the number of items in a group.
const groupSize = 2

func (j *job) submission() string {
	return platformtest.Submission(model, j.minVersion, len(j.items)/groupSize, j.items)
}

// listedCount returns how many positions have been observed.
func (j *job) listedCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	listed := 0
	for _, observed := range j.observed {
		if !observed.at.IsZero() {
			listed++
		}
	}
	return listed
}

func (j *job) isComplete() bool { return j.listedCount() == len(j.observed) }

func (j *job) acceptedAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted
}

func (j *job) isAccepted() bool { return !j.acceptedAt().IsZero() }

func (j *job) isEndSent() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.endSent.IsZero()
}

// isNotRun reports whether a status promises that the request has not run and never will.
func isNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// deniesJob reports whether a status says that the job does not exist. A 401 does not: the gateway may not know the key yet.
func deniesJob(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusUnauthorized && !isNotRun(status)
}

// lacksConfiguration reports whether a gateway refused because it has just started and has no configuration yet. It then
// refuses every request as not run, as the platform requires.
func lacksConfiguration(r reply) bool {
	return r.status == http.StatusServiceUnavailable && strings.Contains(r.body, string(verdict.ReasonIsolated))
}

// recordSubmission records and checks the response to a submission.
func (j *job) recordSubmission(r reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if known := !j.accepted.IsZero() && r.sent.After(j.accepted); known {
		j.checker.check(guaranteeResubmission, !isNotRun(r.status) || lacksConfiguration(r),
			"job %s was accepted at %s; its submission %v", j.id, formatTime(j.accepted), r)
		j.checker.check(guaranteeAccepted, !deniesJob(r.status),
			"job %s was accepted at %s; its submission %v", j.id, formatTime(j.accepted), r)
	}
	if isNotRun(r.status) {
		j.refusals = append(j.refusals, r)
	} else {
		j.mayHaveRun = true
	}
	if r.status != http.StatusAccepted {
		return
	}
	j.checkAcceptanceStored(r)
	if j.accepted.IsZero() {
		j.accepted = r.received
	}
	if r.sent.After(j.lastAccepted) {
		j.lastAccepted = r.sent
	}
}

// recordEnd records and checks the response to the end request of the job.
func (j *job) recordEnd(r reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkJobKnown(r, "its end")
	if r.status == http.StatusOK && j.ended.IsZero() {
		j.ended = r.received
	}
}

// checkJobKnown checks that a response does not deny the accepted job. The caller must hold j.mu.
func (j *job) checkJobKnown(r reply, request string) {
	j.checker.check(guaranteeAccepted, !deniesJob(r.status), "job %s was accepted at %s; %s %v", j.id, formatTime(j.accepted), request, r)
}

// recordResults records and checks the response to a read that starts at position from.
func (j *job) recordResults(from int, r reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkJobKnown(r, fmt.Sprintf("a read from position %d", from))
	if r.status != http.StatusOK {
		return
	}
	got, err := platformtest.ReadResults(r.body)
	valid := err == nil && got.Next == from+len(got.Results)
	j.checker.check(guaranteeComplete, valid, "job %s: a read from position %d %v: %.100s", j.id, from, r, r.body)
	j.checker.check(guaranteeTotal, got.Total == len(j.items), "job %s: a read from position %d %v with total %d", j.id, from, r, got.Total)
	if !valid || got.Next > len(j.observed) {
		return
	}
	if len(got.Results) == 0 {
		j.checkEmpty(from, r)
	}
	j.checkStored(from, got.Results, r)
	for i, result := range got.Results {
		j.recordResult(from+i, result, r)
	}
}

// checkEmpty checks that no position at or after from was observed before the read was sent. Only empty lists are checked: a list
// with results may be incomplete, since its reader continues at its end.
func (j *job) checkEmpty(from int, r reply) {
	lost := -1
	for position := from; position < len(j.observed) && lost < 0; position++ {
		if known := j.observed[position]; !known.at.IsZero() && known.at.Before(r.sent) {
			lost = position
		}
	}
	var known observation
	if lost >= 0 {
		known = j.observed[lost]
	}
	j.checker.check(guaranteeNotEmpty, lost < 0, "job %s: %s listed position %d at %s; a later read from position %d %v with an empty list",
		j.id, known.gateway, lost, formatTime(known.at), from, r)
}

// recordResult records one result, or checks it against the one already observed at its position.
func (j *job) recordResult(position int, result platformtest.Result, r reply) {
	known := j.observed[position]
	if known.at.IsZero() {
		j.observed[position] = observation{result: result, at: r.received, gateway: r.gateway}
		return
	}
	same := known.result.ID == result.ID && known.result.State == result.State && known.result.Text == result.Text &&
		slices.Equal(known.result.Versions, result.Versions) && known.result.Score == result.Score
	j.checker.check(guaranteePosition, same, "job %s: position %d was %v, listed by %s at %s; a read %v with %v",
		j.id, position, known.result, known.gateway, formatTime(known.at), r, result)
}

// recordBody records and checks the response to a read of an item's body. Only the end of the run shows whether the item had been
// listed when the response arrived, so denials are kept until then.
func (j *job) recordBody(item string, r reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r.status == http.StatusOK {
		j.checker.check(guaranteeBody, r.body == platformtest.ItemBody, "body of item %s: %v with %.80q", item, r, r.body)
	}
	if deniesJob(r.status) {
		j.denials = append(j.denials, bodyDenial{item: item, reply: r})
	}
}

// checkItems checks the results that the job listed. scored reports whether a score is the signature on the item's reward call, made
// after the item's text was complete.
func (j *job) checkItems(scored func(item, score string) bool) {
	seen := map[string]bool{}
	for _, observed := range j.observed {
		if observed.at.IsZero() {
			continue
		}
		result := observed.result
		complete := result.State == platformtest.Completed && result.Text == platformtest.OutputText(result.ID, eventsOf(result.ID))
		older := func(v int) bool { return v < j.minVersion }
		allowed := len(result.Versions) > 0 && !slices.ContainsFunc(result.Versions, older)
		j.checker.check(guaranteeItem, !seen[result.ID] && complete && allowed, "job %s (minimum model version %d) lists %v; listed before: %v",
			j.id, j.minVersion, result, seen[result.ID])
		seen[result.ID] = true
		j.checker.check(guaranteeScore, scored(result.ID, result.Score), "job %s lists %s with score %q", j.id, result.ID, result.Score)
	}
}

// checkDenials checks that no item was denied its body before a server had sent all of it, since it cannot be listed before.
func (j *job) checkDenials(completedAt func(item string) (time.Time, bool)) {
	for _, denied := range j.denials {
		at, ok := completedAt(denied.item)
		listed := ok && at.Before(denied.reply.received)
		ended := !j.endSent.IsZero() && j.endSent.Before(denied.reply.received)
		j.checker.check(guaranteeBody, listed || ended,
			"body of item %s (job %s, accepted at %s): %v", denied.item, j.id, formatTime(j.accepted), denied.reply)
	}
}

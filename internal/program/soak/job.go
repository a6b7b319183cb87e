package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// job is a batch job with all that any answer of any entry has shown of it. A request that is sent after the time of such an answer
// must not be told otherwise, wherever it goes.
type job struct {
	id         string
	minVersion int
	items      []platformtest.Item
	ledger     *ledger

	mu sync.Mutex
	// shown holds the result at each position.
	shown []shown
	// accepted is when the first acceptance came; maybe is set once a submission was answered otherwise than as not run.
	accepted time.Time
	maybe    bool
	// endSent is when the end was first sent, ended when it was first acknowledged.
	endSent, ended time.Time
	denials        []bodyDenial
}

// shown is a result that an answer showed. It is unset while at is zero.
type shown struct {
	result platformtest.Result
	at     time.Time
	entry  string
}

// bodyDenial is an answer that said that an item has no body.
type bodyDenial struct {
	item  string
	reply reply
}

func newJob(id string, items, minVersion int, kept *ledger) *job {
	j := &job{id: id, minVersion: minVersion, ledger: kept, shown: make([]shown, items)}
	for i := range items {
		item := fmt.Sprintf("%s-%d", id, i)
		j.items = append(j.items, platformtest.Item{
			ID: item, Path: fmt.Sprintf("%s%d", pathJobs, i), Group: fmt.Sprint(i / groupSize),
			Reward: &platformtest.Reward{ID: rewardPrefix + item, Host: hostName, Path: pathSafe + item},
		})
	}
	return j
}

// rewardPrefix begins the ids of reward calls; the id of the item follows.
const rewardPrefix = "score-"

// groupSize is how many items make a group.
const groupSize = 2

func (j *job) submission() string {
	return platformtest.Submission(model, j.minVersion, len(j.items)/groupSize, j.items)
}

// listed returns how many positions were shown.
func (j *job) listed() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	listed := 0
	for _, each := range j.shown {
		if !each.at.IsZero() {
			listed++
		}
	}
	return listed
}

func (j *job) whole() bool { return j.listed() == len(j.shown) }

func (j *job) acceptedAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted
}

func (j *job) isAccepted() bool { return !j.acceptedAt().IsZero() }

func (j *job) endWasSent() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.endSent.IsZero()
}

// saysNotRun says whether a status promises that the request has not run and never will.
func saysNotRun(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// saysUnknown says whether a status denies that there is such a job. A key that the entry doesn't know yet is another matter.
func saysUnknown(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusUnauthorized && !saysNotRun(status)
}

// knowsNoConfiguration says whether an entry refused since it has just started and can't tell yet what the request is. It refuses everything as
// not run then, as the platform's rules ask.
func knowsNoConfiguration(r reply) bool {
	return r.status == http.StatusServiceUnavailable && strings.Contains(r.body, string(verdict.ReasonIsolated))
}

// noteSubmission takes in the answer to a submission.
func (j *job) noteSubmission(r reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if known := !j.accepted.IsZero() && r.sent.After(j.accepted); known {
		j.ledger.check(promiseRepeat, !saysNotRun(r.status) || knowsNoConfiguration(r), "job %s was accepted at %s; its submission %v", j.id, clock(j.accepted), r)
		j.ledger.check(promiseAccepted, !saysUnknown(r.status), "job %s was accepted at %s; its submission %v", j.id, clock(j.accepted), r)
	}
	j.maybe = j.maybe || !saysNotRun(r.status)
	if r.status == http.StatusAccepted && j.accepted.IsZero() {
		j.accepted = r.came
	}
}

// noteEnd takes in the answer to the end of the job.
func (j *job) noteEnd(r reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkKnown(r, "its end")
	if r.status == http.StatusOK && j.ended.IsZero() {
		j.ended = r.came
	}
}

// checkKnown checks that an answer doesn't deny the accepted job. The caller holds the lock.
func (j *job) checkKnown(r reply, what string) {
	j.ledger.check(promiseAccepted, !saysUnknown(r.status), "job %s was accepted at %s; %s %v", j.id, clock(j.accepted), what, r)
}

// noteResults takes in the answer to a read from a position on.
func (j *job) noteResults(from int, r reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkKnown(r, fmt.Sprintf("a read from %d", from))
	if r.status != http.StatusOK {
		return
	}
	got, err := platformtest.ReadResults(r.body)
	sound := err == nil && got.Next == from+len(got.Results)
	j.ledger.check(promiseWhole, sound, "job %s: a read from %d %v: %.100s", j.id, from, r, r.body)
	j.ledger.check(promiseTotal, got.Total == len(j.items), "job %s: a read from %d %v with a total of %d", j.id, from, r, got.Total)
	if !sound || got.Next > len(j.shown) {
		return
	}
	if len(got.Results) == 0 {
		j.checkEmpty(from, r)
	}
	for i, each := range got.Results {
		j.show(from+i, each, r)
	}
}

// checkEmpty checks that no position from there on was shown before the read was sent. A list with results may be short: its reader
// asks on from its end.
func (j *job) checkEmpty(from int, r reply) {
	missing := -1
	for position := from; position < len(j.shown) && missing < 0; position++ {
		if known := j.shown[position]; !known.at.IsZero() && known.at.Before(r.sent) {
			missing = position
		}
	}
	var known shown
	if missing >= 0 {
		known = j.shown[missing]
	}
	j.ledger.check(promiseEmpty, missing < 0, "job %s: %s showed position %d at %s; a read from %d %v and listed nothing",
		j.id, known.entry, missing, clock(known.at), from, r)
}

// show takes in one result.
func (j *job) show(position int, result platformtest.Result, r reply) {
	known := j.shown[position]
	if known.at.IsZero() {
		j.shown[position] = shown{result: result, at: r.came, entry: r.entry}
		return
	}
	same := known.result.ID == result.ID && known.result.State == result.State && known.result.Text == result.Text &&
		slices.Equal(known.result.Versions, result.Versions) && known.result.Score == result.Score
	j.ledger.check(promisePosition, same, "job %s: position %d was %v, shown by %s at %s; a read %v with %v",
		j.id, position, known.result, known.entry, clock(known.at), r, result)
}

// noteBody takes in the answer to a read of an item's body. Whether the item was listed when the answer came is known at the end.
func (j *job) noteBody(item string, r reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r.status == http.StatusOK {
		j.ledger.check(promiseBody, r.body == platformtest.ItemBody, "item %s %v with the body %.80q", item, r, r.body)
	}
	if saysUnknown(r.status) {
		j.denials = append(j.denials, bodyDenial{item: item, reply: r})
	}
}

// checkItems checks what the job listed in the end. Scored says whether a score is the signature of an answer to the item's reward call that came
// after its text was whole.
func (j *job) checkItems(scored func(item, score string) bool) {
	seen := map[string]bool{}
	for _, each := range j.shown {
		if each.at.IsZero() {
			continue
		}
		result := each.result
		whole := result.State == platformtest.Completed && result.Text == platformtest.OutputText(result.ID, itemEvents)
		older := func(v int) bool { return v < j.minVersion }
		allowed := len(result.Versions) > 0 && !slices.ContainsFunc(result.Versions, older)
		j.ledger.check(promiseItem, !seen[result.ID] && whole && allowed, "job %s, of weights %d or newer, lists %v; listed before: %v",
			j.id, j.minVersion, result, seen[result.ID])
		seen[result.ID] = true
		j.ledger.check(promiseScore, scored(result.ID, result.Score), "job %s lists %s with the score %q", j.id, result.ID, result.Score)
	}
}

// checkDenials checks that no item was denied its body before any server had sent all of it, as none can be listed before.
func (j *job) checkDenials(whole func(item string) (time.Time, bool)) {
	for _, denied := range j.denials {
		at, ok := whole(denied.item)
		listed := ok && at.Before(denied.reply.came)
		ended := !j.endSent.IsZero() && j.endSent.Before(denied.reply.came)
		j.ledger.check(promiseBody, listed || ended, "item %s of job %s, accepted at %s, %v", denied.item, j.id, clock(j.accepted), denied.reply)
	}
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	jobID = "job-1"
	// badItem is the item that every server answers with 422.
	badItem = "item-bad"
	// allowedAnswers is after how many answers of 422 an item may not reach a server again.
	allowedAnswers = 3
	// itemEvents and eventInterval make the other items run for 30 s.
	itemEvents    = 300
	eventInterval = 100 * time.Millisecond
	otherItems    = 8
	engineCount   = 6
	gatewayCount  = 4
	killCount     = 3
	// downTime is how long a killed gateway is down, and killPause the time from an answer of 422 until the gateway that got it is killed.
	downTime  = 5 * time.Second
	killPause = 200 * time.Millisecond
	// stableTime is how long a gateway must have run undisturbed to be in touch.
	stableTime = 3 * time.Second
	// takeoverTime is how long the item may take to run again after a kill, and quietTime how long the case goes on after the last one.
	takeoverTime = 8 * time.Second
	quietTime    = 6 * time.Second
	settleTime   = 2 * time.Second
)

// failingItem is an item that fails at each run, with the servers that it may run at.
type failingItem struct {
	engines []*platformtest.Server
}

// newFailingItem starts the servers of the item.
func newFailingItem(w *world) *failingItem {
	f := &failingItem{}
	for i := range engineCount {
		engine := platformtest.NewServer(&w.cleanups, fmt.Sprintf("engine-%d", i), "engines", map[string]int{model: 1})
		engine.SetStream(itemEvents, eventInterval)
		engine.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
			if r.ID() == badItem {
				return platformtest.Unprocessable
			}
			return platformtest.Answer
		})
		f.engines = append(f.engines, engine)
		w.store.Register(engine, false)
	}
	return f
}

// answers returns how often servers have answered the item with 422.
func (f *failingItem) answers() int {
	count := 0
	for _, engine := range f.engines {
		for _, r := range engine.Requests() {
			if r.ID() == badItem {
				count++
			}
		}
	}
	return count
}

// repeatedFailure kills the gateway that runs a job three times, each time after an item was answered with 422. The item may not reach a server
// a fourth time from a gateway in touch.
func repeatedFailure(w *world) (bool, error) {
	item := newFailingItem(w)
	w.store.Configure(1, hostName, model, []platformtest.Route{
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: routeTimeout},
	}, map[string][]string{organisation: {apiKey}})
	if err := w.addGateways(gatewayCount); err != nil {
		return false, err
	}
	// The gateways learn from one another that the store can be reached.
	ticker.Sleep(w.ctx, settleTime)
	items := []platformtest.Item{{ID: badItem, Path: "/job/x", Group: "g0"}}
	for i := range otherItems {
		items = append(items, platformtest.Item{ID: fmt.Sprintf("item-%d", i), Path: "/job/x", Group: fmt.Sprintf("g%d", i/2)})
	}
	if err := w.submit(platformtest.Submission(model, 1, otherItems/2, items)); err != nil {
		return false, err
	}
	if !w.await(takeoverTime, func() bool { return item.answers() > 0 }) {
		return false, errors.New("the item did not run")
	}
	w.note("answers of 422: %d", item.answers())
	inTouch := true
	if w.trouble {
		var err error
		if inTouch, err = w.killRunners(item); err != nil {
			return false, err
		}
	}
	ticker.Sleep(w.ctx, quietTime)
	w.note("answers of 422: %d, %d allowed", item.answers(), allowedAnswers)
	return item.answers() <= allowedAnswers || !inTouch, nil
}

// killRunners kills the gateway that runs the job, and the ones that take it over, each after the item has failed there. It reports whether the
// gateway that ran the job last had run undisturbed for stableTime.
func (w *world) killRunners(item *failingItem) (bool, error) {
	disturbed := map[string]time.Time{}
	for kill := range killCount {
		ticker.Sleep(w.ctx, killPause)
		g := w.runner()
		if g == nil {
			return false, errors.New("no gateway runs the job")
		}
		before := item.answers()
		g.Kill()
		disturbed[g.name] = time.Now()
		w.note("killed %s, which ran the job", g.name)
		time.AfterFunc(downTime, func() { _ = g.Start() })
		if !w.await(takeoverTime, func() bool { return item.answers() > before }) {
			w.note("the item did not run again")
		}
		w.note("answers of 422 after kill %d: %d", kill+1, item.answers())
	}
	g := w.runner()
	if g == nil {
		return false, errors.New("no gateway runs the job")
	}
	at, killed := disturbed[g.name]
	inTouch := !killed || time.Since(at) > downTime+stableTime
	w.note("the job runs at %s, in touch: %v", g.name, inTouch)
	return inTouch, nil
}

// submit submits the job until it is accepted.
func (w *world) submit(submission string) error {
	accepted := w.await(readyTimeout, func() bool {
		status := w.call(w.gateways[0], http.MethodPost, "/job/"+jobID, jobID, submission)
		w.note("submitted %s: %d", jobID, status)
		return status == http.StatusAccepted
	})
	if !accepted {
		return errors.New("the job was not accepted")
	}
	return nil
}

// runner returns the gateway that runs the job; nil if none does.
func (w *world) runner() *gateway {
	var found *gateway
	w.await(5*time.Second, func() bool {
		for _, g := range w.gateways {
			if w.runsJob(g) {
				found = g
			}
		}
		return found != nil
	})
	return found
}

// runsJob reports whether the gateway says in its debug state that it runs the job.
func (w *world) runsJob(g *gateway) bool {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, g.adminURL+"/debug/state", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	var state struct {
		Jobs []struct {
			ID   string `json:"id"`
			Runs bool   `json:"runs"`
		} `json:"jobs"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&state); err != nil {
		return false
	}
	for _, job := range state.Jobs {
		if job.ID == jobID && job.Runs {
			return true
		}
	}
	return false
}

// call sends a request of the organisation and returns the status of the answer, 0 if there is none.
func (w *world) call(g *gateway, method, target, id, body string) int {
	ctx, cancel := context.WithTimeout(w.ctx, routeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, g.callerURL+target, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = hostName
	platformtest.SetCallerHeaders(request, id, apiKey, routeTimeout)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

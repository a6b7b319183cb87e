package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
	"github.com/oleandershelf/oleandershelf/internal/standin/service"
)

const (
	callers        = 16
	callsPerCaller = 60
	// faultAfter is how many calls have been answered when the fault comes.
	faultAfter = 150
	frozenFor  = 6 * time.Second
	// outageBefore is how old the outage is when the calls go on; a view stays fresh by itself for 3 s.
	outageBefore = 5 * time.Second
)

// callSeen is what a caller was told about one call that may not be repeated.
type callSeen struct {
	id      string
	status  int
	verdict verdict.Verdict
	// refusal is the body of an answer that is none.
	refusal string
}

// load sends calls that may not be repeated, each with an id of its own, and runs fault in the middle; the
// callers that come meanwhile wait until fault returns.
func (c *cluster) load(d scenario.Deployment, entry string, fault func()) []callSeen {
	var mu sync.Mutex
	var seen []callSeen
	var faulted sync.Once
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range callsPerCaller {
				call := c.book(d, entry, fmt.Sprintf("call-%d-%d", caller, i))
				mu.Lock()
				seen = append(seen, call)
				count := len(seen)
				mu.Unlock()
				if count >= faultAfter {
					faulted.Do(fault)
				}
			}
		})
	}
	group.Wait()
	return seen
}

// book sends one call; a connection that the entry cut shows as a call in doubt.
func (c *cluster) book(d scenario.Deployment, entry, id string) callSeen {
	seen := callSeen{id: id, verdict: verdict.MayHaveRun}
	body := fmt.Sprintf(`{"id":%q}`, id)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/services/"+d.Service+service.PathBookings, bytes.NewBufferString(body))
	if err != nil {
		return seen
	}
	q.Header.Set("Authorization", "Bearer "+d.Key(d.Caller))
	q.Header.Set("Request-Timeout", "15")
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return seen
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return seen
	}
	seen.status = response.StatusCode
	if response.StatusCode == http.StatusCreated {
		seen.verdict = verdict.Ran
		return seen
	}
	seen.refusal = string(content)
	var refusal struct {
		Verdict verdict.Verdict `json:"verdict"`
	}
	if json.Unmarshal(content, &refusal) == nil {
		seen.verdict = refusal.Verdict
	}
	return seen
}

// runs returns how often each call ran, over all plain services of the deployment.
func (c *cluster) runs() map[string]int {
	c.t.Helper()
	runs := map[string]int{}
	for _, url := range c.topology.Targets().Services {
		response, err := http.Get(url + "/standin/state")
		if err != nil {
			c.t.Fatal(err)
		}
		var state service.State
		err = json.NewDecoder(response.Body).Decode(&state)
		_ = response.Body.Close()
		if err != nil {
			c.t.Fatal(err)
		}
		for id, count := range state.Runs {
			runs[id] += count
		}
	}
	return runs
}

func (c *cluster) fault(url, body string) {
	c.t.Helper()
	response, err := http.Post(url+"/standin/faults", "application/json", bytes.NewBufferString(body))
	if err != nil {
		c.t.Error(err)
		return
	}
	_ = response.Body.Close()
}

// agentOf returns the host id of the first agent of a pool.
func (c *cluster) agentOf(pool string) string {
	for _, place := range c.topology.Places {
		if place.Settings.Pool == pool {
			return place.Settings.HostID
		}
	}
	c.t.Fatalf("no agent of pool %s", pool)
	return ""
}

// Clerks send charges that may not be repeated while a process on their way is killed, frozen, ended or cut off.
// Each clerk gets one answer. A charge answered 201 ran once; one refused as not run never ran, not even
// when a frozen process wakes later; one in doubt ran at most once.
func TestCallsTellTheTruthWhileThingsFail(t *testing.T) {
	t.Parallel()
	deployment := scenario.Sahil()
	for _, test := range []struct {
		name string
		// certain says that no caller may be left in doubt or refused.
		certain bool
		fault   func(c *cluster)
	}{
		{"agent killed", false, func(c *cluster) { c.signal(c.agentOf(deployment.Service), syscall.SIGKILL) }},
		{"agent frozen and woken", false, func(c *cluster) {
			c.signal(c.agentOf(deployment.Service), syscall.SIGSTOP)
			c.later(frozenFor, func() { c.signal(c.agentOf(deployment.Service), syscall.SIGCONT) })
		}},
		{"agent ended gracefully", true, func(c *cluster) { c.signal(c.agentOf(deployment.Service), syscall.SIGTERM) }},
		{"server frozen and woken", false, func(c *cluster) {
			c.signal("server-"+c.agentOf(deployment.Service), syscall.SIGSTOP)
			c.later(frozenFor, func() { c.signal("server-"+c.agentOf(deployment.Service), syscall.SIGCONT) })
		}},
		{"server cuts connections after the run", false, func(c *cluster) {
			c.fault(c.topology.Targets().Services[0], `{"cutAfterRun":20,"delayMilliseconds":5}`)
		}},
		{"platform down for longer than a view stays fresh by itself", true, func(c *cluster) {
			c.fault(c.topology.Targets().Platform, `{"outage":true}`)
			time.Sleep(outageBefore)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, deployment)
			ctx, cancel := context.WithTimeout(context.Background(), playLimit)
			defer cancel()
			if err := scenario.NewPlayer(deployment, c.topology.Targets(), t.Logf).Prepare(ctx); err != nil {
				t.Fatal(err)
			}
			for _, url := range c.topology.Targets().Services {
				c.fault(url, `{"delayMilliseconds":5}`)
			}
			seen := c.load(deployment, c.topology.Targets().Entry, func() { test.fault(c) })
			// What a woken process still does must not belie what callers were told.
			time.Sleep(frozenFor + time.Second)
			c.checkTruth(seen, c.runs(), test.certain)
		})
	}
}

func (c *cluster) checkTruth(seen []callSeen, runs map[string]int, certain bool) {
	c.t.Helper()
	told := map[verdict.Verdict]int{}
	for _, call := range seen {
		told[call.verdict]++
		ran := runs[call.id]
		switch {
		case ran > 1:
			c.t.Errorf("%s ran %d times", call.id, ran)
		case call.verdict == verdict.Ran && ran != 1:
			c.t.Errorf("%s was answered %d and ran %d times", call.id, call.status, ran)
		case call.verdict == verdict.NotRun && ran != 0:
			c.t.Errorf("%s was refused as not run and ran", call.id)
		case certain && call.verdict != verdict.Ran:
			c.t.Errorf("%s got status %d, verdict %s: %s", call.id, call.status, call.verdict, call.refusal)
		}
	}
	c.t.Logf("callers were told: %v", told)
}

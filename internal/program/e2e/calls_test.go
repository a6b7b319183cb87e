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
	// callsBeforeFault is the number of answered calls after which the fault is injected.
	callsBeforeFault = 150
	freezeDuration   = 6 * time.Second
	// outageLeadTime is how long the outage has lasted when the calls continue. It exceeds the 3 s for which a
	// host's view stays fresh without the platform.
	outageLeadTime = 5 * time.Second
)

// callResult is the outcome of one non-idempotent call as reported to its caller.
type callResult struct {
	id      string
	status  int
	verdict verdict.Verdict
	// refusal is the response body if the status isn't 201.
	refusal string
}

// sendCalls sends non-idempotent calls with unique ids from concurrent callers. After callsBeforeFault answers it
// runs fault once; callers that get an answer in the meantime wait until fault returns.
func (c *cluster) sendCalls(d scenario.Deployment, entry string, fault func()) []callResult {
	var mu sync.Mutex
	var results []callResult
	var once sync.Once
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range callsPerCaller {
				call := c.book(d, entry, fmt.Sprintf("call-%d-%d", caller, i))
				mu.Lock()
				results = append(results, call)
				count := len(results)
				mu.Unlock()
				if count >= callsBeforeFault {
					once.Do(fault)
				}
			}
		})
	}
	group.Wait()
	return results
}

// book sends one non-idempotent call. If the entry closes the connection early, the verdict is MayHaveRun.
func (c *cluster) book(d scenario.Deployment, entry, id string) callResult {
	result := callResult{id: id, verdict: verdict.MayHaveRun}
	body := fmt.Sprintf(`{"id":%q}`, id)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/services/"+d.Service+service.PathBookings,
		bytes.NewBufferString(body))
	if err != nil {
		return result
	}
	request.Header.Set("Authorization", "Bearer "+d.Key(d.Caller))
	request.Header.Set("Request-Timeout", "15")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return result
	}
	result.status = response.StatusCode
	if response.StatusCode == http.StatusCreated {
		result.verdict = verdict.Ran
		return result
	}
	result.refusal = string(content)
	var refusal struct {
		Verdict verdict.Verdict `json:"verdict"`
	}
	if json.Unmarshal(content, &refusal) == nil {
		result.verdict = refusal.Verdict
	}
	return result
}

// runCounts returns how often each call ran, by call id, summed over all plain services of the deployment.
func (c *cluster) runCounts() map[string]int {
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

// injectFault posts fault settings to the stand-in at url.
func (c *cluster) injectFault(url, body string) {
	c.t.Helper()
	response, err := http.Post(url+"/standin/faults", "application/json", bytes.NewBufferString(body))
	if err != nil {
		c.t.Error(err)
		return
	}
	_ = response.Body.Close()
}

// firstAgent returns the host id of the first agent of a pool.
func (c *cluster) firstAgent(pool string) string {
	for _, agent := range c.topology.Agents {
		if agent.Settings.Pool == pool {
			return agent.Settings.HostID
		}
	}
	c.t.Fatalf("no agent of pool %s", pool)
	return ""
}

// Callers send non-idempotent calls while a process on the request path is killed, frozen or shut down, closes
// connections early, or loses the platform. A call answered 201 must have run exactly once. A call refused as not run must never run, not even
// after a frozen process resumes. A call whose outcome is unknown must have run at most once.
func TestVerdictsMatchRunsDuringFaults(t *testing.T) {
	t.Parallel()
	deployment := scenario.Sahil()
	for _, test := range []struct {
		name string
		// mustRun requires that every call is answered 201.
		mustRun     bool
		injectFault func(c *cluster)
	}{
		{"agent killed", false, func(c *cluster) { c.signal(c.firstAgent(deployment.Service), syscall.SIGKILL) }},
		{"agent frozen and resumed", false, func(c *cluster) {
			c.signal(c.firstAgent(deployment.Service), syscall.SIGSTOP)
			c.afterFunc(freezeDuration, func() { c.signal(c.firstAgent(deployment.Service), syscall.SIGCONT) })
		}},
		{"agent ended gracefully", true, func(c *cluster) { c.signal(c.firstAgent(deployment.Service), syscall.SIGTERM) }},
		{"server frozen and resumed", false, func(c *cluster) {
			c.signal("server-"+c.firstAgent(deployment.Service), syscall.SIGSTOP)
			c.afterFunc(freezeDuration, func() { c.signal("server-"+c.firstAgent(deployment.Service), syscall.SIGCONT) })
		}},
		{"server closes connections after the run", false, func(c *cluster) {
			c.injectFault(c.topology.Targets().Services[0], `{"cutAfterRun":20,"delayMilliseconds":5}`)
		}},
		{"platform down for longer than a view stays fresh", true, func(c *cluster) {
			c.injectFault(c.topology.Targets().Platform, `{"outage":true}`)
			time.Sleep(outageLeadTime)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, deployment)
			ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
			defer cancel()
			if err := scenario.NewRunner(deployment, c.topology.Targets(), t.Logf).Prepare(ctx); err != nil {
				t.Fatal(err)
			}
			for _, url := range c.topology.Targets().Services {
				c.injectFault(url, `{"delayMilliseconds":5}`)
			}
			results := c.sendCalls(deployment, c.topology.Targets().Entry, func() { test.injectFault(c) })
			// A resumed process may still run calls; wait so that such runs are counted.
			time.Sleep(freezeDuration + time.Second)
			c.checkVerdicts(results, c.runCounts(), test.mustRun)
		})
	}
}

// checkVerdicts compares each reported verdict with how often the call ran. If mustRun is set, every call must
// have been answered 201.
func (c *cluster) checkVerdicts(results []callResult, runs map[string]int, mustRun bool) {
	c.t.Helper()
	counts := map[verdict.Verdict]int{}
	for _, call := range results {
		counts[call.verdict]++
		ran := runs[call.id]
		switch {
		case ran > 1:
			c.t.Errorf("%s ran %d times", call.id, ran)
		case call.verdict == verdict.Ran && ran != 1:
			c.t.Errorf("%s was answered with status %d but ran %d times", call.id, call.status, ran)
		case call.verdict == verdict.NotRun && ran != 0:
			c.t.Errorf("%s was refused as not run but ran", call.id)
		case mustRun && call.verdict != verdict.Ran:
			c.t.Errorf("%s got status %d, verdict %s: %s", call.id, call.status, call.verdict, call.refusal)
		}
	}
	c.t.Logf("calls by verdict: %v", counts)
}

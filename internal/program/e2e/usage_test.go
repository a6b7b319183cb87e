package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
)

const (
	usageWindow  = time.Second
	usageCallers = 4
	// callInterval yields about 80 calls per second over all callers.
	callInterval = 50 * time.Millisecond
	usageOutage  = 6 * time.Second
	usageFreeze  = 8 * time.Second
	reportsLimit = 60 * time.Second
)

// usageLoad sends calls with unique ids at a steady rate until it is finished.
type usageLoad struct {
	mu      sync.Mutex
	results []callResult
	stop    chan struct{}
	group   sync.WaitGroup
}

func (c *cluster) startUsageLoad(d scenario.Deployment) *usageLoad {
	l := &usageLoad{stop: make(chan struct{})}
	entries := c.topology.Targets().Entries
	for caller := range usageCallers {
		l.group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				case <-time.After(callInterval):
				}
				call := c.book(d, entries[i%len(entries)], fmt.Sprintf("usage-%d-%d", caller, i))
				l.mu.Lock()
				l.results = append(l.results, call)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// finish stops the load and returns the results of all calls.
func (l *usageLoad) finish() []callResult {
	close(l.stop)
	l.group.Wait()
	return l.results
}

// Guards against usage that is billed twice or not at all, and against conflicting reports for one window. Windows last
// one second and the load is steady while an agent and then an entry are frozen and resumed, the platform has an outage,
// and an entry is killed and restarted. Each window of each organisation must be reported with a single content, and the
// total must equal the number of calls that ran: at least the answered calls, at most these plus the calls whose outcome
// is unknown.
func TestUsageIsReportedOnceForEachWindow(t *testing.T) {
	t.Parallel()
	d := scenario.Sahil()
	c := newPreparedCluster(t, d, func(topology *scenario.Topology) {
		for i := range topology.Entries {
			topology.Entries[i].UsageWindow = usageWindow
		}
		for i := range topology.Agents {
			topology.Agents[i].Settings.UsageWindow = usageWindow
		}
	})
	load := c.startUsageLoad(d)
	time.Sleep(2 * time.Second)
	for _, frozen := range []string{c.firstAgent(d.Service), c.topology.Entries[0].HostID} {
		c.signal(frozen, syscall.SIGSTOP)
		time.Sleep(usageFreeze)
		c.signal(frozen, syscall.SIGCONT)
		time.Sleep(time.Second)
	}
	c.injectFault(c.topology.Targets().Platform, `{"outage":true}`)
	time.Sleep(usageOutage)
	c.injectFault(c.topology.Targets().Platform, `{"outage":false}`)
	killed := c.topology.Entries[1]
	c.signal(killed.HostID, syscall.SIGKILL)
	c.waitExit(killed.HostID)
	c.startHost("entry", killed)
	c.waitReady(killed)
	time.Sleep(2 * time.Second)
	c.checkUsage(d, load.finish())
}

// checkUsage waits until all calls that ran are reported, then for five more windows to catch excess reports.
func (c *cluster) checkUsage(d scenario.Deployment, results []callResult) {
	c.t.Helper()
	answered, inDoubt := 0, 0
	for _, call := range results {
		switch call.verdict {
		case verdict.Ran:
			answered++
		case verdict.MayHaveRun:
			inDoubt++
		case verdict.NotRun:
		}
	}
	runs := c.runCounts()
	c.checkVerdicts(results, runs, false)
	ran := 0
	for _, call := range results {
		ran += runs[call.id]
		delete(runs, call.id)
	}
	for id := range runs {
		if strings.HasPrefix(id, "usage-") {
			c.t.Errorf("%s ran but no caller sent it", id)
		}
	}
	if ran < answered || ran > answered+inDoubt {
		c.t.Errorf("%d calls ran; %d were answered and %d had an unknown outcome", ran, answered, inDoubt)
	}
	for end := time.Now().Add(reportsLimit); time.Now().Before(end); time.Sleep(time.Second) {
		if reported, _ := c.reportedUsage(d.Caller); reported >= ran {
			break
		}
	}
	time.Sleep(5 * usageWindow)
	reported, windows := c.reportedUsage(d.Caller)
	if reported != ran {
		c.t.Errorf("%d requests reported, %d ran, %d were answered", reported, ran, answered)
	}
	if violations := c.platformState().Violations; len(violations) > 0 {
		c.t.Errorf("windows reported with different contents: %v", violations)
	}
	c.t.Logf("%d calls, %d answered, %d with unknown outcome, %d ran, %d reported in %d windows",
		len(results), answered, inDoubt, ran, reported, windows)
}

// reportedUsage returns the number of requests in all usage reports of an organisation and the number of reports.
func (c *cluster) reportedUsage(organisation string) (requests, windows int) {
	c.t.Helper()
	for name, raw := range c.platformState().Reports {
		var report platform.UsageReport
		if err := json.Unmarshal(raw, &report); err != nil {
			c.t.Fatalf("%s: %v", name, err)
		}
		if report.Organisation != organisation {
			continue
		}
		requests += int(report.Figures.Requests)
		windows++
	}
	return requests, windows
}

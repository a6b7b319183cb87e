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
	// usagePause makes about 80 calls a second.
	usagePause   = 50 * time.Millisecond
	usageOutage  = 6 * time.Second
	usageFreeze  = 8 * time.Second
	reportsLimit = 60 * time.Second
)

// usageLoad is steady load whose calls all have an id of their own.
type usageLoad struct {
	mu    sync.Mutex
	seen  []callSeen
	stop  chan struct{}
	group sync.WaitGroup
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
				case <-time.After(usagePause):
				}
				call := c.book(d, entries[i%len(entries)], fmt.Sprintf("usage-%d-%d", caller, i))
				l.mu.Lock()
				l.seen = append(l.seen, call)
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *usageLoad) end() []callSeen {
	close(l.stop)
	l.group.Wait()
	return l.seen
}

// An organisation pays for a lookup twice, or not at all, or has two reports for one second. Windows
// last one second and load is steady, while an agent and then an entry are frozen and woken, the
// platform is down, and an entry is killed and started again. Each window of each organisation must
// be reported with one content, and the sum must be what ran, which is at least what callers were
// answered and at most that and the calls in doubt.
func TestUsageIsReportedOnceForEachWindow(t *testing.T) {
	t.Parallel()
	d := scenario.Sahil()
	c := prepared(t, d, func(topology *scenario.Topology) {
		for i := range topology.Entries {
			topology.Entries[i].UsageWindow = usageWindow
		}
		for i := range topology.Places {
			topology.Places[i].Settings.UsageWindow = usageWindow
		}
	})
	load := c.startUsageLoad(d)
	time.Sleep(2 * time.Second)
	for _, frozen := range []string{c.agentOf(d.Service), c.topology.Entries[0].HostID} {
		c.signal(frozen, syscall.SIGSTOP)
		time.Sleep(usageFreeze)
		c.signal(frozen, syscall.SIGCONT)
		time.Sleep(time.Second)
	}
	c.fault(c.topology.Targets().Platform, `{"outage":true}`)
	time.Sleep(usageOutage)
	c.fault(c.topology.Targets().Platform, `{"outage":false}`)
	killed := c.topology.Entries[1]
	c.signal(killed.HostID, syscall.SIGKILL)
	c.ended(killed.HostID)
	c.startProcess("entry", killed)
	c.waitReady(killed)
	time.Sleep(2 * time.Second)
	c.checkUsage(d, load.end())
}

// checkUsage waits until what ran is reported, and some windows more for what must not come after.
func (c *cluster) checkUsage(d scenario.Deployment, seen []callSeen) {
	c.t.Helper()
	answered, doubtful := 0, 0
	for _, call := range seen {
		switch call.verdict {
		case verdict.Ran:
			answered++
		case verdict.MayHaveRun:
			doubtful++
		case verdict.NotRun:
		}
	}
	runs := c.runs()
	c.checkTruth(seen, runs, false)
	ran := 0
	for _, call := range seen {
		ran += runs[call.id]
		delete(runs, call.id)
	}
	for id := range runs {
		if strings.HasPrefix(id, "usage-") {
			c.t.Errorf("%s ran, and no caller sent it", id)
		}
	}
	if ran < answered || ran > answered+doubtful {
		c.t.Errorf("%d calls ran; callers were answered %d and left in doubt %d times", ran, answered, doubtful)
	}
	for end := time.Now().Add(reportsLimit); time.Now().Before(end); time.Sleep(time.Second) {
		if reported, _ := c.reported(d.Caller); reported >= ran {
			break
		}
	}
	time.Sleep(5 * usageWindow)
	reported, windows := c.reported(d.Caller)
	if reported != ran {
		c.t.Errorf("%d requests are reported, %d ran, %d were answered", reported, ran, answered)
	}
	if violations := c.platformState().Violations; len(violations) > 0 {
		c.t.Errorf("reported with different bytes: %v", violations)
	}
	c.t.Logf("%d calls, %d answered, %d in doubt, %d ran, %d reported in %d windows", len(seen), answered, doubtful, ran, reported, windows)
}

// reported sums the reports of an organisation and counts its windows with own use.
func (c *cluster) reported(organisation string) (requests, windows int) {
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

package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
)

// The platform is down, and hosts are replaced meanwhile: the agent at which calls ran and the entry that
// took them both end gracefully. What ran must be in the reports once the platform is back, and the two
// hosts must not wait for the platform until their drain is cut short.
func TestHostsLeaveInAnOutageWithoutLosingUsage(t *testing.T) {
	t.Parallel()
	d := scenario.Sahil()
	c := prepared(t, d)
	c.fault(c.topology.Targets().Platform, `{"outage":true}`)
	const calls = 40
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() {
			if seen := c.book(d, c.topology.Targets().Entry, fmt.Sprintf("left-%d", i)); seen.status != 201 {
				t.Errorf("call %d: %+v", i, seen)
			}
		})
	}
	group.Wait()
	began := time.Now()
	leaving := []string{c.agentOf(d.Service), c.topology.Entries[0].HostID}
	for _, name := range leaving {
		c.signal(name, syscall.SIGTERM)
		if code := c.ended(name); code != 0 {
			t.Errorf("%s ended with %d", name, code)
		}
	}
	t.Logf("both hosts had left after %v", time.Since(began).Round(time.Millisecond))
	c.fault(c.topology.Targets().Platform, `{"outage":false}`)
	reported := uint64(0)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && reported < calls; time.Sleep(500 * time.Millisecond) {
		reported = c.reportedRequests(d.Caller)
	}
	if reported != calls {
		t.Errorf("%d requests of %s reported, want %d", reported, d.Caller, calls)
	}
}

// reportedRequests sums up the reports of one organisation.
func (c *cluster) reportedRequests(organisation string) uint64 {
	c.t.Helper()
	total := uint64(0)
	for name, raw := range c.platformState().Reports {
		var report platform.UsageReport
		if err := json.Unmarshal(raw, &report); err != nil {
			c.t.Fatalf("%s: %v", name, err)
		}
		if report.Organisation == organisation {
			total += report.Figures.Requests
		}
	}
	return total
}

// An agent is frozen while the platform is down, and wakes in the same outage with counts that nobody has stored.
// What ran before and after must be in the reports once the platform is back, each call once.
func TestAgentWokenInAnOutageKeepsItsCounts(t *testing.T) {
	t.Parallel()
	d := scenario.Sahil()
	c := prepared(t, d)
	c.fault(c.topology.Targets().Platform, `{"outage":true}`)
	const calls = 20
	answered := c.bookMany(d, "before", calls)
	agent := c.agentOf(d.Service)
	c.signal(agent, syscall.SIGSTOP)
	time.Sleep(frozenFor)
	c.signal(agent, syscall.SIGCONT)
	time.Sleep(time.Second)
	answered += c.bookMany(d, "after", calls)
	if answered != 2*calls {
		t.Errorf("%d of %d calls were answered", answered, 2*calls)
	}
	c.fault(c.topology.Targets().Platform, `{"outage":false}`)
	want := uint64(0)
	for id, runs := range c.runs() {
		if strings.HasPrefix(id, "before") || strings.HasPrefix(id, "after") {
			want += uint64(runs)
		}
	}
	reported := uint64(0)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && reported < want; time.Sleep(500 * time.Millisecond) {
		reported = c.reportedRequests(d.Caller)
	}
	if reported != want {
		t.Errorf("%d requests reported, %d ran", reported, want)
	}
}

// bookMany sends calls at once and returns how many were answered.
func (c *cluster) bookMany(d scenario.Deployment, prefix string, calls int) int {
	var answered atomic.Int64
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() {
			if c.book(d, c.topology.Targets().Entry, fmt.Sprintf("%s-%d", prefix, i)).status == http.StatusCreated {
				answered.Add(1)
			}
		})
	}
	group.Wait()
	return int(answered.Load())
}

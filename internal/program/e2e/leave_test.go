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

// The agent at which calls ran and the entry that accepted them both shut down gracefully during an outage of the
// platform. The calls must appear in the usage reports once the platform is back, and neither host may wait for the
// platform until its drain time runs out.
func TestHostsLeaveInAnOutageWithoutLosingUsage(t *testing.T) {
	t.Parallel()
	d := scenario.Sahil()
	c := newPreparedCluster(t, d)
	c.injectFault(c.topology.Targets().Platform, `{"outage":true}`)
	const calls = 40
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() {
			if result := c.book(d, c.topology.Targets().Entry, fmt.Sprintf("left-%d", i)); result.status != 201 {
				t.Errorf("call %d: %+v", i, result)
			}
		})
	}
	group.Wait()
	started := time.Now()
	leaving := []string{c.firstAgent(d.Service), c.topology.Entries[0].HostID}
	for _, name := range leaving {
		c.signal(name, syscall.SIGTERM)
		if code := c.waitExit(name); code != 0 {
			t.Errorf("%s exited with code %d", name, code)
		}
	}
	t.Logf("both hosts exited within %v", time.Since(started).Round(time.Millisecond))
	c.injectFault(c.topology.Targets().Platform, `{"outage":false}`)
	reported := uint64(0)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && reported < calls; time.Sleep(500 * time.Millisecond) {
		reported = c.reportedRequests(d.Caller)
	}
	if reported != calls {
		t.Errorf("%d requests of %s reported, want %d", reported, d.Caller, calls)
	}
}

// reportedRequests returns the number of requests in all usage reports of one organisation.
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

// An agent is frozen during an outage of the platform and resumes in the same outage with usage counts that were never
// stored. Calls that ran before and after the freeze must be reported exactly once after the platform is back.
func TestAgentResumedInAnOutageKeepsItsCounts(t *testing.T) {
	t.Parallel()
	d := scenario.Sahil()
	c := newPreparedCluster(t, d)
	c.injectFault(c.topology.Targets().Platform, `{"outage":true}`)
	const calls = 20
	answered := c.bookConcurrently(d, "before", calls)
	agent := c.firstAgent(d.Service)
	c.signal(agent, syscall.SIGSTOP)
	time.Sleep(freezeDuration)
	c.signal(agent, syscall.SIGCONT)
	time.Sleep(time.Second)
	answered += c.bookConcurrently(d, "after", calls)
	if answered != 2*calls {
		t.Errorf("%d of %d calls were answered", answered, 2*calls)
	}
	c.injectFault(c.topology.Targets().Platform, `{"outage":false}`)
	want := uint64(0)
	for id, runs := range c.runCounts() {
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

// bookConcurrently sends calls concurrently and returns how many were answered 201.
func (c *cluster) bookConcurrently(d scenario.Deployment, prefix string, calls int) int {
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

package process

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	stopLeaveDelay, stopDrainTime = 3 * time.Second, 8 * time.Second
	stopInterval                  = 50 * time.Millisecond
	// stopConnectionAge is how long a connection is open before its first request.
	stopConnectionAge = 4 * time.Second
	// stopAnswerSlack is how soon a request must be refused that can't be answered, or its connection be closed if it wasn't read.
	stopAnswerSlack = 200 * time.Millisecond
)

// stopCall is a call on a connection of its own, and how it ended.
type stopCall struct {
	id, path, body string
	// timeout is how long the caller waits for the answer.
	timeout time.Duration
	// sent is when the last byte of the call was sent, from the beginning of the stop on, and headStart how long before that the first half was.
	sent, headStart time.Duration
	// took is the time from the last byte to the end of the connection.
	took time.Duration
	// answer is the whole answer; nil if there is none.
	answer *callResult
	err    error
}

// run opens a connection, sends the call on it later, and reads the answer.
func (c *stopCall) run(began time.Time, address string) {
	sleepUntil(began.Add(c.sent - stopConnectionAge))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+c.path, strings.NewReader(c.body))
	if err != nil {
		c.err = err
		return
	}
	request.Host = hostName
	platformtest.SetCallerHeaders(request, c.id, keyNorth, c.timeout)
	var whole bytes.Buffer
	if c.err = request.Write(&whole); c.err != nil {
		return
	}
	sleepUntil(began.Add(c.sent - c.headStart))
	if c.headStart > 0 {
		if _, c.err = conn.Write(whole.Next(whole.Len() - 4)); c.err != nil {
			return
		}
		sleepUntil(began.Add(c.sent))
	}
	sent := time.Now()
	defer func() { c.took = time.Since(sent) }()
	if _, c.err = conn.Write(whole.Bytes()); c.err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.err = err
		return
	}
	c.answer = &callResult{status: response.StatusCode, header: response.Header, body: string(body)}
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// checkSubmission checks how the repeated submission of a job that was accepted ended.
func (c *stopCall) checkSubmission(t *testing.T) {
	t.Helper()
	switch {
	case c.answer == nil && c.sent >= stopDrainTime-2*time.Second && c.took <= stopAnswerSlack:
	case c.answer == nil || c.answer.status != http.StatusAccepted && c.answer.status != http.StatusBadGateway:
		t.Errorf("submission sent %v after SIGTERM, ended after %v: %+v, error %v", c.sent, c.took, c.answer, c.err)
	}
}

// check checks how the call ended, which reached a server if ran is set.
func (c *stopCall) check(t *testing.T, ran bool) {
	t.Helper()
	at := fmt.Sprintf("%s sent %v after SIGTERM, ended after %v: ", c.path, c.sent, c.took)
	switch {
	case c.answer == nil && ran:
		t.Errorf("%sreached a server and has no answer: %v", at, c.err)
	case c.answer == nil && c.took > stopAnswerSlack:
		t.Errorf("%sno answer: %v", at, c.err)
	case c.answer == nil && c.sent < stopDrainTime-2*time.Second:
		t.Errorf("%sno answer while the process runs: %v", at, c.err)
	case c.answer == nil:
	case c.answer.status == http.StatusServiceUnavailable && ran:
		t.Errorf("%srefused, and reached a server", at)
	case c.answer.status == http.StatusServiceUnavailable && c.took > stopAnswerSlack:
		t.Errorf("%srefused late", at)
	case c.answer.status == http.StatusServiceUnavailable && c.sent+c.took < stopLeaveDelay:
		t.Errorf("%srefused while the load balancer may not know of the stop", at)
	case c.answer.status == http.StatusServiceUnavailable, c.answer.status == http.StatusGatewayTimeout && c.took >= c.timeout:
	case c.answer.status != http.StatusOK || !strings.HasSuffix(c.answer.body, " answers question"):
		t.Errorf("%s%+v", at, *c.answer)
	}
}

// Guards against requests that are read in the last seconds of a planned stop, passed on, and cut without an answer.
func TestPlannedStopAnswersWhatItPassesOn(t *testing.T) {
	t.Parallel()
	t.Run("calm", func(t *testing.T) {
		t.Parallel()
		checkPlannedStop(t, func(*platformtest.Endpoint) {})
	})
	t.Run("the store hangs", func(t *testing.T) {
		t.Parallel()
		checkPlannedStop(t, (*platformtest.Endpoint).HangCalls)
	})
}

// checkPlannedStop stops a gateway process, disturbs the store in the same moment, and checks how the calls before and during the stop end.
func checkPlannedStop(t *testing.T, disturb func(*platformtest.Endpoint)) {
	d := newDeployment(t, 0)
	d.version++
	d.store.Configure(d.version, hostName, "m", []platformtest.Route{
		{Name: "quick", Kind: platformtest.Once, Pool: "desk", Timeout: time.Second},
		{Name: "long", Kind: platformtest.Once, Pool: "desk", Timeout: 10 * time.Second},
		{Name: "longer", Kind: platformtest.Once, Pool: "desk", Timeout: time.Minute},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 10 * time.Second},
	}, map[string][]string{"north": {keyNorth}})
	work := map[string]time.Duration{"/quick/x": 300 * time.Millisecond, "/long/x": 2500 * time.Millisecond, "/longer/x": 20 * time.Second}
	for i := range 30 {
		d.services = append(d.services, platformtest.NewServer(t, fmt.Sprintf("more-desk-%d", i), "desk", nil))
	}
	var mu sync.Mutex
	arrived := map[string]bool{}
	for _, engine := range d.engines {
		d.store.Register(engine, false)
	}
	for _, server := range d.services {
		d.store.Register(server, false)
		server.SetRawAnswer(func(r *http.Request) *platformtest.RawAnswer {
			mu.Lock()
			arrived[r.Header.Get("X-Request-Id")] = true
			mu.Unlock()
			select {
			case <-time.After(work[r.URL.Path]):
			case <-r.Context().Done():
			}
			return nil
		})
	}
	endpoint := d.store.NewEndpoint(t)
	set := d.settings("entry-0", endpoint)
	set.LeaveDelay, set.DrainTime = stopLeaveDelay, stopDrainTime
	process, entry := d.runProcess(set, "/quick/x")
	began := time.Now().Add(stopConnectionAge)
	d.submit(entry, "j1", submission(1, 1, 1))
	var calls, submissions []*stopCall
	for sent := -stopInterval; sent < stopDrainTime; sent += stopInterval {
		for path, timeout := range map[string]time.Duration{"/quick/x": time.Second, "/long/x": 10 * time.Second} {
			id := fmt.Sprintf("%s-%v", path[1:5], sent)
			calls = append(calls, &stopCall{id: id, path: path, body: "question", timeout: timeout, sent: sent})
			if sent > 0 && sent%(4*stopInterval) == 0 {
				half := &stopCall{id: id + "-half", path: path, body: "question", timeout: timeout, sent: sent, headStart: 600 * time.Millisecond}
				calls = append(calls, half)
			}
		}
		if sent%(4*stopInterval) == 0 {
			submissions = append(submissions, &stopCall{id: "j1", path: "/job/j1", body: submission(1, 1, 1), timeout: 10 * time.Second, sent: sent})
		}
	}
	longer := &stopCall{id: "longer", path: "/longer/x", body: "question", timeout: time.Minute, sent: time.Second}
	var running conc.WaitGroup
	for _, call := range slices.Concat(calls, submissions, []*stopCall{longer}) {
		running.Go(func() { call.run(began, set.Listen.String()) })
	}
	sleepUntil(began)
	disturb(endpoint)
	process.Signal(syscall.SIGTERM)
	process.WaitForExit()
	if took := time.Since(began); took > stopDrainTime {
		t.Errorf("%s ended after %v", entry.set.HostID, took)
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	outcomes := map[string]int{}
	for _, call := range calls {
		call.check(t, arrived[call.id])
		outcome := call.path + " none"
		if call.answer != nil {
			outcome = fmt.Sprintf("%s %d", call.path, call.answer.status)
		}
		outcomes[outcome]++
	}
	for _, submission := range submissions {
		submission.checkSubmission(t)
		outcome := "submission none"
		if submission.answer != nil {
			outcome = fmt.Sprintf("submission %d", submission.answer.status)
		}
		outcomes[outcome]++
	}
	t.Logf("outcomes: %v", outcomes)
	// A caller that waits for longer than the process may last learns at its end that the request may have run.
	if longer.answer == nil || longer.answer.status != http.StatusBadGateway || longer.took > stopDrainTime-longer.sent {
		t.Errorf("a request beyond the end of the process: %+v after %v, error %v", longer.answer, longer.took, longer.err)
	}
}

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// requestTimeout is the time limit that callers and trainers send with each request.
	requestTimeout = 3 * time.Second
	// callInterval is the pause between two calls of one caller.
	callInterval = 10 * time.Millisecond
)

// loadGenerator sends the requests of callers, trainers and readers, and records the responses.
type loadGenerator struct {
	ctx context.Context
	env *environment
	// phase is the current phase of the run.
	phase     atomic.Pointer[phase]
	latencies *latencies
	// persistent reuses its connections, oneShot opens a new one for each request.
	persistent, oneShot *http.Client
	checker             *checker
	readers             conc.WaitGroup

	mu    sync.Mutex
	calls []call
	jobs  []*job
}

func newLoadGenerator(ctx context.Context, env *environment) *loadGenerator {
	l := &loadGenerator{
		ctx:        ctx,
		env:        env,
		persistent: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		oneShot:    &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		checker:    env.checker,
		latencies:  newLatencies(),
	}
	l.setPhase(phaseBefore)
	return l
}

// setPhase sets the phase under which latencies are recorded from now on.
func (l *loadGenerator) setPhase(p phase) { l.phase.Store(&p) }

const (
	// clientTimeout is when the client itself gives up, if the gateway has not answered in time.
	clientTimeout = requestTimeout + time.Second
	// maxIdleConnections is the number of idle connections that are kept open to each gateway.
	maxIdleConnections = 32
)

// clientRequest is a request to a gateway.
type clientRequest struct {
	kind                        requestKind
	method, path, key, id, body string
	// wait is how long the gateway may delay the response to a read until there are results; 0 is no wait.
	wait time.Duration
	// newConnection sends the request on a new connection.
	newConnection bool
}

// reply is the outcome of a request.
type reply struct {
	// status is the HTTP status, or 0 if no complete response arrived.
	status         int
	body           string
	gateway        string
	sent, received time.Time
}

// String describes the response without its body.
func (r reply) String() string {
	return fmt.Sprintf("sent to %s at %s returned status %d at %s", r.gateway, formatTime(r.sent), r.status, formatTime(r.received))
}

// formatTime formats a time in the format of the process logs.
func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// do sends a request to a process. It records the latency of a successful response to a request that did not ask to wait.
func (l *loadGenerator) do(p *process, req clientRequest) reply {
	r := reply{gateway: p.name, sent: time.Now()}
	r.status, r.body = l.send(p, req)
	r.received = time.Now()
	if req.wait == 0 && r.status >= http.StatusOK && r.status < http.StatusMultipleChoices {
		l.latencies.record(*l.phase.Load(), req.kind, r.received.Sub(r.sent))
	}
	return r
}

func (l *loadGenerator) send(p *process, req clientRequest) (int, string) {
	request, err := http.NewRequestWithContext(l.ctx, req.method, p.callerURL+req.path, strings.NewReader(req.body))
	if err != nil {
		return 0, ""
	}
	request.Host = hostName
	platformtest.SetCallerHeaders(request, req.id, req.key, requestTimeout)
	platformtest.SetMaxWait(request, req.wait)
	client := l.persistent
	if req.newConnection {
		client = l.oneShot
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// call is a request of a caller and its outcome.
type call struct {
	id, path, key string
	reply         reply
}

// The paths of non-idempotent calls, of idempotent calls, and of jobs with their items.
const (
	pathOnce = "/once/x"
	pathSafe = "/safe/x"
	pathJobs = "/job/"
)

// otherKeyInterval: every n-th call uses one of the first n keys, which may be withdrawn or not issued yet.
const otherKeyInterval = 10

// runCaller sends calls until ctx ends.
func (l *loadGenerator) runCaller(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		c := call{id: fmt.Sprintf("c%d-%d", number, n), path: []string{pathOnce, pathSafe}[n%2], key: l.env.currentKey()}
		if n%otherKeyInterval == 0 {
			c.key = fmt.Sprintf("key-%d", 1+rand.IntN(otherKeyInterval))
		}
		c.reply = l.do(l.env.randomProcess(), clientRequest{
			kind: requestCall, method: http.MethodPost, path: c.path, key: c.key, id: c.id, body: "body of " + c.id,
		})
		l.mu.Lock()
		l.calls = append(l.calls, c)
		l.mu.Unlock()
		ticker.Sleep(ctx, callInterval)
	}
}

// randomProcess returns one of the processes.
func (env *environment) randomProcess() *process { return env.processes[rand.IntN(len(env.processes))] }

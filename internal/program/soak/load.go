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
	// patience is how long callers and trainers wait for an answer, as they tell the entry.
	patience = 3 * time.Second
	// callPause is the pause between two calls of one caller.
	callPause = 10 * time.Millisecond
)

// load is what callers and trainers do.
type load struct {
	ctx context.Context
	w   *world
	// phase is what goes on around the load.
	phase     atomic.Pointer[phase]
	latencies *latencies
	// kept uses its connections until the process is gone, fresh opens one for each request.
	kept, fresh *http.Client
	ledger      *ledger
	readers     conc.WaitGroup

	mu    sync.Mutex
	calls []call
	jobs  []*job
}

func newLoad(ctx context.Context, w *world) *load {
	l := &load{
		ctx:       ctx,
		w:         w,
		kept:      &http.Client{Timeout: givenUp, Transport: &http.Transport{MaxIdleConnsPerHost: keptConnections}},
		fresh:     &http.Client{Timeout: givenUp, Transport: &http.Transport{DisableKeepAlives: true}},
		ledger:    w.ledger,
		latencies: newLatencies(),
	}
	l.enter(phaseBefore)
	return l
}

// enter says that another phase of the run begins.
func (l *load) enter(p phase) { l.phase.Store(&p) }

const (
	// givenUp is when a client gives up by itself.
	givenUp = patience + time.Second
	// keptConnections is how many idle connections to an entry are kept.
	keptConnections = 32
)

// question is a request to an entry.
type question struct {
	kind                        kind
	method, path, key, id, body string
	// wait is how long the entry may hold a read back.
	wait time.Duration
	// fresh wants a new connection.
	fresh bool
}

// reply is what came of a question.
type reply struct {
	// status is 0 if no answer came.
	status     int
	body       string
	entry      string
	sent, came time.Time
}

// String describes the answer but for its body.
func (r reply) String() string {
	return fmt.Sprintf("sent to %s at %s was answered %d at %s", r.entry, clock(r.sent), r.status, clock(r.came))
}

// clock writes a time as the logs of the processes do.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// ask sends one request to a process.
func (l *load) ask(p *process, q question) reply {
	r := reply{entry: p.name, sent: time.Now()}
	r.status, r.body = l.send(p, q)
	r.came = time.Now()
	if q.wait == 0 && r.status >= http.StatusOK && r.status < http.StatusMultipleChoices {
		l.latencies.record(*l.phase.Load(), q.kind, r.came.Sub(r.sent))
	}
	return r
}

func (l *load) send(p *process, q question) (int, string) {
	request, err := http.NewRequestWithContext(l.ctx, q.method, p.callers+q.path, strings.NewReader(q.body))
	if err != nil {
		return 0, ""
	}
	request.Host = hostName
	platformtest.SetCallerHeaders(request, q.id, q.key, patience)
	platformtest.SetMaxWait(request, q.wait)
	client := l.kept
	if q.fresh {
		client = l.fresh
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(read)
}

// call is a caller's request with what became of it.
type call struct {
	id, path, key string
	reply         reply
}

// The paths of calls that may not be repeated, of those that may, and of jobs with their items.
const (
	pathOnce = "/once/x"
	pathSafe = "/safe/x"
	pathJobs = "/job/"
)

// otherKeys: one of so many calls brings a key that may be withdrawn, or not be there yet.
const otherKeys = 10

// keepCalling sends calls until ctx ends.
func (l *load) keepCalling(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		c := call{id: fmt.Sprintf("c%d-%d", number, n), path: []string{pathOnce, pathSafe}[n%2], key: l.w.currentKey()}
		if n%otherKeys == 0 {
			c.key = fmt.Sprintf("key-%d", 1+rand.IntN(otherKeys))
		}
		c.reply = l.ask(l.w.any(), question{kind: kindCall, method: http.MethodPost, path: c.path, key: c.key, id: c.id, body: "body of " + c.id})
		l.mu.Lock()
		l.calls = append(l.calls, c)
		l.mu.Unlock()
		ticker.Sleep(ctx, callPause)
	}
}

// any returns one of the processes.
func (w *world) any() *process { return w.processes[rand.IntN(len(w.processes))] }

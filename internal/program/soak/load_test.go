package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
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
	w *world
	// kept uses its connections until the process is gone, fresh opens one for each request.
	kept, fresh *http.Client
	ledger      *ledger
	readers     conc.WaitGroup

	mu    sync.Mutex
	calls []call
	jobs  []*job
}

func newLoad(w *world) *load {
	const givenUp = patience + time.Second
	return &load{
		w:      w,
		kept:   &http.Client{Timeout: givenUp, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		fresh:  &http.Client{Timeout: givenUp, Transport: &http.Transport{DisableKeepAlives: true}},
		ledger: newLedger(),
	}
}

// question is a request to an entry.
type question struct {
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
	return r
}

func (l *load) send(p *process, q question) (int, string) {
	request, err := http.NewRequest(q.method, p.callers+q.path, strings.NewReader(q.body))
	if err != nil {
		return 0, ""
	}
	request.Host = hostName
	platformtest.Ask(request, q.id, q.key, patience)
	platformtest.Wait(request, q.wait)
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

// keepCalling sends calls until ctx ends.
func (l *load) keepCalling(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		c := call{id: fmt.Sprintf("c%d-%d", number, n), path: []string{"/once/x", "/safe/x"}[n%2], key: l.w.currentKey()}
		if n%10 == 9 {
			c.key = fmt.Sprintf("key-%d", 1+rand.IntN(9))
		}
		c.reply = l.ask(l.w.any(), question{method: http.MethodPost, path: c.path, key: c.key, id: c.id, body: "body of " + c.id})
		l.mu.Lock()
		l.calls = append(l.calls, c)
		l.mu.Unlock()
		ticker.Sleep(ctx, callPause)
	}
}

// any returns one of the processes.
func (w *world) any() *process { return w.processes[rand.IntN(len(w.processes))] }

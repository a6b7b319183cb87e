package harness

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Action is what an engine does with a run of an item.
type Action uint8

// The actions of engines.
const (
	// Serve sends all events.
	Serve Action = iota
	// BreakOff closes the connection after BreakOffEvents events.
	BreakOff
	// Encode sends a complete answer whose body has a content encoding.
	Encode
)

// BreakOffEvents is the number of events that BreakOff sends.
const BreakOffEvents = 5

// slots is the number of requests that an engine runs at once.
const slots = 12

// loadTime is how long a change of version takes.
const loadTime = 900 * time.Millisecond

// Run is a run of an item at an engine.
type Run struct {
	Engine *Engine
	Item   string
	// From is the last event that the gateway has; 0 if it asks for the whole output.
	From int
	// Number counts the runs at this engine, from 1.
	Number int
}

// Engine is a stand-in for a model server.
type Engine struct {
	ID       string
	Events   int
	Interval time.Duration
	// Decide chooses what happens to a run; nil serves all.
	Decide func(Run) Action

	env    *Env
	zone   string
	server *http.Server
	// link is the proxy before the engine; nil if there is none.
	link *Link
	born int64

	mu sync.Mutex
	// running are the items that run.
	running map[string]bool
	runs    int
	// version is the weight version that is loaded, orders are the orders that arrived, accepted counts those that were accepted, and busy
	// is set while one is carried out.
	version, accepted int
	busy              bool
	orders            []Order
}

// Order is an order that arrived at an engine.
type Order struct {
	At      time.Time
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence_token"`
	Version int    `json:"version"`
	Expect  *int   `json:"expect"`
	Status  int
}

// StartEngine starts an engine and registers it.
func (env *Env) StartEngine(id, zone string, events int, interval time.Duration, decide func(Run) Action) (*Engine, error) {
	e, address, err := env.newEngine(id, zone, events, interval, decide)
	if err != nil {
		return nil, err
	}
	e.register(address)
	return e, nil
}

// StartEngineBehindLink starts an engine that is reached through a link.
func (env *Env) StartEngineBehindLink(id, zone string) (*Engine, *Link, error) {
	e, address, err := env.newEngine(id, zone, 1, 0, nil)
	if err != nil {
		return nil, nil, err
	}
	if e.link, err = env.NewLink(address); err != nil {
		return nil, nil, err
	}
	e.register(address)
	return e, e.link, nil
}

func (env *Env) newEngine(id, zone string, events int, interval time.Duration, decide func(Run) Action) (*Engine, string, error) {
	e := &Engine{
		ID: id, Events: events, Interval: interval, Decide: decide, env: env, zone: zone, running: map[string]bool{}, version: 1,
		born: time.Now().UnixMilli(),
	}
	listener, err := (&net.ListenConfig{}).Listen(env.ctx, "tcp", platformtest.UnusedAddress().String())
	if err != nil {
		return nil, "", errors.Wrap(err, id)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	env.Cleanups.Cleanup(func() { _ = e.server.Close() })
	return e, listener.Addr().String(), nil
}

// register writes the engine's entry, as at its start and whenever its version changes.
func (e *Engine) register(address string) {
	if e.link != nil {
		address = e.link.Address.String()
	}
	e.mu.Lock()
	version, seq := e.version, e.accepted
	e.mu.Unlock()
	e.env.Store.Put("servers", e.ID, map[string]any{
		"service": EnginePool, "address": address, "zone": e.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_left_ms": 0, "stage": "prefill_decode", "models": []any{named(Model, map[string]any{"version": version, "adapters": []string{}})},
		"seq": seq, "born": e.born,
	})
}

// Orders returns the orders that arrived.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Crash ends the engine: its address refuses connections, and those that are open are closed. Its registration expires later.
func (e *Engine) Crash() { _ = e.server.Close() }

// Expire removes the registration.
func (e *Engine) Expire() { e.env.Store.Remove("servers", e.ID) }

// Running returns the number of items that run, and whether the given one is among them.
func (e *Engine) Running(item string) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), e.running[item]
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("X-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
		return
	case "/order":
		e.order(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	item := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", item)
	run, ok := e.begin(r, item)
	if !ok {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end(item)
	action := Serve
	if e.Decide != nil {
		action = e.Decide(run)
	}
	e.answer(w, r, run, action)
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"stage":"prefill_decode","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":%v,"seq":%d}`,
		Model, e.version, e.busy, e.accepted)
}

// order takes an order to load a version.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	order := Order{At: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	switch {
	case order.Version <= e.version:
		order.Status = http.StatusOK
	case e.busy || order.Expect != nil && *order.Expect != e.accepted:
		order.Status = http.StatusConflict
	default:
		order.Status = http.StatusAccepted
		e.accepted++
		e.busy = true
		go e.load(order.Version)
	}
	e.orders = append(e.orders, order)
	e.mu.Unlock()
	e.env.Record("engine %s gets the order for version %d from %s with fencing token %d: status %d", e.ID, order.Version, order.Holder, order.Fence, order.Status)
	w.WriteHeader(order.Status)
}

// load carries out an order.
func (e *Engine) load(version int) {
	if !e.env.Pause(loadTime) {
		return
	}
	e.mu.Lock()
	e.version, e.busy = version, false
	e.mu.Unlock()
	e.register("")
}

// begin takes a slot for a run; false if there is none.
func (e *Engine) begin(r *http.Request, item string) (Run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= slots || e.running[item] {
		return Run{}, false
	}
	e.running[item] = true
	e.runs++
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	return Run{Engine: e, Item: item, From: from, Number: e.runs}, true
}

func (e *Engine) end(item string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, item)
}

// answer sends the events after the last one that the gateway has.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, run Run, action Action) {
	header := w.Header()
	header.Set("X-Server-Stamp", platformtest.Signature(e.ID, run.Item))
	header.Set("Content-Type", "text/event-stream")
	if run.From < e.Events {
		header.Set("X-Weight-Versions", "1")
	}
	e.env.Record("engine %s runs item %s after event %d", e.ID, run.Item, run.From)
	if action == Encode {
		e.env.Record("engine %s answers item %s with a content encoding", e.ID, run.Item)
		body := encode(e.rest(run))
		header.Set("Content-Encoding", "gzip")
		header.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
		return
	}
	controller := http.NewResponseController(w)
	for n := run.From + 1; n <= e.Events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.Interval):
		}
		if action == BreakOff && n > run.From+BreakOffEvents {
			e.env.Record("engine %s breaks off the answer of item %s after event %d", e.ID, run.Item, n-1)
			closeConnection(controller)
			return
		}
		_, _ = io.WriteString(w, event(run.Item, n))
		_ = controller.Flush()
	}
}

// rest returns the events that a run still has to send.
func (e *Engine) rest(run Run) []byte {
	var rest bytes.Buffer
	for n := run.From + 1; n <= e.Events; n++ {
		rest.WriteString(event(run.Item, n))
	}
	return rest.Bytes()
}

func event(item string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, platformtest.EventData(item, n))
}

func encode(body []byte) []byte {
	var encoded bytes.Buffer
	writer := gzip.NewWriter(&encoded)
	_, _ = writer.Write(body)
	_ = writer.Close()
	return encoded.Bytes()
}

func closeConnection(controller *http.ResponseController) {
	if conn, _, err := controller.Hijack(); err == nil {
		_ = conn.Close()
	}
}

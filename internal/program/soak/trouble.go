package soak

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// serverBehaviours are what disturbed servers do with part of their requests.
var serverBehaviours = []platformtest.Behaviour{
	platformtest.Shed, platformtest.CutConnection, platformtest.CutMidEvent, platformtest.CutAtEnd, platformtest.WrongRequest, platformtest.Unsigned, platformtest.Hang,
	platformtest.RepeatLastEvent,
}

// isolating are the disturbances during which a process can't hear what the others or the store say.
var isolating = []trouble{troublePause, troubleTurnAway, troubleSilence, troubleLinkDelay, troubleLinkOneWay, troubleLinkSilence}

// span is the time of a disturbance.
type span struct{ from, to time.Time }

// isolate notes that a process is isolated from now on, until the function that it returns is called.
func (w *world) isolate() (end func()) {
	from := time.Now()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.isolated = append(w.isolated, span{from: from, to: time.Now()})
	}
}

// wasIsolated says whether a process was isolated at the time, or a short time before.
func (w *world) wasIsolated(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.isolated, func(s span) bool { return !at.Before(s.from) && at.Before(s.to.Add(startsTime)) })
}

// disturb carries out one disturbance and mends it.
func (w *world) disturb(e entry) {
	if slices.Contains(isolating, e.what) {
		defer w.isolate()()
	}
	p := w.processes[e.target%len(w.processes)]
	switch e.what {
	case troubleKill:
		p.signal(syscall.SIGKILL)
		p.wait()
		ticker.Sleep(w.ctx, e.lasts/4)
		w.start(p)
	case troublePause:
		p.signal(syscall.SIGSTOP)
		ticker.Sleep(w.ctx, e.lasts+time.Second)
		p.signal(syscall.SIGCONT)
	case troubleTerminate:
		p.signal(syscall.SIGTERM)
		p.wait()
		w.start(p)
	case troubleHangUp:
		p.signal(syscall.SIGHUP)
	case troubleTurnAway:
		p.door.RefuseCalls()
		ticker.Sleep(w.ctx, e.lasts)
		p.door.ServeCalls()
	case troubleSilence:
		p.door.HangCalls()
		ticker.Sleep(w.ctx, e.lasts)
		p.door.ServeCalls()
	case troubleLinkDelay, troubleLinkReset, troubleLinkOneWay, troubleLinkSilence:
		w.disturbLink(e)
	default:
		w.disturbOutside(e)
	}
}

// disturbOutside carries out the disturbances of the store, the servers and the operator.
func (w *world) disturbOutside(e entry) {
	switch e.what {
	case troubleOutage:
		w.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Refuse })
		ticker.Sleep(w.ctx, e.lasts)
		w.store.SetFault(nil)
	case troubleLose:
		calls := 0
		w.store.SetFault(func(method, _ string) platformtest.Fault {
			calls++
			if method != http.MethodGet && calls%3 == 0 {
				return platformtest.LoseAnswer
			}
			return platformtest.Serve
		})
		ticker.Sleep(w.ctx, e.lasts)
		w.store.SetFault(nil)
	case troubleCompact:
		w.store.Compact()
	case troubleServer:
		w.disturbServer(e)
	case troubleDrain:
		server := w.all()[e.target%len(w.all())]
		w.store.Register(server, true)
		ticker.Sleep(w.ctx, e.lasts)
		w.store.Register(server, false)
	case troubleKey:
		w.newKey()
	case troubleVersion:
		w.nameVersion()
	default:
		w.ledger.check(promiseComesRight, false, "unknown disturbance %q", e.what)
	}
}

func (w *world) disturbServer(e entry) {
	server := w.all()[e.target%len(w.all())]
	behaviour := serverBehaviours[int(e.draw*float64(len(serverBehaviours)))]
	server.SetBehaviour(func(n int, _ platformtest.Request) platformtest.Behaviour {
		if n%disturbedPart == 0 {
			return behaviour
		}
		return platformtest.Answer
	})
	ticker.Sleep(w.ctx, e.lasts)
	w.calm(server)
}

// What servers do wrong though nobody disturbs them: an engine breaks off one of so many streams, and repeats an event in one of so many
// that go on there; a service answers for another request in one of so many, and carries out another one and breaks off. An entry leaves a
// stream with a repeated event, so that no item would ever end where every stream has one.
const (
	cutPart    = 15
	repeatPart = 2
	faultPart  = 40
)

// calm has a server behave as it does when nobody disturbs it.
//
// Few streams go on, and few answers come from a disturbed server, so the disturbances alone would seldom find an entry that takes in an
// event twice, passes on the answer to another request, or sends a call again that may have run.
func (w *world) calm(server *platformtest.Server) {
	engine := slices.Contains(w.engines, server)
	server.SetBehaviour(func(n int, r platformtest.Request) platformtest.Behaviour {
		switch {
		case engine && r.Resumed() && n%repeatPart == 0:
			return platformtest.RepeatLastEvent
		case engine && n%cutPart == 0:
			return platformtest.CutConnection
		case !engine && n%faultPart == 0:
			return platformtest.WrongRequest
		case !engine && n%faultPart == 1:
			return platformtest.CutConnection
		default:
			return platformtest.Answer
		}
	})
}

// disturbedPart: a disturbed server does what it does wrong to one of so many requests.
const disturbedPart = 3

func (w *world) nameVersion() {
	w.mu.Lock()
	w.weights++
	version := w.weights
	w.mu.Unlock()
	w.store.PutModelVersion(model, version)
	// The list says of one engine that it has the weights, and the engine has not: it was started again with those from before.
	w.store.RegisterWithVersion(w.engines[version%len(w.engines)], model, version)
}

// followEngines registers the weights that engines have loaded, as they do themselves.
func (w *world) followEngines(ctx context.Context) {
	known := map[string]int{}
	for ticker.Sleep(ctx, poll) {
		for _, engine := range w.engines {
			if orders := len(engine.Orders()); orders != known[engine.ID] {
				known[engine.ID] = orders
				w.store.Register(engine, false)
			}
		}
	}
}

// mend ends every disturbance and waits until all processes serve.
func (w *world) mend() {
	w.store.SetFault(nil)
	for _, server := range w.all() {
		w.calm(server)
		w.store.Register(server, false)
	}
	for _, p := range w.processes {
		p.door.ServeCalls()
		p.link.heal()
		p.signal(syscall.SIGCONT)
		w.start(p)
	}
	for _, p := range w.processes {
		w.until(p.name+" is ready after the last disturbance", func() bool { return w.isReady(p) })
	}
}

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

// faultyBehaviours are the faults that a disturbed server may show in part of its requests.
var faultyBehaviours = []platformtest.Behaviour{
	platformtest.Shed, platformtest.CutConnection, platformtest.CutMidEvent, platformtest.CutAtEnd, platformtest.WrongRequest, platformtest.Unsigned,
	platformtest.Hang, platformtest.RepeatLastEvent,
}

// isolatingKinds are the disturbances during which a process may miss messages from the other processes or the store.
var isolatingKinds = []disturbanceKind{
	disturbancePause, disturbanceStoreReject, disturbanceStoreHang, disturbanceLinkDelay, disturbanceLinkOneWay, disturbanceLinkBlocked,
}

// interval is the time during which a disturbance lasted.
type interval struct{ from, to time.Time }

// beginIsolation starts an isolation of a process. The returned function ends and records it.
func (env *environment) beginIsolation() (end func()) {
	from := time.Now()
	return func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.isolations = append(env.isolations, interval{from: from, to: time.Now()})
	}
}

// wasIsolated reports whether a process was isolated at the time, or at most startGrace before it.
func (env *environment) wasIsolated(at time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.ContainsFunc(env.isolations, func(i interval) bool { return !at.Before(i.from) && at.Before(i.to.Add(startGrace)) })
}

// disturb carries out one disturbance and reverts it after its duration.
func (env *environment) disturb(d disturbance) {
	if slices.Contains(isolatingKinds, d.kind) {
		defer env.beginIsolation()()
	}
	p := env.processes[d.target%len(env.processes)]
	switch d.kind {
	case disturbanceKill:
		p.Signal(syscall.SIGKILL)
		p.WaitForExit()
		ticker.Sleep(env.ctx, d.duration/4)
		env.start(p)
	case disturbancePause:
		p.Signal(syscall.SIGSTOP)
		ticker.Sleep(env.ctx, d.duration+time.Second)
		p.Signal(syscall.SIGCONT)
	case disturbanceTerminate:
		p.Signal(syscall.SIGTERM)
		p.WaitForExit()
		env.start(p)
	case disturbanceReload:
		p.Signal(syscall.SIGHUP)
	case disturbanceStoreReject:
		p.storeEndpoint.RefuseCalls()
		ticker.Sleep(env.ctx, d.duration)
		p.storeEndpoint.ServeCalls()
	case disturbanceStoreHang:
		p.storeEndpoint.HangCalls()
		ticker.Sleep(env.ctx, d.duration)
		p.storeEndpoint.ServeCalls()
	case disturbanceLinkDelay, disturbanceLinkReset, disturbanceLinkOneWay, disturbanceLinkBlocked:
		env.disturbLink(d)
	default:
		env.disturbPlatform(d)
	}
}

// disturbPlatform carries out the disturbances that come from the store, the servers, the operator or a trainer.
func (env *environment) disturbPlatform(d disturbance) {
	switch d.kind {
	case disturbanceStoreOutage:
		defer env.beginStoreTrouble()()
		env.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Refuse })
		ticker.Sleep(env.ctx, d.duration)
		env.store.SetFault(nil)
	case disturbanceStoreLoseAnswers:
		defer env.beginStoreTrouble()()
		calls := 0
		env.store.SetFault(func(method, _ string) platformtest.Fault {
			calls++
			if method != http.MethodGet && calls%3 == 0 {
				return platformtest.LoseAnswer
			}
			return platformtest.Serve
		})
		ticker.Sleep(env.ctx, d.duration)
		env.store.SetFault(nil)
	case disturbanceStoreCompact:
		env.store.Compact()
	case disturbanceServerFault:
		env.disturbServer(d)
	case disturbanceStoreAtStep:
		env.outageAtStep(d)
	case disturbanceServerDrain:
		server := env.disturbedServer(d)
		env.store.Register(server, true)
		ticker.Sleep(env.ctx, d.duration)
		env.store.Register(server, false)
	case disturbanceEvacuation:
		env.evacuate(zoneName(d.target%serversPerPool), d.duration+evacuationGrace)
	case disturbanceServerCold:
		env.makeCold(env.disturbedServer(d), d.duration+coldGrace)
	case disturbanceKeyRotation:
		env.rotateKey()
	case disturbanceModelVersion:
		env.announceVersion()
	default:
		env.checker.check(guaranteeRecovery, false, "unknown disturbance %q", d.kind)
	}
}

func (env *environment) disturbServer(d disturbance) {
	server := env.disturbedServer(d)
	behaviour := faultyBehaviours[int(d.draw*float64(len(faultyBehaviours)))]
	server.SetBehaviour(func(n int, _ platformtest.Request) platformtest.Behaviour {
		if n%faultInterval == 0 {
			return behaviour
		}
		return platformtest.Answer
	})
	ticker.Sleep(env.ctx, d.duration)
	env.setDefaultBehaviour(server)
}

// Faults that servers show even without a disturbance. Every n-th stream of an engine is cut, and every n-th stream that an
// engine resumes repeats an event. Of every n requests to a service, one gets the response to another request, and one is carried
// out but its connection is cut. Some are answered without end. A gateway abandons a stream with a repeated event, so no item could ever finish if every
// resumed stream repeated one.
const (
	engineCutInterval    = 15
	engineRepeatInterval = 2
	serviceFaultInterval = 40
)

// setDefaultBehaviour makes a server behave as it does without a disturbance.
//
// Disturbed servers resume few streams and send few responses. Their disturbances alone would rarely reveal a gateway that
// accepts an event twice, passes on the response to another request, or resends a call that may have run.
func (env *environment) setDefaultBehaviour(server *platformtest.Server) {
	engine, endless := slices.Contains(env.engines, server), env.endlessKindsOf(server)
	server.SetBehaviour(func(n int, r platformtest.Request) platformtest.Behaviour {
		switch {
		case engine && r.Resumed() && n%engineRepeatInterval == 0:
			return platformtest.RepeatLastEvent
		case engine && n%engineCutInterval == 0:
			return platformtest.CutConnection
		case engine && n%engineEndlessInterval == 2 && env.takeEndlessItem(r.ID()):
			return endless.of(n, endlessItems)
		case !engine && n%serviceEndlessInterval == 2:
			return endless.of(n, endlessCalls)
		case !engine && n%serviceFaultInterval == 0:
			return platformtest.WrongRequest
		case !engine && n%serviceFaultInterval == 1:
			return platformtest.CutConnection
		default:
			return platformtest.Answer
		}
	})
}

// faultInterval: a disturbed server shows its fault in every n-th request.
const faultInterval = 3

func (env *environment) announceVersion() {
	env.mu.Lock()
	env.modelVersion++
	version := env.modelVersion
	env.mu.Unlock()
	env.store.PutModelVersion(model, version)
	// Register the new version for one engine that has not loaded it, as if that engine had been restarted with older weights.
	env.store.RegisterWithVersion(env.engines[version%len(env.engines)], model, version)
}

// registerLoadedWeights registers the model versions that engines have loaded, as real engines do themselves.
func (env *environment) registerLoadedWeights(ctx context.Context) {
	known := map[string]int{}
	for ticker.Sleep(ctx, pollInterval) {
		for _, engine := range env.engines {
			if orders := len(engine.Orders()); orders != known[engine.ID] {
				known[engine.ID] = orders
				env.store.Register(engine, false)
			}
		}
	}
}

// restore ends all disturbances and waits until all processes are ready.
func (env *environment) restore() {
	env.store.SetFault(nil)
	env.endEvacuations()
	for _, server := range env.allServers() {
		env.setDefaultBehaviour(server)
		env.store.Register(server, false)
	}
	for _, p := range env.processes {
		p.storeEndpoint.ServeCalls()
		p.link.clearFault()
		p.Signal(syscall.SIGCONT)
		env.start(p)
	}
	for _, p := range env.processes {
		env.waitUntil(p.name+" is ready after the last disturbance", func() bool { return env.isReady(p) })
	}
}

package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Time limits of the played parts; each is many times what the part takes.
const (
	withdrawLimit = 10 * time.Second
	retireLimit   = 20 * time.Second
	usageLimit    = 30 * time.Second
	lookups       = 6
)

// player plays one deployment.
type player struct {
	deployment Deployment
	stage      *stage
	client     *client
	tell       func(format string, args ...any)
	seen       Transcript

	mu sync.Mutex
	// faults are what the server does that is the first to get the request with that body.
	faults map[string]platformtest.Behaviour
	// owners are the organisations whose keys requests came with, by their bodies.
	owners map[string]string
}

// newPlayer returns a player; tell receives a line about each part as it is done.
func newPlayer(s *stage, tell func(format string, args ...any)) *player {
	p := &player{
		deployment: s.deployment, stage: s, client: newClient(s.deployment.Host), tell: tell,
		faults: map[string]platformtest.Behaviour{}, owners: map[string]string{},
	}
	p.seen.Deployment = s.deployment.Name
	for _, engine := range s.engines {
		engine.SetStream(streamEvents, eventPace)
	}
	for _, service := range s.services {
		service.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour { return p.behaviour(r.Body) })
	}
	return p
}

// behaviour returns what a server does with a request: its fault, once, or a whole answer.
func (p *player) behaviour(body string) platformtest.Behaviour {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault := p.faults[body]
	delete(p.faults, body)
	return fault
}

// play runs all parts in order and returns what was received.
func (p *player) play(ctx context.Context) (Transcript, error) {
	parts := []struct {
		name string
		run  func(context.Context) error
	}{
		{"look up", p.lookUp},
		{"book", p.book},
		{"train a step", func(ctx context.Context) error { return p.step(ctx, 1, firstVersion) }},
		{"be refused", p.beRefused},
		{"change the weights", p.changeWeights},
		{"train a step with new weights", func(ctx context.Context) error { return p.step(ctx, 2, secondVersion) }},
		{"withdraw a key", p.withdrawKey},
		{"empty a host", p.retire},
		{"report usage", p.reportUsage},
		{"look for keys at the servers", p.lookForKeys},
	}
	for _, part := range parts {
		if err := part.run(ctx); err != nil {
			return p.seen, errors.Wrapf(err, "%s: %s", p.deployment.Name, part.name)
		}
	}
	return p.seen, nil
}

// call sends a call of a plain service whose first server does as told.
func (p *player) call(ctx context.Context, at int, organisation, route, body string, fault platformtest.Behaviour) (answer, error) {
	p.mu.Lock()
	p.owners[body] = organisation
	p.faults[body] = fault
	p.mu.Unlock()
	gateway := p.stage.gateways[at%len(p.stage.gateways)]
	return p.client.ask(ctx, gateway, question{
		method: http.MethodPost, path: "/" + route + "/", key: p.deployment.key(organisation), id: body, body: body,
	})
}

// lookUp asks what may be repeated; the servers break two of the calls.
func (p *player) lookUp(ctx context.Context) error {
	faults := map[int]platformtest.Behaviour{1: platformtest.CutConnection, 3: platformtest.WrongRequest}
	for i := range lookups {
		body := fmt.Sprintf("look-up-%d", i)
		got, err := p.call(ctx, i, p.deployment.Caller, p.deployment.Lookup, body, faults[i])
		if err != nil {
			return err
		}
		id, signed := platformtest.Signed(got.header)
		own := signed && id == body && strings.HasSuffix(got.body, "answers "+body)
		p.seen.Lookups = append(p.seen.Lookups, AnswerSeen{What: body, Status: got.status, Own: own})
	}
	p.tell("%d look-ups answered, of which a server broke one and answered one with another's answer", lookups)
	return nil
}

// book sends calls that may not be repeated.
func (p *player) book(ctx context.Context) error {
	for i, test := range []struct {
		what  string
		fault platformtest.Behaviour
		want  int
	}{
		{"booking", platformtest.Answer, http.StatusOK},
		{"booking-that-a-server-sheds", platformtest.Shed, http.StatusOK},
		{"booking-whose-answer-is-lost", platformtest.CutConnection, http.StatusBadGateway},
	} {
		got, err := p.call(ctx, i, p.deployment.Caller, p.deployment.Booking, test.what, test.fault)
		if err != nil {
			return err
		}
		seen := BookingSeen{What: test.what, Status: got.status, Want: test.want, Runs: p.runs(func(r platformtest.Request) bool { return r.Body == test.what })}
		p.seen.Bookings = append(p.seen.Bookings, seen)
		p.tell("%s: answered %d, ran %d time(s)", seen.What, seen.Status, seen.Runs)
	}
	return nil
}

// runs counts the requests that ran at plain services.
func (p *player) runs(of func(platformtest.Request) bool) int {
	count := 0
	for _, service := range p.stage.services {
		for _, seen := range service.Requests() {
			if seen.Behaviour != platformtest.Shed && of(seen) {
				count++
			}
		}
	}
	return count
}

func (p *player) beRefused(ctx context.Context) error {
	d := p.deployment
	for _, refused := range []struct {
		what, path, key string
		want            int
	}{
		{"unknown key", "/" + d.Lookup + "/", "nobody", http.StatusUnauthorized},
		{"no key", "/" + d.Lookup + "/", "", http.StatusUnauthorized},
		{"unknown route", "/nothing/", d.key(d.Caller), http.StatusNotFound},
		{"unknown step", platformtest.JobTarget("nothing", 0), d.key(d.Trainer), http.StatusNotFound},
		{"another organisation's step", platformtest.JobTarget(p.stepName(1), 0), d.key(d.Caller), http.StatusNotFound},
	} {
		got, err := p.client.ask(ctx, p.stage.gateways[0], question{method: http.MethodGet, path: refused.path, key: refused.key, id: refused.what})
		if err != nil {
			return err
		}
		seen, err := got.refusal(refused.what, refused.want)
		if err != nil {
			return err
		}
		p.seen.Refusals = append(p.seen.Refusals, seen)
	}
	p.tell("%d requests without the right were refused", len(p.seen.Refusals))
	return nil
}

// withdrawKey takes the leaver's key away and waits until all gateways refuse it.
func (p *player) withdrawKey(ctx context.Context) error {
	const what = "withdrawn key"
	sent := time.Now()
	keys := p.deployment.keys()
	delete(keys, p.deployment.Leaver)
	p.stage.configure(keys)
	for i, gateway := range p.stage.gateways {
		var got answer
		err := until(ctx, gateway.set.HostID+" refuses the key", withdrawLimit, func() bool {
			var err error
			got, err = p.call(ctx, i, p.deployment.Leaver, p.deployment.Lookup, "leaver", platformtest.Answer)
			return err == nil && got.status != http.StatusOK
		})
		if err != nil {
			return err
		}
		seen, err := got.refusal(what, http.StatusUnauthorized)
		if err != nil {
			return err
		}
		p.seen.Refusals = append(p.seen.Refusals, seen)
	}
	p.tell("a withdrawn key was refused by all gateways %v after the configuration was written", time.Since(sent).Round(time.Millisecond))
	return nil
}

// retire asks for a host to be emptied on which nothing runs.
func (p *player) retire(ctx context.Context) error {
	const host = "disk-host"
	p.stage.store.Retire(host)
	p.seen.Retired = until(ctx, "host reported as empty", retireLimit, func() bool { return p.stage.store.ReportedEmpty(host) }) == nil
	p.tell("a host to be emptied was reported as empty: %t", p.seen.Retired)
	return ctx.Err()
}

// reportUsage waits until the platform has as much as ran of the caller's calls, and adds the reports up.
func (p *player) reportUsage(ctx context.Context) error {
	caller := p.deployment.Caller
	ran := uint64(p.runs(func(r platformtest.Request) bool { return r.Organisation() == caller }))
	// What is not reported in time is named among the promises.
	_ = until(ctx, "usage reported", usageLimit, func() bool {
		p.seen.Usage = usageSeen(caller, p.stage.duties.Reports())
		p.seen.Usage.Ran = ran
		return p.seen.Usage.Reported >= ran
	})
	p.tell("usage of %s reported: %d of %d calls", caller, p.seen.Usage.Reported, ran)
	return ctx.Err()
}

// usageSeen adds up the windows of an organisation; a window that came again counts once.
func usageSeen(organisation string, reports []platformtest.Report) UsageSeen {
	seen := UsageSeen{Organisation: organisation}
	windows := map[int64]uint64{}
	for _, report := range reports {
		count := report.Counts[organisation]
		known, again := windows[report.Window]
		if again && known != count {
			seen.Changed++
		}
		if !again {
			seen.Reported += count
		}
		windows[report.Window] = count
	}
	return seen
}

// lookForKeys searches everything that the servers received for keys, and for organisations that were named wrongly.
func (p *player) lookForKeys(context.Context) error {
	p.seen.KeysSeen, p.seen.Misnamed = []string{}, []string{}
	for _, server := range p.stage.servers() {
		for _, seen := range server.Requests() {
			if p.holdsKey(seen) {
				p.seen.KeysSeen = append(p.seen.KeysSeen, server.ID)
			}
			if seen.Organisation() != p.owner(server, seen) {
				p.seen.Misnamed = append(p.seen.Misnamed, server.ID)
			}
		}
	}
	p.tell("keys that reached a server: %d", len(p.seen.KeysSeen))
	return nil
}

func (p *player) holdsKey(seen platformtest.Request) bool {
	text := fmt.Sprint(seen.Target, seen.Body, seen.Header)
	for _, keys := range p.deployment.keys() {
		if strings.Contains(text, keys[0]) {
			return true
		}
	}
	return seen.Key() != ""
}

// owner returns the organisation that sent the request; engines serve the trainer alone.
func (p *player) owner(server *platformtest.Server, seen platformtest.Request) string {
	if server.Pool == p.deployment.Engines {
		return p.deployment.Trainer
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owners[seen.Body]
}

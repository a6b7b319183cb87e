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

// Limits of the phases; each is many times what the phase usually takes.
const (
	withdrawalLimit = 10 * time.Second
	retirementLimit = 20 * time.Second
	usageLimit      = 30 * time.Second
	lookupCount     = 6
)

// runner runs the phases of the demo for one deployment and records what was received.
type runner struct {
	deployment Deployment
	env        *environment
	client     *client
	progress   func(format string, args ...any)
	transcript Transcript

	mu sync.Mutex
	// faults holds, by request body, the behaviour of the first backend server that gets the request.
	faults map[string]platformtest.Behaviour
	// owners holds, by request body, the organisation whose key the request was sent with.
	owners map[string]string
}

// newRunner returns a runner; it calls progress with a line about each completed phase.
func newRunner(env *environment, progress func(format string, args ...any)) *runner {
	r := &runner{
		deployment: env.deployment, env: env, client: newClient(env.deployment.Host), progress: progress,
		faults: map[string]platformtest.Behaviour{}, owners: map[string]string{},
	}
	r.transcript.Deployment = env.deployment.Name
	for _, engine := range env.engines {
		engine.SetStream(streamEvents, eventInterval)
	}
	for _, service := range env.services {
		service.SetBehaviour(func(_ int, request platformtest.Request) platformtest.Behaviour { return r.nextBehaviour(request.Body) })
	}
	return r
}

// nextBehaviour returns the planned fault of a request once, and a normal answer after that.
func (r *runner) nextBehaviour(body string) platformtest.Behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	fault := r.faults[body]
	delete(r.faults, body)
	return fault
}

// runPhases runs all phases in order and returns the transcript, also after an error.
func (r *runner) runPhases(ctx context.Context) (Transcript, error) {
	phases := []struct {
		name string
		run  func(context.Context) error
	}{
		{"look up", r.lookUp},
		{"book", r.book},
		{"train a step", func(ctx context.Context) error { return r.runStep(ctx, 1, firstVersion) }},
		{"send requests that must be refused", r.sendRefused},
		{"change the weights", r.changeWeights},
		{"train a step with new weights", func(ctx context.Context) error { return r.runStep(ctx, 2, secondVersion) }},
		{"withdraw a key", r.withdrawKey},
		{"retire a host", r.retireHost},
		{"check the usage reports", r.checkUsage},
		{"check the requests at the backend servers", r.checkServerRequests},
	}
	for _, phase := range phases {
		if err := phase.run(ctx); err != nil {
			return r.transcript, errors.Wrapf(err, "%s: %s", r.deployment.Name, phase.name)
		}
	}
	return r.transcript, nil
}

// call sends a plain call to a gateway; index is taken modulo the number of gateways. The first backend server that gets the
// call behaves as fault says.
func (r *runner) call(ctx context.Context, index int, organisation, route, body string, fault platformtest.Behaviour) (response, error) {
	r.mu.Lock()
	r.owners[body] = organisation
	r.faults[body] = fault
	r.mu.Unlock()
	gateway := r.env.gateways[index%len(r.env.gateways)]
	return r.client.send(ctx, gateway, callerRequest{
		method: http.MethodPost, path: "/" + route + "/", key: r.deployment.key(organisation), id: body, body: body,
	})
}

// lookUp sends calls to the idempotent route. Backend servers break the connection of one call and answer another one with the
// response to a different request; the gateway must retry both.
func (r *runner) lookUp(ctx context.Context) error {
	faults := map[int]platformtest.Behaviour{1: platformtest.CutConnection, 3: platformtest.WrongRequest}
	for i := range lookupCount {
		body := fmt.Sprintf("look-up-%d", i)
		got, err := r.call(ctx, i, r.deployment.Caller, r.deployment.Lookup, body, faults[i])
		if err != nil {
			return err
		}
		id, signed := platformtest.Signed(got.header)
		correct := signed && id == body && strings.HasSuffix(got.body, "answers "+body)
		r.transcript.Lookups = append(r.transcript.Lookups, LookupResult{Name: body, Status: got.status, Correct: correct})
	}
	r.progress("%d look-ups answered, of which a backend server cut off one and answered one with another's response", lookupCount)
	return nil
}

// book sends calls to the route that is not idempotent: one that runs, one that a backend server sheds, and one whose response is lost.
func (r *runner) book(ctx context.Context) error {
	for i, test := range []struct {
		name  string
		fault platformtest.Behaviour
		want  int
	}{
		{"booking", platformtest.Answer, http.StatusOK},
		{"booking-that-a-server-sheds", platformtest.Shed, http.StatusOK},
		{"booking-whose-answer-is-lost", platformtest.CutConnection, http.StatusBadGateway},
	} {
		got, err := r.call(ctx, i, r.deployment.Caller, r.deployment.Booking, test.name, test.fault)
		if err != nil {
			return err
		}
		result := BookingResult{
			Name: test.name, Status: got.status, Want: test.want,
			Runs: r.countRuns(func(request platformtest.Request) bool { return request.Body == test.name }),
		}
		r.transcript.Bookings = append(r.transcript.Bookings, result)
		r.progress("%s: status %d, ran %d time(s)", result.Name, result.Status, result.Runs)
	}
	return nil
}

// countRuns returns how many requests that match ran at plain services.
func (r *runner) countRuns(match func(platformtest.Request) bool) int {
	count := 0
	for _, service := range r.env.services {
		for _, request := range service.Requests() {
			if request.Behaviour != platformtest.Shed && match(request) {
				count++
			}
		}
	}
	return count
}

// sendRefused sends requests without a valid key, or for a route or step that is unknown to the sender.
func (r *runner) sendRefused(ctx context.Context) error {
	d := r.deployment
	for _, test := range []struct {
		name, path, key string
		want            int
	}{
		{"unknown key", "/" + d.Lookup + "/", "nobody", http.StatusUnauthorized},
		{"no key", "/" + d.Lookup + "/", "", http.StatusUnauthorized},
		{"unknown route", "/nothing/", d.key(d.Caller), http.StatusNotFound},
		{"unknown step", platformtest.JobTarget("nothing", 0), d.key(d.Trainer), http.StatusNotFound},
		{"another organisation's step", platformtest.JobTarget(r.stepName(1), 0), d.key(d.Caller), http.StatusNotFound},
	} {
		got, err := r.client.send(ctx, r.env.gateways[0], callerRequest{method: http.MethodGet, path: test.path, key: test.key, id: test.name})
		if err != nil {
			return err
		}
		refusal, err := got.refusal(test.name, test.want)
		if err != nil {
			return err
		}
		r.transcript.Refusals = append(r.transcript.Refusals, refusal)
	}
	r.progress("%d unauthorised or unknown requests were refused", len(r.transcript.Refusals))
	return nil
}

// withdrawKey removes the leaver's key from the configuration and waits until all gateways refuse it.
func (r *runner) withdrawKey(ctx context.Context) error {
	const name = "withdrawn key"
	started := time.Now()
	keys := r.deployment.keys()
	delete(keys, r.deployment.Leaver)
	r.env.configure(keys)
	for i, gateway := range r.env.gateways {
		var got response
		err := waitUntil(ctx, gateway.settings.HostID+" to refuse the key", withdrawalLimit, func() bool {
			var err error
			got, err = r.call(ctx, i, r.deployment.Leaver, r.deployment.Lookup, "leaver", platformtest.Answer)
			return err == nil && got.status != http.StatusOK
		})
		if err != nil {
			return err
		}
		refusal, err := got.refusal(name, http.StatusUnauthorized)
		if err != nil {
			return err
		}
		r.transcript.Refusals = append(r.transcript.Refusals, refusal)
	}
	r.progress("all gateways refused a withdrawn key %v after the configuration was written", time.Since(started).Round(time.Millisecond))
	return nil
}

// retireHost requests the retirement of a host without work and waits until the host is reported as empty.
func (r *runner) retireHost(ctx context.Context) error {
	const host = "disk-host"
	r.env.store.Retire(host)
	r.transcript.Retired = waitUntil(ctx, "host to be empty", retirementLimit, func() bool { return r.env.store.ReportedEmpty(host) }) == nil
	r.progress("the host to be retired was reported as empty: %t", r.transcript.Retired)
	return ctx.Err()
}

// checkUsage waits until the usage reports cover all of the caller's calls that ran, and records their sum.
func (r *runner) checkUsage(ctx context.Context) error {
	caller := r.deployment.Caller
	ran := uint64(r.countRuns(func(request platformtest.Request) bool { return request.Organisation() == caller }))
	// The error is ignored because missing reports are listed by Transcript.Violations.
	_ = waitUntil(ctx, "the usage reports", usageLimit, func() bool {
		r.transcript.Usage = sumUsage(caller, r.env.usageReceiver.Reports())
		r.transcript.Usage.Executed = ran
		return r.transcript.Usage.Reported >= ran
	})
	r.progress("usage of %s reported: %d of %d calls", caller, r.transcript.Usage.Reported, ran)
	return ctx.Err()
}

// sumUsage adds up the reported windows of an organisation. A window that is reported again counts once.
func sumUsage(organisation string, reports []platformtest.Report) UsageResult {
	usage := UsageResult{Organisation: organisation}
	windows := map[int64]uint64{}
	for _, report := range reports {
		count := report.Counts[organisation]
		previous, repeated := windows[report.Window]
		if repeated && previous != count {
			usage.ConflictingWindows++
		}
		if !repeated {
			usage.Reported += count
		}
		windows[report.Window] = count
	}
	return usage
}

// checkServerRequests records the backend servers that received a key of a caller, or a request with the wrong organisation.
func (r *runner) checkServerRequests(context.Context) error {
	r.transcript.KeyLeaks, r.transcript.WrongOrganisations = []string{}, []string{}
	for _, server := range r.env.servers() {
		for _, request := range server.Requests() {
			if r.containsKey(request) {
				r.transcript.KeyLeaks = append(r.transcript.KeyLeaks, server.ID)
			}
			if request.Organisation() != r.owner(server, request) {
				r.transcript.WrongOrganisations = append(r.transcript.WrongOrganisations, server.ID)
			}
		}
	}
	r.progress("requests that carried a key to a backend server: %d", len(r.transcript.KeyLeaks))
	return nil
}

// containsKey reports whether a request that a backend server received contains a key of a caller.
func (r *runner) containsKey(request platformtest.Request) bool {
	text := fmt.Sprint(request.Target, request.Body, request.Header)
	for _, keys := range r.deployment.keys() {
		if strings.Contains(text, keys[0]) {
			return true
		}
	}
	return request.Key() != ""
}

// owner returns the organisation that sent the request; engines serve only the trainer.
func (r *runner) owner(server *platformtest.Server, request platformtest.Request) string {
	if server.Pool == r.deployment.Engines {
		return r.deployment.Trainer
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owners[request.Body]
}

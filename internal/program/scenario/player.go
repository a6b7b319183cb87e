package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/standin/web"
)

const (
	// The timeouts are many times what each stage takes.
	ticketTimeout     = 20 * time.Second
	serversTimeout    = 30 * time.Second
	versionTimeout    = 20 * time.Second
	withdrawalTimeout = 10 * time.Second
	usageTimeout      = 60 * time.Second
	batchTimeout      = 60 * time.Second

	lookupCount         = 5
	generationMaxTokens = 12
)

// Targets holds the base URLs of the running processes.
type Targets struct {
	// Entry is the entry that receives all requests except those that Prepare and Run send to every entry.
	Entry string
	// Entries are all entries.
	Entries  []string
	Platform string
	// Services are the backend servers of the plain service, which count how often a call ran.
	Services []string
}

// Runner runs the scenario of one deployment.
type Runner struct {
	deployment Deployment
	entry      *client
	entries    []*client
	platform   *client
	services   []*client
	logf       func(format string, args ...any)
	transcript Transcript
	lastTicket int
}

// NewRunner returns a runner for the processes at targets. It reports its progress to logf.
func NewRunner(d Deployment, targets Targets, logf func(format string, args ...any)) *Runner {
	r := &Runner{deployment: d, entry: newClient(targets.Entry), platform: newClient(targets.Platform), logf: logf}
	for _, url := range targets.Services {
		r.services = append(r.services, newClient(url))
	}
	for _, url := range targets.Entries {
		r.entries = append(r.entries, newClient(url))
	}
	r.transcript.Deployment = d.Name
	return r
}

// Run runs all stages in order and returns the transcript. It stops at the first error.
func (r *Runner) Run(ctx context.Context) (Transcript, error) {
	stages := []struct {
		name string
		run  func(context.Context) error
	}{
		{"apply tickets", r.applyTickets},
		{"wait for servers", r.waitForServers},
		{"send lookups", r.sendLookups},
		{"book once", r.book},
		{"generate", r.generate},
		{"stream", r.stream},
		{"send invalid requests", r.sendRefusedRequests},
		{"train a step", func(ctx context.Context) error { return r.runStep(ctx, 1) }},
		{"publish new weights", r.publishWeights},
		{"train a step with new weights", func(ctx context.Context) error { return r.runStep(ctx, 2) }},
		{"withdraw a key", r.withdrawKey},
		{"scale up under load", r.waitForScaleUp},
		{"wait for usage reports", r.waitForUsageReports},
		{"search backend servers for keys", r.findLeakedKeys},
	}
	for _, stage := range stages {
		if err := stage.run(ctx); err != nil {
			return r.transcript, errors.Wrapf(err, "%s: %s", r.deployment.Name, stage.name)
		}
	}
	return r.transcript, nil
}

// Prepare applies the tickets and waits until the plain service and the model answer at every entry. Tests use it instead
// of Run to send their own requests.
func (r *Runner) Prepare(ctx context.Context) error {
	if err := r.applyTickets(ctx); err != nil {
		return err
	}
	return r.waitForServers(ctx)
}

// authorization returns the Authorization header with the organisation's key, as a name-value pair.
func (r *Runner) authorization(organisation string) []string {
	return []string{"Authorization", "Bearer " + r.deployment.Key(organisation)}
}

func (r *Runner) applyTickets(ctx context.Context) error {
	for _, t := range []ticket.Ticket{r.deployment.firstTicket(1, 2), r.deployment.secondTicket()} {
		if err := r.applyTicket(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// applyTicket applies the next ticket and waits until it is in force on all hosts.
func (r *Runner) applyTicket(ctx context.Context, t ticket.Ticket) error {
	r.lastTicket++
	number := r.lastTicket
	body, err := json.Marshal(t)
	if err != nil {
		return errors.Wrapf(err, "ticket %d", number)
	}
	path := fmt.Sprintf("/v1/tickets/%d", number)
	sent := time.Now()
	err = waitUntil(ctx, "ticket to be accepted", ticketTimeout, func(ctx context.Context) (bool, error) {
		status, err := decode[TicketStatus](r.entry.send(ctx, http.MethodPost, path, body))
		return err == nil && status.Accepted, err
	})
	if err != nil {
		return err
	}
	var status TicketStatus
	err = waitUntil(ctx, "ticket to be in force", ticketTimeout, func(ctx context.Context) (bool, error) {
		var err error
		status, err = decode[TicketStatus](r.entry.send(ctx, http.MethodGet, path, nil))
		return err == nil && status.Share >= 1, err
	})
	r.transcript.Tickets = append(r.transcript.Tickets, status)
	r.logf("ticket %d accepted and in force on all hosts after %v", number, time.Since(sent).Round(time.Millisecond))
	return err
}

// waitForServers waits until the plain service and the model answer at every entry, because hosts discover servers at
// different times.
func (r *Runner) waitForServers(ctx context.Context) error {
	for _, entry := range r.entries {
		if err := r.waitForServersAt(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) waitForServersAt(ctx context.Context, entry *client) error {
	return waitUntil(ctx, "backend servers", serversTimeout, func(ctx context.Context) (bool, error) {
		response, err := entry.send(ctx, http.MethodGet, "/v1/services/"+r.deployment.Service+"/ready", nil,
			r.authorization(r.deployment.Withdrawn)...)
		if err != nil || response.Status != http.StatusOK {
			return false, errors.Errorf("plain service: %d %s %v", response.Status, response.Body, err)
		}
		response, err = entry.send(ctx, http.MethodPost, "/v1/models/"+r.deployment.Model+"/generate",
			[]byte(`{"prompt":"ready?","maxTokens":1}`), r.authorization(r.deployment.Withdrawn)...)
		if err != nil || response.Status != http.StatusOK {
			return false, errors.Errorf("model: %d %s %v", response.Status, response.Body, err)
		}
		return true, nil
	})
}

// sendLookups sends the idempotent call lookupCount times and records the last response.
func (r *Runner) sendLookups(ctx context.Context) error {
	for range lookupCount {
		response, err := r.entry.send(ctx, http.MethodGet, "/v1/services/"+r.deployment.Service+r.deployment.LookupPath, nil,
			r.authorization(r.deployment.Caller)...)
		if err != nil {
			return err
		}
		r.transcript.Lookup, err = echoedRequest(response)
		if err != nil {
			return err
		}
	}
	r.logf("%d lookups sent, last status %d", lookupCount, r.transcript.Lookup.Status)
	return nil
}

// echoedRequest returns the method and path that the service received. It leaves out the headers, because they contain
// addresses that differ between runs.
func echoedRequest(response httpResponse) (ServiceResponse, error) {
	var echo struct {
		Method string `json:"method"`
		Path   string `json:"path"`
	}
	err := json.Unmarshal(response.Body, &echo)
	return ServiceResponse{Status: response.Status, Body: echo.Method + " " + echo.Path},
		errors.Wrapf(err, "lookup response %q", response.Body)
}

// book sends the non-idempotent call twice with the same Idempotency-Key and counts how often it ran.
func (r *Runner) book(ctx context.Context) error {
	for _, target := range []*ServiceResponse{&r.transcript.Booking.First, &r.transcript.Booking.Repeated} {
		header := append(r.authorization(r.deployment.Caller), "Idempotency-Key", "booking-1", "Content-Type", "application/json")
		response, err := r.entry.send(ctx, http.MethodPost, "/v1/services/"+r.deployment.Service+r.deployment.BookingPath,
			[]byte(r.deployment.BookingBody), header...)
		if err != nil {
			return err
		}
		*target = ServiceResponse{Status: response.Status, Body: string(response.Body)}
	}
	for _, service := range r.services {
		state, err := decode[struct {
			Runs map[string]int `json:"runs"`
		}](service.send(ctx, http.MethodGet, web.PathState, nil))
		if err != nil {
			return err
		}
		r.transcript.Booking.Runs += state.Runs[r.deployment.BookingID]
	}
	r.logf("a non-idempotent call sent twice with one Idempotency-Key ran %d time(s)", r.transcript.Booking.Runs)
	return nil
}

// generate requests a generation that is not streamed.
func (r *Runner) generate(ctx context.Context) error {
	body := fmt.Sprintf(`{"prompt":"summarise %s","maxTokens":%d}`, r.deployment.Name, generationMaxTokens)
	generation, err := decode[Generation](r.entry.send(ctx, http.MethodPost, "/v1/models/"+r.deployment.Model+"/generate", []byte(body),
		r.authorization(r.deployment.Caller)...))
	r.transcript.Generation = generation
	r.logf("received a generation of %d tokens by weight versions %v", generation.Tokens, spanVersions(generation.Spans))
	return err
}

// spanVersions returns the distinct weight versions of spans in ascending order.
func spanVersions(spans []VersionSpan) []int {
	found := []int{}
	for _, span := range spans {
		found = addVersion(found, span.Version)
	}
	return found
}

// stream requests a generation as server-sent events and concatenates the text.
func (r *Runner) stream(ctx context.Context) error {
	body := fmt.Sprintf(`{"prompt":"explain %s","maxTokens":%d,"stream":true}`, r.deployment.Name, generationMaxTokens)
	response, err := r.entry.send(ctx, http.MethodPost, "/v1/models/"+r.deployment.Model+"/generate", []byte(body),
		r.authorization(r.deployment.Caller)...)
	if err != nil {
		return err
	}
	for line := range strings.SplitSeq(string(response.Body), "\n") {
		payload, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var event struct {
			Text   string        `json:"text"`
			Done   bool          `json:"done"`
			Tokens int           `json:"tokens"`
			Spans  []VersionSpan `json:"spans"`
		}
		if err := json.Unmarshal([]byte(payload), &event); err != nil {
			return errors.Wrapf(err, "event %q", payload)
		}
		r.transcript.Stream.Text += event.Text
		if event.Done {
			r.transcript.Stream.Tokens, r.transcript.Stream.Spans = event.Tokens, event.Spans
		}
	}
	if r.transcript.Stream.Tokens == 0 {
		return errors.Errorf("the stream has no final event: status %d: %s", response.Status, response.Body)
	}
	r.logf("received a streamed generation of %d tokens", r.transcript.Stream.Tokens)
	return nil
}

// sendRefusedRequests sends requests that must be refused and records the refusals.
func (r *Runner) sendRefusedRequests(ctx context.Context) error {
	service := "/v1/services/" + r.deployment.Service + "/x"
	for _, test := range []struct {
		what, method, path string
		header             []string
	}{
		{"unknown key", http.MethodGet, service, []string{"Authorization", "Bearer nobody"}},
		{"unknown pool", http.MethodGet, "/v1/services/nothing/x", r.authorization(r.deployment.Caller)},
		{
			"another organisation's trainer job", http.MethodGet, "/v1/trainerJobs/" + r.deployment.Job + "/steps/1/batches/1",
			r.authorization(r.deployment.Caller),
		},
		{"key in the path", http.MethodGet, service + "/" + r.deployment.Key(r.deployment.Caller), r.authorization(r.deployment.Caller)},
	} {
		refusal, err := r.sendRefused(ctx, test.what, test.method, test.path, test.header)
		if err != nil {
			return err
		}
		r.transcript.Refusals = append(r.transcript.Refusals, refusal)
	}
	r.logf("%d requests without permission refused as not run", len(r.transcript.Refusals))
	return nil
}

// sendRefused sends one request and decodes the refusal.
func (r *Runner) sendRefused(ctx context.Context, what, method, path string, header []string) (Refusal, error) {
	response, err := r.entry.send(ctx, method, path, nil, header...)
	if err != nil {
		return Refusal{}, err
	}
	refusal := Refusal{What: what, Status: response.Status}
	return refusal, errors.Wrapf(json.Unmarshal(response.Body, &refusal), "refusal %q", response.Body)
}

// withdrawKey withdraws the key of the organisation Withdrawn and waits until it is refused.
func (r *Runner) withdrawKey(ctx context.Context) error {
	sent := time.Now()
	if err := r.applyTicket(ctx, r.deployment.withdrawalTicket()); err != nil {
		return err
	}
	var refusal Refusal
	err := waitUntil(ctx, "key to be refused", withdrawalTimeout, func(ctx context.Context) (bool, error) {
		response, err := r.entry.send(ctx, http.MethodGet, "/v1/services/"+r.deployment.Service+"/ready", nil,
			r.authorization(r.deployment.Withdrawn)...)
		if err != nil || response.Status == http.StatusOK {
			return false, err
		}
		refusal = Refusal{What: "withdrawn key", Status: response.Status}
		return true, errors.Wrap(json.Unmarshal(response.Body, &refusal), "refusal")
	})
	r.transcript.Refusals = append(r.transcript.Refusals, refusal)
	r.logf("withdrawn key refused %v after its ticket was sent", time.Since(sent).Round(time.Millisecond))
	return err
}

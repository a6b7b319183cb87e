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
	// Entry is the entry that receives all requests except those that Prepare and Play send to every entry.
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

// NewRunner returns a player for the processes at targets. It reports its progress to logf.
func NewRunner(d Deployment, targets Targets, logf func(format string, args ...any)) *Runner {
	p := &Runner{deployment: d, entry: newClient(targets.Entry), platform: newClient(targets.Platform), logf: logf}
	for _, url := range targets.Services {
		p.services = append(p.services, newClient(url))
	}
	for _, url := range targets.Entries {
		p.entries = append(p.entries, newClient(url))
	}
	p.transcript.Deployment = d.Name
	return p
}

// Run runs all stages in order and returns the transcript. It stops at the first error.
func (p *Runner) Run(ctx context.Context) (Transcript, error) {
	stages := []struct {
		name string
		run  func(context.Context) error
	}{
		{"apply tickets", p.applyTickets},
		{"wait for servers", p.waitForServers},
		{"send lookups", p.sendLookups},
		{"book once", p.book},
		{"generate", p.generate},
		{"stream", p.stream},
		{"send invalid requests", p.sendRefusedRequests},
		{"train a step", func(ctx context.Context) error { return p.runStep(ctx, 1) }},
		{"publish new weights", p.publishWeights},
		{"train a step with new weights", func(ctx context.Context) error { return p.runStep(ctx, 2) }},
		{"withdraw a key", p.withdrawKey},
		{"scale up under load", p.waitForScaleUp},
		{"wait for usage reports", p.waitForUsageReports},
		{"search backend servers for keys", p.findLeakedKeys},
	}
	for _, stage := range stages {
		if err := stage.run(ctx); err != nil {
			return p.transcript, errors.Wrapf(err, "%s: %s", p.deployment.Name, stage.name)
		}
	}
	return p.transcript, nil
}

// Prepare applies the tickets and waits until the plain service and the model answer at every entry. Tests use it instead
// of Play to send their own requests.
func (p *Runner) Prepare(ctx context.Context) error {
	if err := p.applyTickets(ctx); err != nil {
		return err
	}
	return p.waitForServers(ctx)
}

// authorization returns the Authorization header with the organisation's key, as a name-value pair.
func (p *Runner) authorization(organisation string) []string {
	return []string{"Authorization", "Bearer " + p.deployment.Key(organisation)}
}

func (p *Runner) applyTickets(ctx context.Context) error {
	for _, t := range []ticket.Ticket{p.deployment.firstTicket(1, 2), p.deployment.secondTicket()} {
		if err := p.applyTicket(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// applyTicket applies the next ticket and waits until it is in force on all hosts.
func (p *Runner) applyTicket(ctx context.Context, t ticket.Ticket) error {
	p.lastTicket++
	number := p.lastTicket
	body, err := json.Marshal(t)
	if err != nil {
		return errors.Wrapf(err, "ticket %d", number)
	}
	path := fmt.Sprintf("/v1/tickets/%d", number)
	sent := time.Now()
	err = waitUntil(ctx, "ticket to be accepted", ticketTimeout, func(ctx context.Context) (bool, error) {
		status, err := decode[TicketStatus](p.entry.send(ctx, http.MethodPost, path, body))
		return err == nil && status.Accepted, err
	})
	if err != nil {
		return err
	}
	var status TicketStatus
	err = waitUntil(ctx, "ticket to be in force", ticketTimeout, func(ctx context.Context) (bool, error) {
		var err error
		status, err = decode[TicketStatus](p.entry.send(ctx, http.MethodGet, path, nil))
		return err == nil && status.Share >= 1, err
	})
	p.transcript.Tickets = append(p.transcript.Tickets, status)
	p.logf("ticket %d accepted and in force on all hosts after %v", number, time.Since(sent).Round(time.Millisecond))
	return err
}

// waitForServers waits until the plain service and the model answer at every entry, because hosts discover servers at
// different times.
func (p *Runner) waitForServers(ctx context.Context) error {
	for _, entry := range p.entries {
		if err := p.waitForServersAt(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

func (p *Runner) waitForServersAt(ctx context.Context, entry *client) error {
	return waitUntil(ctx, "backend servers", serversTimeout, func(ctx context.Context) (bool, error) {
		response, err := entry.send(ctx, http.MethodGet, "/v1/services/"+p.deployment.Service+"/ready", nil,
			p.authorization(p.deployment.Withdrawn)...)
		if err != nil || response.Status != http.StatusOK {
			return false, errors.Errorf("plain service: %d %s %v", response.Status, response.Body, err)
		}
		response, err = entry.send(ctx, http.MethodPost, "/v1/models/"+p.deployment.Model+"/generate",
			[]byte(`{"prompt":"ready?","maxTokens":1}`), p.authorization(p.deployment.Withdrawn)...)
		if err != nil || response.Status != http.StatusOK {
			return false, errors.Errorf("model: %d %s %v", response.Status, response.Body, err)
		}
		return true, nil
	})
}

// sendLookups sends the idempotent call lookupCount times and records the last response.
func (p *Runner) sendLookups(ctx context.Context) error {
	for range lookupCount {
		response, err := p.entry.send(ctx, http.MethodGet, "/v1/services/"+p.deployment.Service+p.deployment.LookupPath, nil,
			p.authorization(p.deployment.Caller)...)
		if err != nil {
			return err
		}
		p.transcript.Lookup, err = echoedRequest(response)
		if err != nil {
			return err
		}
	}
	p.logf("%d lookups sent, last status %d", lookupCount, p.transcript.Lookup.Status)
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
func (p *Runner) book(ctx context.Context) error {
	for _, target := range []*ServiceResponse{&p.transcript.Booking.First, &p.transcript.Booking.Repeated} {
		header := append(p.authorization(p.deployment.Caller), "Idempotency-Key", "booking-1", "Content-Type", "application/json")
		response, err := p.entry.send(ctx, http.MethodPost, "/v1/services/"+p.deployment.Service+p.deployment.BookingPath,
			[]byte(p.deployment.BookingBody), header...)
		if err != nil {
			return err
		}
		*target = ServiceResponse{Status: response.Status, Body: string(response.Body)}
	}
	for _, service := range p.services {
		state, err := decode[struct {
			Runs map[string]int `json:"runs"`
		}](service.send(ctx, http.MethodGet, web.PathState, nil))
		if err != nil {
			return err
		}
		p.transcript.Booking.Runs += state.Runs[p.deployment.BookingID]
	}
	p.logf("a non-idempotent call sent twice with one Idempotency-Key ran %d time(s)", p.transcript.Booking.Runs)
	return nil
}

// generate requests a generation that is not streamed.
func (p *Runner) generate(ctx context.Context) error {
	body := fmt.Sprintf(`{"prompt":"summarise %s","maxTokens":%d}`, p.deployment.Name, generationMaxTokens)
	generation, err := decode[Generation](p.entry.send(ctx, http.MethodPost, "/v1/models/"+p.deployment.Model+"/generate", []byte(body),
		p.authorization(p.deployment.Caller)...))
	p.transcript.Generation = generation
	p.logf("received a generation of %d tokens by weight versions %v", generation.Tokens, spanVersions(generation.Spans))
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
func (p *Runner) stream(ctx context.Context) error {
	body := fmt.Sprintf(`{"prompt":"explain %s","maxTokens":%d,"stream":true}`, p.deployment.Name, generationMaxTokens)
	response, err := p.entry.send(ctx, http.MethodPost, "/v1/models/"+p.deployment.Model+"/generate", []byte(body),
		p.authorization(p.deployment.Caller)...)
	if err != nil {
		return err
	}
	for line := range strings.SplitSeq(string(response.Body), "\n") {
		payload, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var event struct {
			Text   string     `json:"text"`
			Done   bool       `json:"done"`
			Tokens int        `json:"tokens"`
			Spans  []VersionSpan `json:"spans"`
		}
		if err := json.Unmarshal([]byte(payload), &event); err != nil {
			return errors.Wrapf(err, "event %q", payload)
		}
		p.transcript.Stream.Text += event.Text
		if event.Done {
			p.transcript.Stream.Tokens, p.transcript.Stream.Spans = event.Tokens, event.Spans
		}
	}
	if p.transcript.Stream.Tokens == 0 {
		return errors.Errorf("the stream has no final event: status %d: %s", response.Status, response.Body)
	}
	p.logf("received a streamed generation of %d tokens", p.transcript.Stream.Tokens)
	return nil
}

// sendRefusedRequests sends requests that must be refused and records the refusals.
func (p *Runner) sendRefusedRequests(ctx context.Context) error {
	service := "/v1/services/" + p.deployment.Service + "/x"
	for _, test := range []struct {
		what, method, path string
		header             []string
	}{
		{"unknown key", http.MethodGet, service, []string{"Authorization", "Bearer nobody"}},
		{"unknown pool", http.MethodGet, "/v1/services/nothing/x", p.authorization(p.deployment.Caller)},
		{
			"another organisation's trainer job", http.MethodGet, "/v1/trainerJobs/" + p.deployment.Job + "/steps/1/batches/1",
			p.authorization(p.deployment.Caller),
		},
		{"key in the path", http.MethodGet, service + "/" + p.deployment.Key(p.deployment.Caller), p.authorization(p.deployment.Caller)},
	} {
		refusal, err := p.sendRefused(ctx, test.what, test.method, test.path, test.header)
		if err != nil {
			return err
		}
		p.transcript.Refusals = append(p.transcript.Refusals, refusal)
	}
	p.logf("%d requests refused", len(p.transcript.Refusals))
	return nil
}

// sendRefused sends one request and decodes the refusal.
func (p *Runner) sendRefused(ctx context.Context, what, method, path string, header []string) (Refusal, error) {
	response, err := p.entry.send(ctx, method, path, nil, header...)
	if err != nil {
		return Refusal{}, err
	}
	refusal := Refusal{What: what, Status: response.Status}
	return refusal, errors.Wrapf(json.Unmarshal(response.Body, &refusal), "refusal %q", response.Body)
}

// withdrawKey withdraws the key of Leaver and waits until it is refused.
func (p *Runner) withdrawKey(ctx context.Context) error {
	sent := time.Now()
	if err := p.applyTicket(ctx, p.deployment.withdrawalTicket()); err != nil {
		return err
	}
	var refusal Refusal
	err := waitUntil(ctx, "key to be refused", withdrawalTimeout, func(ctx context.Context) (bool, error) {
		response, err := p.entry.send(ctx, http.MethodGet, "/v1/services/"+p.deployment.Service+"/ready", nil,
			p.authorization(p.deployment.Withdrawn)...)
		if err != nil || response.Status == http.StatusOK {
			return false, err
		}
		refusal = Refusal{What: "withdrawn key", Status: response.Status}
		return true, errors.Wrap(json.Unmarshal(response.Body, &refusal), "refusal")
	})
	p.transcript.Refusals = append(p.transcript.Refusals, refusal)
	p.logf("withdrawn key refused %v after its ticket was sent", time.Since(sent).Round(time.Millisecond))
	return err
}

package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/trainer"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/web"
)

const (
	batchSize       = 64
	sampleTokens    = 512
	samplesPerGroup = 8
	tokenText       = " fee"
	trainerTimeout  = 60 * time.Second
)

func jobName(number int) string { return fmt.Sprintf("job-%02d", number) }

// instantEngines answers each sample at once with all its tokens, so that only the coordinator's own work is measured.
type instantEngines struct{}

// Generate implements trainer.Generator.
func (instantEngines) Generate(_ context.Context, request trainer.GenerateRequest) ([]trainer.Token, error) {
	tokens := make([]trainer.Token, request.MaxTokens)
	for i := range tokens {
		tokens[i] = trainer.Token{Text: tokenText, Version: 1}
	}
	return tokens, nil
}

// soleLease is a lease that this host always holds.
type soleLease struct{ changed chan struct{} }

// Held implements trainer.Lease.
func (soleLease) Held(now time.Time) (trainer.Fence, bool) {
	return trainer.Fence{Number: 1, Deadline: now.Add(time.Minute)}, true
}

// Holder implements trainer.Lease.
func (soleLease) Holder() (netip.AddrPort, bool) { return netip.AddrPort{}, false }

// Changed implements trainer.Lease.
func (l soleLease) Changed() <-chan struct{} { return l.changed }

// soleJob is a configuration with a single trainer job.
type soleJob struct{ job ticket.TrainerJob }

// Authenticate implements trainer.Configuration.
func (s soleJob) Authenticate(string) (ticket.Organisation, string, bool) {
	return ticket.Organisation{Name: s.job.Organisation}, "", true
}

// TrainerJob implements trainer.Configuration.
func (s soleJob) TrainerJob(name string) (ticket.TrainerJob, bool) { return s.job, name == s.job.Name }

// TrainerJobs implements trainer.Configuration.
func (s soleJob) TrainerJobs() []ticket.TrainerJob { return []ticket.TrainerJob{s.job} }

// sampleExperiment measures the cost of one step at the coordinator of a trainer job.
type sampleExperiment struct{}

// Description implements Experiment.
func (sampleExperiment) Description() Description {
	return Description{
		Name: "samples", SizeUnit: "sample",
		Notes: "One step of a trainer job over HTTP: 512 tokens per sample, groups of 8 samples, batches of 64 samples. Engines answer at once and nothing is scored or copied, so this is the coordinator's own work, with the trainer's client and the stand-in of the platform. " +
			"Memory is what stays in use after the step until the next one.",
	}
}

// Sizes implements Experiment.
func (sampleExperiment) Sizes() []int { return []int{16, 64, 256, 1024} }

// Measure implements Experiment.
func (sampleExperiment) Measure(ctx context.Context, count int) ([]Metric, error) {
	ctx, cancel := context.WithCancel(ctx)
	traffic := &trafficCounter{}
	l, err := traffic.listen(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	memoryBefore := memoryInUse()
	store := standin.NewMemory()
	job := ticket.TrainerJob{Name: jobName(0), Organisation: "measured", Model: modelPool, BatchSize: batchSize, StalenessBound: 1, MaxTokens: sampleTokens}
	coordinator := trainer.New(ctx, trainer.Deps{
		Store: store, Secret: peerSecret, Generator: instantEngines{},
		View:  func() trainer.Configuration { return soleJob{job} },
		Lease: func(context.Context, string) trainer.Lease { return soleLease{make(chan struct{})} },
		PublishModelVersion: func(context.Context, ticket.ModelVersion) error {
			return nil
		},
	})
	server := web.NewServer(ctx, l)
	app := web.NewApp()
	coordinator.RegisterHTTP(app)
	server.Serve(app)
	defer func() {
		cancel()
		coordinator.Wait()
	}()
	client := trainerClient{base: "http://" + l.Addr().String(), http: &http.Client{Timeout: trainerTimeout}}
	defer client.http.CloseIdleConnections()
	started, processorStart := time.Now(), processorTime()
	if err := client.step(ctx, count); err != nil {
		return nil, err
	}
	elapsed, processorUsed := time.Since(started), processorTime()-processorStart
	return []Metric{
		{Name: nameProcessor + " of a step", Unit: "ms", Value: processorUsed.Seconds() * 1e3},
		{Name: "time of a step", Unit: "ms", Value: elapsed.Seconds() * 1e3},
		{Name: nameMemory, Unit: unitBytes, Value: max(memoryInUse()-memoryBefore, 0)},
		{Name: "bytes to the trainer", Unit: unitBytes, Value: float64(traffic.bytes.Load())},
		{Name: "writes", Unit: unitCount, Value: float64(store.Calls()[standin.KindPut])},
		{Name: "reads", Unit: unitCount, Value: float64(store.Calls()[standin.KindGet] + store.Calls()[standin.KindList])},
	}, nil
}

// trainerClient makes the requests of a trainer.
type trainerClient struct {
	base string
	http *http.Client
	// cursor is the delivery cursor of the latest response. The next request sends it back.
	cursor string
}

// step posts one step and fetches all its batches.
func (c *trainerClient) step(ctx context.Context, count int) error {
	type group struct {
		Prompt  string `json:"prompt"`
		Samples int    `json:"samples"`
	}
	plan := struct {
		Groups []group `json:"groups"`
	}{}
	for i := range count / samplesPerGroup {
		plan.Groups = append(plan.Groups, group{Prompt: fmt.Sprintf("movement log %d", i), Samples: samplesPerGroup})
	}
	body, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	if err := c.call(ctx, http.MethodPost, "/steps/1", string(body)); err != nil {
		return err
	}
	for batch := range (count + batchSize - 1) / batchSize {
		if err := c.call(ctx, http.MethodGet, fmt.Sprintf("/steps/1/batches/%d", batch+1), ""); err != nil {
			return err
		}
	}
	return nil
}

// call repeats a request until it succeeds, because the coordinator refuses requests until it runs the job.
func (c *trainerClient) call(ctx context.Context, method, path, body string) error {
	const tries = 50
	var lastErr error
	for range tries {
		status, content, err := c.send(ctx, method, path, body)
		if err != nil {
			return err
		}
		if status == http.StatusOK {
			return nil
		}
		lastErr = errors.Errorf("%s %s: %d %s", method, path, status, content)
		if err := pause(ctx, settleTime/20); err != nil {
			return err
		}
	}
	return lastErr
}

func (c *trainerClient) send(ctx context.Context, method, path, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+"/v1/trainerJobs/"+jobName(0)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set(fiber.HeaderAuthorization, "Bearer measured")
	if c.cursor != "" {
		request.Header.Set(trainer.HeaderCursor, c.cursor)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if cursor := response.Header.Get(trainer.HeaderCursor); cursor != "" {
		c.cursor = cursor
	}
	return response.StatusCode, string(content[:min(len(content), 200)]), err
}

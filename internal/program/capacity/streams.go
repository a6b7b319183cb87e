package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
)

const (
	streamAgents = 8
	// streamTokenTime gives each stream ten tokens per second.
	streamTokenTime   = 100 * time.Millisecond
	streamMaxTokens   = 4000
	streamSlots       = 512
	streamOpenTimeout = 10 * time.Second
)

// streamExperiment measures the cost of open token streams through a complete entry and complete agents.
type streamExperiment struct{}

// Description implements Experiment.
func (streamExperiment) Description() Description {
	return Description{
		Name: "streams", SizeUnit: "stream",
		Notes: "Serving: streams of ten tokens per second each from engines through eight complete agents and one complete entry to callers. Callers, engines, agents, entry and the control traffic of the deployment together.",
	}
}

// Sizes implements Experiment.
func (streamExperiment) Sizes() []int { return []int{1, 100, 400, 1000} }

// Measure implements Experiment.
func (streamExperiment) Measure(ctx context.Context, count int) ([]Metric, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := deploy(ctx, 1, streamAgents, 0, 0, engine.WithTokenTime(streamTokenTime, 0), engine.WithSlots(streamSlots, streamSlots))
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	memoryBefore := memoryInUse()
	callers := newCallers("http://" + d.entries[0].Listen.String())
	var running conc.WaitGroup
	defer running.Wait()
	defer cancel()
	for i := range count {
		running.Go(func() { callers.read(ctx, i) })
	}
	if err := callers.await(ctx, int64(count)); err != nil {
		return nil, err
	}
	memory := memoryInUse() - memoryBefore
	events, sent, engineBytes := callers.events.Load(), sentBytes(), d.engineTraffic.bytes.Load()
	observed, err := observe(ctx, &d.platformTraffic, observationTime)
	tokens := float64(callers.events.Load()-events) / observed.seconds
	sentRate := float64(sentBytes()-sent) / observed.seconds
	return []Metric{
		{Name: "tokens", Unit: "tokens/s", Value: tokens},
		observed.processorMetric(),
		{Name: "bytes, engine to agent to entry to caller", Unit: unitRate, Value: sentRate - observed.bytes},
		{Name: "bytes, engine to agent", Unit: unitRate, Value: float64(d.engineTraffic.bytes.Load()-engineBytes) / observed.seconds},
		{Name: nameMemory, Unit: unitBytes, Value: max(memory, 0)},
		{Name: "refused", Unit: "streams", Value: float64(callers.refused.Load())},
	}, err
}

// callers reads streams and counts those that are open or refused and the events received.
type callers struct {
	url     string
	http    *http.Client
	open    atomic.Int64
	refused atomic.Int64
	events  atomic.Int64
}

func newCallers(base string) *callers {
	return &callers{
		url:  base + "/v1/models/" + modelPool + "/generate",
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxStreams}},
	}
}

// await waits until all streams are open or refused.
func (c *callers) await(ctx context.Context, count int64) error {
	ctx, cancel := context.WithTimeout(ctx, streamOpenTimeout)
	defer cancel()
	for c.open.Load()+c.refused.Load() < count {
		if err := pause(ctx, settleTime/20); err != nil {
			return errors.Wrapf(err, "%d of %d streams are open, %d refused", c.open.Load(), count, c.refused.Load())
		}
	}
	return nil
}

// read opens one stream and reads it until the stream or the context ends.
func (c *callers) read(ctx context.Context, number int) {
	body, err := json.Marshal(map[string]any{"prompt": fmt.Sprintf("question %d", number), "maxTokens": streamMaxTokens, "stream": true})
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set(fiber.HeaderAuthorization, fmt.Sprintf("Bearer key-%d-0", number%8))
	request.Header.Set("Request-Timeout", "600")
	response, err := c.http.Do(request)
	if err != nil || response.StatusCode != http.StatusOK {
		c.refused.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.open.Add(1)
	c.countEvents(response.Body)
}

var eventEnd = []byte("\n\n")

// countEvents counts the events of a stream until it ends.
func (c *callers) countEvents(body io.Reader) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := body.Read(buffer)
		c.events.Add(int64(bytes.Count(buffer[:n], eventEnd)))
		if err != nil {
			return
		}
	}
}

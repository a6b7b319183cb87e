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
	// streamToken makes each stream emit ten tokens a second.
	streamToken  = 100 * time.Millisecond
	streamTokens = 4000
	streamSlots  = 512
	streamReady  = 10 * time.Second
)

// streams is the cost of open streams of tokens through a whole entry and agents.
type streams struct{}

// About implements Slope.
func (streams) About() About {
	return About{
		Name: "streams", Axis: "stream",
		Notes: "Serving: streams of ten tokens a second each from engines through eight whole agents and one whole entry to callers. Callers, engines, agents, entry and the deployment's control together.",
	}
}

// Sizes implements Slope.
func (streams) Sizes() []int { return []int{1, 100, 400, 1000} }

// Measure implements Slope.
func (streams) Measure(ctx context.Context, count int) ([]Figure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := deploy(ctx, 1, streamAgents, 0, 0, engine.WithTokenTime(streamToken, 0), engine.WithSlots(streamSlots, streamSlots))
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	before := usedMemory()
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
	memory := usedMemory() - before
	chunks, sent, engines := callers.chunks.Load(), sentBytes(), d.engines.bytes.Load()
	seen, err := observe(ctx, &d.platforms, window)
	tokens := float64(callers.chunks.Load()-chunks) / seen.seconds
	all := float64(sentBytes()-sent) / seen.seconds
	return []Figure{
		{Name: "tokens", Unit: "tokens/s", Value: tokens},
		seen.processorFigure(),
		{Name: "bytes, engine to agent to entry to caller", Unit: unitRate, Value: all - seen.bytes},
		{Name: "bytes, engine to agent", Unit: unitRate, Value: float64(d.engines.bytes.Load()-engines) / seen.seconds},
		{Name: nameMemory, Unit: unitBytes, Value: max(memory, 0)},
		{Name: "refused", Unit: "streams", Value: float64(callers.refused.Load())},
	}, err
}

// callers read streams.
type callers struct {
	url     string
	http    *http.Client
	open    atomic.Int64
	refused atomic.Int64
	chunks  atomic.Int64
}

func newCallers(base string) *callers {
	return &callers{
		url:  base + "/v1/models/" + modelPool + "/generate",
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxStreams}},
	}
}

// await waits until all streams are open or refused.
func (c *callers) await(ctx context.Context, count int64) error {
	ctx, cancel := context.WithTimeout(ctx, streamReady)
	defer cancel()
	for c.open.Load()+c.refused.Load() < count {
		if err := pause(ctx, settle/20); err != nil {
			return errors.Wrapf(err, "%d of %d streams are open, %d refused", c.open.Load(), count, c.refused.Load())
		}
	}
	return nil
}

// read reads one stream until the context ends.
func (c *callers) read(ctx context.Context, number int) {
	body, err := json.Marshal(map[string]any{"prompt": fmt.Sprintf("question %d", number), "maxTokens": streamTokens, "stream": true})
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
	c.count(response.Body)
}

var eventEnd = []byte("\n\n")

func (c *callers) count(body io.Reader) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := body.Read(buffer)
		c.chunks.Add(int64(bytes.Count(buffer[:n], eventEnd)))
		if err != nil {
			return
		}
	}
}

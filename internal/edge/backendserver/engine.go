package backendserver

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// dataPrefix starts the line of a server-sent event that carries its data.
const dataPrefix = "data:"

// MaxEventBytes bounds how many bytes an engine's stream may bring without an event.
const MaxEventBytes = 256 << 10

// Engine is the client of one model engine. It is safe for concurrent use.
type Engine struct {
	baseClient
}

// NewEngine returns a client of the engine at the URL.
func NewEngine(baseURL string, opts ...Option) *Engine {
	return &Engine{baseClient: newBaseClient(baseURL, opts)}
}

// Generate calls onToken with each generated token; an error of onToken ends the stream and is
// returned. Generate returns nil only if the stream ended with the engine's closing event and all
// tokens that the event counts have arrived. The error for a stream that broke off is ErrAnswerLost.
func (e *Engine) Generate(ctx context.Context, request GenerateRequest, onToken func(Token) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := e.prepare(req, http.MethodPost, PathGenerate, request); err != nil {
		return err
	}
	stream, err := e.http.Open(ctx, req)
	if err != nil {
		return errors.Wrap(err, request.SampleID)
	}
	defer func() { _ = stream.Close() }()
	if err := statusError(PathGenerate, stream.Status()); err != nil {
		return errors.Wrap(err, request.SampleID)
	}
	if err := readEvents(stream, request.MaxTokens, onToken); err != nil {
		return errors.Wrap(err, request.SampleID)
	}
	return nil
}

// readEvents calls onToken with each token until the closing event. It ends a stream that brings no event, or more than maxTokens.
func readEvents(stream *exchange.Stream, maxTokens int, onToken func(Token) error) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, MaxEventBytes)
	received, unfinished := 0, 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if unfinished += len(lines.Bytes()) + 1; unfinished > MaxEventBytes {
			return errors.Wrapf(ErrAnswerLost, "%d bytes without an event", unfinished)
		}
		if !ok {
			continue
		}
		unfinished = 0
		var event Event
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return errors.Wrapf(ErrAnswerLost, "decode event: %v", err)
		}
		if event.Done {
			return finishStream(stream, event, received)
		}
		if received++; received > maxTokens {
			return errors.Wrapf(ErrAnswerLost, "more than %d tokens", maxTokens)
		}
		if err := onToken(Token{Text: event.Text, Version: event.Version}); err != nil {
			return err
		}
	}
	switch err := lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return errors.Wrapf(ErrAnswerLost, "a line is longer than %d bytes", MaxEventBytes)
	case err != nil:
		return err
	}
	return errors.Wrap(ErrAnswerLost, "stream ended without its closing event")
}

// finishStream checks the closing event against the number of tokens received, and reads the rest of
// the stream, so that its connection can be reused. If the rest is long or late, the connection is closed.
func finishStream(stream *exchange.Stream, event Event, received int) error {
	if event.Tokens != received {
		return errors.Wrapf(ErrAnswerLost, "engine sent %d tokens, %d arrived", event.Tokens, received)
	}
	_ = stream.Discard()
	return nil
}

// Load returns the engine's report of its load, which lags behind its actual load.
func (e *Engine) Load(ctx context.Context) (EngineLoad, error) {
	var load EngineLoad
	err := e.callJSON(ctx, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// Order sends a weight order. The error is ErrFenced if the engine has seen an order of a newer
// lease holder.
func (e *Engine) Order(ctx context.Context, order WeightOrder) error {
	return e.callJSON(ctx, http.MethodPost, PathOrders, order, nil)
}

// Cancel ends the generation of the sample; an unknown sample is not an error.
func (e *Engine) Cancel(ctx context.Context, sampleID string) error {
	return e.callJSON(ctx, http.MethodPost, PathCancel, CancelRequest{SampleID: sampleID}, nil)
}

// CacheEvents returns the cache events published so far with a sequence number above after.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var list CacheEventList
	target := PathCacheEvents + "?" + QueryAfter + "=" + strconv.FormatUint(after, 10)
	err := e.callJSON(ctx, http.MethodGet, target, nil, &list)
	return list.Events, err
}

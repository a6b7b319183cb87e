package backendserver

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// dataField starts the line of a server-sent event that carries its data.
const dataField = "data:"

// maxEventBytes bounds one line of an engine's stream.
const maxEventBytes = 1 << 20

// Engine is the client of one model engine. It is safe for concurrent use.
type Engine struct {
	caller
}

// NewEngine returns a client of the engine at the URL.
func NewEngine(base string, opts ...Option) *Engine {
	return &Engine{caller: newCaller(base, opts)}
}

// Generate streams tokens to each, which may end the stream by an error. It returns nil only after
// the engine's closing event agreed with the number of tokens: a stream that was cut is ErrLost.
func (e *Engine) Generate(ctx context.Context, ask GenerateRequest, each func(Token) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := e.prepare(req, http.MethodPost, PathGenerate, ask); err != nil {
		return err
	}
	stream, err := e.http.Open(ctx, req)
	if err != nil {
		return errors.Wrap(err, ask.SampleID)
	}
	defer func() { _ = stream.Close() }()
	if err := statusError(PathGenerate, stream.Status()); err != nil {
		return errors.Wrap(err, ask.SampleID)
	}
	if err := readEvents(stream, each); err != nil {
		return errors.Wrap(err, ask.SampleID)
	}
	return nil
}

// readEvents hands on tokens until the closing event.
func readEvents(stream io.Reader, each func(Token) error) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxEventBytes)
	received := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataField)
		if !ok {
			continue
		}
		var event Event
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return errors.Wrapf(ErrLost, "event: %v", err)
		}
		if event.Done {
			return closing(stream, event, received)
		}
		received++
		if err := each(Token{Text: event.Text, Version: event.Version}); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.Wrap(ErrLost, "stream ended without its closing event")
}

// closing reads the stream to its end, so that its connection can be used again.
func closing(stream io.Reader, event Event, received int) error {
	if event.Tokens != received {
		return errors.Wrapf(ErrLost, "engine sent %d tokens, %d arrived", event.Tokens, received)
	}
	_, err := io.Copy(io.Discard, stream)
	return err
}

// Load returns the engine's lagging report.
func (e *Engine) Load(ctx context.Context) (EngineLoad, error) {
	var load EngineLoad
	err := e.ask(ctx, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// Order gives a weight order; ErrFenced says that a newer holder has given one.
func (e *Engine) Order(ctx context.Context, order WeightOrder) error {
	return e.ask(ctx, http.MethodPost, PathOrders, order, nil)
}

// Cancel ends the generation of the sample; cancelling an unknown sample is no error.
func (e *Engine) Cancel(ctx context.Context, sampleID string) error {
	return e.ask(ctx, http.MethodPost, PathCancel, CancelRequest{SampleID: sampleID}, nil)
}

// CacheEvents returns the events after the sequence number that the engine has published so far.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var list CacheEventList
	target := PathCacheEvents + "?" + QueryAfter + "=" + strconv.FormatUint(after, 10)
	err := e.ask(ctx, http.MethodGet, target, nil, &list)
	return list.Events, err
}

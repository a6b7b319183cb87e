package backendserver

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// Option changes a client under construction.
type Option = exchange.Option

// caller sends JSON to one server.
type caller struct {
	base string
	http *exchange.Client
}

func newCaller(base string, opts []Option) caller {
	return caller{base: strings.TrimSuffix(base, "/"), http: exchange.NewClient(opts...)}
}

// Close closes the idle connections.
func (c caller) Close() {
	c.http.Close()
}

// ask sends the body as JSON, and decodes the answer into the pointer unless it is nil.
func (c caller) ask(ctx context.Context, method, target string, body, into any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.prepare(req, method, target, body); err != nil {
		return err
	}
	if err := c.http.Do(ctx, req, resp); err != nil {
		return errors.Wrap(err, target)
	}
	if err := statusError(target, resp.StatusCode()); err != nil || into == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), into), target)
}

func (c caller) prepare(req *fasthttp.Request, method, target string, body any) error {
	req.SetRequestURI(c.base + target)
	req.Header.SetMethod(method)
	if method == http.MethodGet {
		return nil
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(ErrNotSent, "%s: %v", target, err)
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(raw)
	return nil
}

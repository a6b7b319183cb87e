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

// Option configures a client.
type Option = exchange.Option

// baseClient calls one server over HTTP. The clients of all kinds of servers embed it.
type baseClient struct {
	// baseURL is the URL of the server without a slash at its end.
	baseURL string
	http    *exchange.Client
}

func newBaseClient(baseURL string, opts []Option) baseClient {
	return baseClient{baseURL: strings.TrimSuffix(baseURL, "/"), http: exchange.NewClient(opts...)}
}

// Close closes the idle connections; calls that are running end with their contexts.
func (c baseClient) Close() {
	c.http.Close()
}

// callJSON sends the body as JSON and decodes the answer into result, a pointer, unless it is nil.
func (c baseClient) callJSON(ctx context.Context, method, target string, body, result any) error {
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
	if err := statusError(target, resp.StatusCode()); err != nil || result == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), result), target)
}

// prepare fills in the request; the body, encoded as JSON, is left out of a GET request.
func (c baseClient) prepare(req *fasthttp.Request, method, target string, body any) error {
	req.SetRequestURI(c.baseURL + target)
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

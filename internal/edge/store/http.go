package store

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// HTTPTransport sends calls over HTTP to one address.
type HTTPTransport struct {
	address netip.AddrPort
	do      func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error
}

// NewHTTPTransport returns a transport to the address.
func NewHTTPTransport(address netip.AddrPort, client *exchange.Client) *HTTPTransport {
	return &HTTPTransport{address: address, do: client.Do}
}

// NewExpiringTransport returns a transport to the address for calls that must not arrive after the deadline of their context, which they need.
// exchange.Client.DoExpiring describes how that is kept.
func NewExpiringTransport(address netip.AddrPort, client *exchange.Client) *HTTPTransport {
	return &HTTPTransport{address: address, do: client.DoExpiring}
}

// Send sends the call once, without retries. The error is a product.ErrUnavailable if the call was not sent, else a
// product.ErrOutcomeUnknown.
func (h *HTTPTransport) Send(ctx context.Context, call platform.Call) (platform.Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + h.address.String() + call.Target)
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(call.Method)
	for i := 0; i+1 < len(call.Header); i += 2 {
		req.Header.Set(call.Header[i], call.Header[i+1])
	}
	req.SetBodyRaw(call.Body)
	err := h.do(ctx, req, resp)
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		return platform.Reply{}, errors.Wrapf(product.ErrUnavailable, "%s %s: %v", call.Method, call.Target, err)
	case err != nil:
		return platform.Reply{}, errors.Wrapf(product.ErrOutcomeUnknown, "%s %s: %v", call.Method, call.Target, err)
	default:
		return platform.Reply{Status: resp.StatusCode(), Body: resp.Body()}, nil
	}
}

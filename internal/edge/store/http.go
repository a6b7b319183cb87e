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
	client  *exchange.Client
}

// NewHTTPTransport returns a transport to the address.
func NewHTTPTransport(address netip.AddrPort, client *exchange.Client) *HTTPTransport {
	return &HTTPTransport{address: address, client: client}
}

// Send sends the call once, without retries. A write needs a context with a deadline, after which it doesn't arrive any more. The error is a product.ErrUnavailable if the call was not sent, else a
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
	do := h.client.Do
	if call.Writes() {
		do = h.client.DoExpiring
	}
	err := do(ctx, req, resp)
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		return platform.Reply{}, errors.Wrapf(product.ErrUnavailable, "%s %s: %v", call.Method, call.Target, err)
	case err != nil:
		return platform.Reply{}, errors.Wrapf(product.ErrOutcomeUnknown, "%s %s: %v", call.Method, call.Target, err)
	default:
		return platform.Reply{Status: resp.StatusCode(), Body: resp.Body()}, nil
	}
}

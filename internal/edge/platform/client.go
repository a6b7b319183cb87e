package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// ErrTooLarge is returned for a value above the platform's limit; nothing was written.
var ErrTooLarge = errors.New("value too large")

// DefaultCallTimeout bounds a call whose context has no earlier deadline. The platform usually answers within
// milliseconds; the answer to a call that takes longer than this counts as lost.
const DefaultCallTimeout = 5 * time.Second

// maxAnswerBytes bounds an answer in bytes. A list isn't divided into pages: the usage counts of one window alone may take 4.4 MB.
const maxAnswerBytes = 64 << 20

// Paths of the platform's HTTP interface.
const (
	PathObjects      = "/v1/objects"
	PathWatch        = "/v1/watch"
	PathServerOrders = "/v1/serverOrders"
	PathUsageReports = "/v1/usageReports"
	PathHosts        = "/v1/hosts"
)

// Query parameters of the platform's HTTP interface.
const (
	QueryIfVersion = "ifVersion"
	QueryPrefix    = "prefix"
	QueryAfter     = "after"
	QueryWait      = "waitMilliseconds"
)

// ObjectListResponse is the body of the response to a list of objects.
type ObjectListResponse struct {
	Objects []Object `json:"objects"`
}

// WriteResponse is the body of the response to a write of an object.
type WriteResponse struct {
	Version Version `json:"version"`
}

// HostListResponse is the body of the response to a read of the host list.
type HostListResponse struct {
	Hosts []Host `json:"hosts"`
}

// Client calls the platform over HTTP. It never sends a request twice.
type Client struct {
	base    string
	timeout time.Duration
	http    *exchange.Client
}

var _ Platform = (*Client)(nil)

// ClientOption changes a client under construction.
type ClientOption func(*Client)

// WithCallTimeout bounds each call in addition to its context; a watch may take longer by the time that it may wait.
func WithCallTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.timeout = timeout }
}

// NewClient returns a client of the platform at the URL.
func NewClient(base string, opts ...ClientOption) *Client {
	client := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: DefaultCallTimeout,
		// An answer and the copy in one piece are held at the same time.
		http: exchange.NewClient(exchange.WithMaxBody(maxAnswerBytes), exchange.WithMemory(exchange.NewMemory(2*maxAnswerBytes))),
	}
	for _, opt := range opts {
		opt(client)
	}
	return client
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	var object Object
	err := c.read(ctx, c.timeout, objectPath(PathObjects, name), nil, &object)
	return object, errors.Wrap(err, name)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var list ObjectListResponse
	err := c.read(ctx, c.timeout, PathObjects, url.Values{QueryPrefix: {prefix}}, &list)
	return list.Objects, errors.Wrap(err, prefix)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, value json.RawMessage, ifVersion Version) (Version, error) {
	var written WriteResponse
	query := url.Values{QueryIfVersion: {formatVersion(ifVersion)}}
	err := c.write(ctx, http.MethodPut, objectPath(PathObjects, name), query, value, &written)
	return written.Version, errors.Wrap(err, name)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, name string, ifVersion Version) error {
	query := url.Values{QueryIfVersion: {formatVersion(ifVersion)}}
	err := c.write(ctx, http.MethodDelete, objectPath(PathObjects, name), query, nil, nil)
	return errors.Wrap(err, name)
}

// Watch implements Store by a long poll.
func (c *Client) Watch(ctx context.Context, name string, after Version, wait time.Duration) (Object, error) {
	var object Object
	query := url.Values{
		QueryAfter: {formatVersion(after)},
		QueryWait:  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err := c.read(ctx, c.timeout+wait, objectPath(PathWatch, name), query, &object)
	return object, errors.Wrap(err, name)
}

// Order implements ServerOrders.
func (c *Client) Order(ctx context.Context, order ServerOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrapf(err, "%s/%s", order.AvailabilityZone, order.Pool)
	}
	err = c.write(ctx, http.MethodPut, PathServerOrders, nil, body, nil)
	return errors.Wrapf(err, "%s/%s", order.AvailabilityZone, order.Pool)
}

// Report implements UsageReports.
func (c *Client) Report(ctx context.Context, name string, raw json.RawMessage) error {
	err := c.write(ctx, http.MethodPut, objectPath(PathUsageReports, name), nil, raw, nil)
	return errors.Wrap(err, name)
}

// Hosts implements HostList.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var rows HostListResponse
	err := c.read(ctx, c.timeout, PathHosts, nil, &rows)
	return rows.Hosts, errors.Wrap(err, "host list")
}

// read makes a call without effect. Every lost answer is an ErrUnavailable, because a read has no effect whose outcome could be unknown.
func (c *Client) read(ctx context.Context, timeout time.Duration, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.call(ctx, c.http.Do, http.MethodGet, path, query, nil, into)
	if errors.Is(err, exchange.ErrNotSent) || errors.Is(err, exchange.ErrAnswerLost) || errors.Is(err, ErrOutcomeUnknown) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return err
}

// write makes a call with an effect, which has none after the call has timed out unless it reached the platform before. It returns ErrUnavailable for a write that can't have been sent, and
// ErrOutcomeUnknown for one whose answer was lost. If a lost answer counted as a failed write, the caller might write
// twice. If an unsent write counted as lost, the caller would try to find out the effect of a write that never took place.
func (c *Client) write(
	ctx context.Context, method, path string, query url.Values, body []byte, into any,
) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := c.call(ctx, c.http.DoExpiring, method, path, query, body, into)
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		return errors.Wrap(ErrUnavailable, err.Error())
	case errors.Is(err, exchange.ErrAnswerLost):
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	default:
		return err
	}
}

// doer sends a request and reads its answer.
type doer func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error

// call sends one request and decodes the response into into, unless that is nil.
func (c *Client) call(
	ctx context.Context, do doer, method, path string, query url.Values, body []byte, into any,
) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req.SetRequestURI(target)
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := do(ctx, req, resp); err != nil {
		return err
	}
	if err := statusError(resp.StatusCode()); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return errors.Wrapf(ErrOutcomeUnknown, "answer is no JSON: %v", err)
	}
	return nil
}

// statusError maps a status to the errors of the platform. A write may have taken effect after a 5xx status other than 503.
func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusPreconditionFailed, status == http.StatusForbidden:
		return ErrFenced
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	case status >= http.StatusInternalServerError:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", status)
	default:
		return errors.Errorf("platform answered status %d", status)
	}
}

func objectPath(parent, name string) string {
	return parent + "/" + url.PathEscape(name)
}

func formatVersion(version Version) string {
	return strconv.FormatUint(uint64(version), 10)
}

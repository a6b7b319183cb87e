// Package scenario runs the main use case of a deployment against running processes, acting as its operators, callers
// and trainers, and records what each of them received.
package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	defaultTimeout = 30 * time.Second
	pollInterval   = 100 * time.Millisecond
)

// httpResponse is a complete HTTP response.
type httpResponse struct {
	Status int
	Header map[string]string
	Body   []byte
}

// client sends requests to one base URL. It never retries a request.
type client struct {
	http *fasthttp.Client
	base string
}

func newClient(base string) *client {
	return &client{
		base: base,
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// send sends one request with headers given as name-value pairs. Without a deadline in ctx it times out after
// defaultTimeout.
func (c *client) send(ctx context.Context, method, path string, body []byte, header ...string) (httpResponse, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.base + path)
	request.Header.SetMethod(method)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	request.SetBody(body)
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(defaultTimeout)
	}
	if err := c.http.DoDeadline(request, response, end); err != nil {
		return httpResponse{}, errors.Wrapf(err, "%s %s", method, path)
	}
	result := httpResponse{Status: response.StatusCode(), Header: map[string]string{}, Body: append([]byte(nil), response.Body()...)}
	for name, value := range response.Header.All() {
		result.Header[string(name)] = string(value)
	}
	return result, nil
}

// decode decodes the JSON body of a 200 response; any other status is an error that includes the body.
func decode[T any](response httpResponse, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if response.Status != http.StatusOK {
		return value, errors.Errorf("status %d: %s", response.Status, response.Body)
	}
	return value, errors.Wrapf(json.Unmarshal(response.Body, &value), "response %q", response.Body)
}

// waitUntil repeats check until it returns true. After timeout it returns an error that wraps the last error of check.
func waitUntil(ctx context.Context, condition string, timeout time.Duration, check func(ctx context.Context) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var lastErr error
	for {
		done, err := check(ctx)
		if done {
			return nil
		}
		if err != nil {
			lastErr = err
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			if lastErr == nil {
				return errors.Errorf("waiting for %s: timed out after %v", condition, timeout)
			}
			return errors.Wrapf(lastErr, "waiting for %s: timed out after %v", condition, timeout)
		case <-timer.C:
		}
	}
}

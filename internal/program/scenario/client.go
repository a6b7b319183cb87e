// Package scenario plays the main job of a deployment against running processes, as its operators, callers and
// trainers would, and writes down what each of them received.
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

// httpAnswer is one whole HTTP answer.
type httpAnswer struct {
	Status int
	Header map[string]string
	Body   []byte
}

// client sends requests to one URL; it never repeats one by itself.
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

// do sends one request with the headers given as name, value, name, value.
func (c *client) do(ctx context.Context, method, path string, body []byte, header ...string) (httpAnswer, error) {
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
		return httpAnswer{}, errors.Wrapf(err, "%s %s", method, path)
	}
	answer := httpAnswer{Status: response.StatusCode(), Header: map[string]string{}, Body: append([]byte(nil), response.Body()...)}
	for name, value := range response.Header.All() {
		answer.Header[string(name)] = string(value)
	}
	return answer, nil
}

// decode reads a good JSON answer; any other is an error that shows the refusal.
func decode[T any](answer httpAnswer, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if answer.Status != http.StatusOK {
		return value, errors.Errorf("answered %d: %s", answer.Status, answer.Body)
	}
	return value, errors.Wrapf(json.Unmarshal(answer.Body, &value), "answer %q", answer.Body)
}

// until repeats check until it returns true or the time is up.
func until(ctx context.Context, what string, limit time.Duration, check func(ctx context.Context) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var last error
	for {
		done, err := check(ctx)
		if done {
			return nil
		}
		if err != nil {
			last = err
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			if last == nil {
				return errors.Errorf("%s: not within %v", what, limit)
			}
			return errors.Wrapf(last, "%s: not within %v", what, limit)
		case <-timer.C:
		}
	}
}

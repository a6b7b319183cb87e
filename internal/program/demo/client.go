package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 5 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// callerRequest is a request of a caller or trainer.
type callerRequest struct {
	method, path, key, id, body string
	// wait is how long the gateway may delay its response to a read of results until there are new ones; 0 requests no delay.
	wait time.Duration
}

// response is a response with its complete body.
type response struct {
	status int
	header http.Header
	body   string
}

// client sends requests for one host name, as callers do. It never retries a request.
type client struct {
	http http.Client
	host string
}

func newClient(host string) *client {
	return &client{host: host, http: http.Client{Timeout: 2 * requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *client) send(ctx context.Context, target *runningGateway, r callerRequest) (response, error) {
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+target.settings.Listen.String()+r.path, bytes.NewBufferString(r.body))
	if err != nil {
		return response{}, errors.Wrap(err, r.path)
	}
	request.Host = c.host
	platformtest.SetCallerHeaders(request, r.id, r.key, requestTimeout)
	if r.wait > 0 {
		platformtest.SetMaxWait(request, r.wait)
	}
	got, err := c.http.Do(request)
	if err != nil {
		return response{}, errors.Wrap(err, r.path)
	}
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(got.Body)
	return response{status: got.StatusCode, header: got.Header, body: string(body)}, errors.Wrap(err, r.path)
}

// refusal decodes the response to a request that must be refused with the status want; name is the name of the check.
func (r response) refusal(name string, want int) (RefusalResult, error) {
	result := RefusalResult{Name: name, Status: r.status, Want: want}
	err := json.Unmarshal([]byte(r.body), &result)
	return result, errors.Wrapf(err, "%s: response with status %d and body %q", name, r.status, r.body)
}

// waitUntil polls condition until it returns true. It returns an error that names the condition after limit or when ctx ends.
func waitUntil(ctx context.Context, name string, limit time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !condition() {
		if !ticker.Sleep(ctx, pollInterval) {
			return errors.Errorf("waiting for %s: not met within %v", name, limit)
		}
	}
	return nil
}

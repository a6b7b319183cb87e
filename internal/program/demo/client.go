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
	// patience is how long a caller waits for its answer.
	patience     = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

// question is one request of a caller or trainer.
type question struct {
	method, path, key, id, body string
	// wait lets a read of results be held back.
	wait time.Duration
}

// answer is what came back.
type answer struct {
	status int
	header http.Header
	body   string
}

// client asks as the callers of one host name do; it never repeats a request by itself.
type client struct {
	http http.Client
	host string
}

func newClient(host string) *client {
	return &client{host: host, http: http.Client{Timeout: 2 * patience, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *client) ask(ctx context.Context, at *entry, q question) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, q.method, "http://"+at.set.Listen.String()+q.path, bytes.NewBufferString(q.body))
	if err != nil {
		return answer{}, errors.Wrap(err, q.path)
	}
	request.Host = c.host
	platformtest.SetCallerHeaders(request, q.id, q.key, patience)
	if q.wait > 0 {
		platformtest.SetMaxWait(request, q.wait)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, errors.Wrap(err, q.path)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}, errors.Wrap(err, q.path)
}

// refusal decodes the answer to a refused request.
func (a answer) refusal(what string, want int) (RefusalSeen, error) {
	seen := RefusalSeen{What: what, Status: a.status, Want: want}
	err := json.Unmarshal([]byte(a.body), &seen)
	return seen, errors.Wrapf(err, "%s: answered %d %q", what, a.status, a.body)
}

// until repeats holds until it returns true, the time is up or ctx ends.
func until(ctx context.Context, what string, limit time.Duration, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds() {
		if !ticker.Sleep(ctx, pollInterval) {
			return errors.Errorf("%s: not within %v", what, limit)
		}
	}
	return nil
}

package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// submitTimeout is how long a trainer waits for the answer to a call, beside the wait that it asks for.
	submitTimeout = 1500 * time.Millisecond
	readWait      = time.Second
	readPause     = 500 * time.Millisecond
	maxAttempts   = 20
)

// Result is a listed result of a batch job.
type Result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// Job is a batch job of a trainer.
type Job struct {
	ID string
	// Groups holds the item ids of each group, and Desired is the number of groups that the trainer waits for.
	Groups  [][]string
	Desired int
	// Results are the results that the trainer has read.
	Results []Result
}

// NewJob returns a job whose groups have four items each.
func NewJob(id string, groups, desired int) *Job {
	j := &Job{ID: id, Desired: desired}
	for g := range groups {
		var items []string
		for i := range 4 {
			items = append(items, fmt.Sprintf("%s-%02d%d", id, g, i))
		}
		j.Groups = append(j.Groups, items)
	}
	return j
}

// Listed reports whether the item has been read as listed.
func (j *Job) Listed(item string) bool {
	for _, result := range j.Results {
		if result.ID == item {
			return true
		}
	}
	return false
}

// Complete returns the number of groups of which all items are listed.
func (j *Job) Complete() int {
	complete := 0
	for _, group := range j.Groups {
		listed := 0
		for _, item := range group {
			if j.Listed(item) {
				listed++
			}
		}
		if listed == len(group) {
			complete++
		}
	}
	return complete
}

// call sends a call of a trainer on a new connection.
func (env *Env) call(ctx context.Context, g *Gateway, method, target, id string, body []byte, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+submitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, g.URL+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, target)
	}
	request.Host = Host
	request.Close = true
	request.Header.Set("X-Credential", Key)
	if id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if wait > 0 {
		request.Header.Set("X-Wait-Ms", fmt.Sprint(wait.Milliseconds()))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, target)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, errors.Wrap(err, target)
}

// Submit submits a job, and repeats that at another gateway until it is accepted.
func (env *Env) Submit(ctx context.Context, j *Job, step int) error {
	var items []any
	for g, group := range j.Groups {
		for _, item := range group {
			items = append(items, map[string]any{
				"id": item, "path": JobPrefix + item, "body": []byte("prompt of " + item), "tokens": 40, "group": fmt.Sprintf("%s-g%d", j.ID, g),
				"headers": map[string]string{"X-Model": Model, "X-Token-Count": "20,20", "X-Prompt-Prefix": "9c2e41:20"},
			})
		}
	}
	body, err := json.Marshal(map[string]any{"step": step, "model": Model, "min_version": 1, "desired": j.Desired, "items": items})
	if err != nil {
		return errors.Wrap(err, j.ID)
	}
	for attempt := range maxAttempts {
		g := env.Gateways[attempt%len(env.Gateways)]
		status, _, err := env.call(ctx, g, http.MethodPost, JobPrefix+j.ID, j.ID, body, 0)
		env.Record("batch job %s with %d items sent to %s: status %d, error %v", j.ID, len(items), g.Name, status, err)
		if status == http.StatusAccepted {
			return nil
		}
		if !env.Pause(readPause) {
			break
		}
	}
	return errors.Errorf("batch job %s was not accepted", j.ID)
}

// Read reads results of a job until done returns true or the time is over; false in the latter case.
func (env *Env) Read(ctx context.Context, j *Job, until time.Time, done func() bool) bool {
	for n := 0; time.Now().Before(until); n++ {
		g := env.Gateways[n%len(env.Gateways)]
		target := fmt.Sprintf("/lots/%s?after=%d", j.ID, len(j.Results))
		status, body, err := env.call(ctx, g, http.MethodGet, target, "", nil, readWait)
		var answer struct {
			Results []Result `json:"results"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(body, &answer) == nil {
			j.Results = append(j.Results, answer.Results...)
		}
		env.Record("batch job %s read at %s: status %d, %d results, error %v", j.ID, g.Name, status, len(answer.Results), err)
		if done() {
			return true
		}
		if len(answer.Results) == 0 && !env.Pause(readPause) {
			return false
		}
	}
	return false
}

// End ends a job.
func (env *Env) End(ctx context.Context, j *Job) {
	for attempt := range maxAttempts {
		g := env.Gateways[attempt%len(env.Gateways)]
		status, _, err := env.call(ctx, g, http.MethodDelete, "/lots/"+j.ID, "", nil, 0)
		env.Record("batch job %s ended at %s: status %d, error %v", j.ID, g.Name, status, err)
		if status == http.StatusOK || !env.Pause(readPause) {
			return
		}
	}
}

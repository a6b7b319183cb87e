package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
)

const (
	trainerSteps    = 5
	groupsPerStep   = 6
	samplesPerGroup = 8
	// The fault is injected after the trainer has received batch faultBatch of step faultStep, while later batches are
	// still being generated.
	faultStep         = 2
	faultBatch        = 2
	stalenessBound    = 1
	batchTimeout      = 60 * time.Second
	requestTimeout    = 15 * time.Second
	outageDuration    = 30 * time.Second
	coordinatorFreeze = 9 * time.Second
	headerCursor      = "Delivery-Cursor"
)

// trainer fetches the batches of a job from all entries in turn. With each request it sends the delivery cursor that it last received.
type trainer struct {
	c           *cluster
	d           scenario.Deployment
	attempts    int
	cursor      string
	version     int
	deliveries  map[string]int
	longestWait time.Duration
	// steps holds the request bodies of the posted steps by number.
	// outage says that the test includes an outage of the platform, in which a step may be lost with its coordinator.
	// reposted counts how often a lost step was posted again.
	steps    map[int]string
	outage   bool
	reposted int
}

// trainerBatch contains the fields of a batch that a trainer reads.
type trainerBatch struct {
	Last    bool `json:"last"`
	Samples []struct {
		ID    string `json:"sampleId"`
		Spans []struct {
			Version int `json:"version"`
		} `json:"spans"`
	} `json:"samples"`
}

// try sends one request to the next entry and returns its status and body; the status is 0 if the connection fails.
func (tr *trainer) try(method, path, body string) (int, []byte) {
	entries := tr.c.topology.Targets().Entries
	tr.attempts++
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, entries[tr.attempts%len(entries)]+"/v1/trainerJobs/"+tr.d.Job+path,
		strings.NewReader(body))
	if err != nil {
		tr.c.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+tr.d.Key(tr.d.Trainer))
	request.Header.Set("Request-Timeout", "10")
	if tr.cursor != "" {
		request.Header.Set(headerCursor, tr.cursor)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	if cursor := response.Header.Get(headerCursor); cursor != "" && response.StatusCode == http.StatusOK {
		tr.cursor = cursor
	}
	return response.StatusCode, content
}

// retry repeats a request until it is answered 200 and returns the body. It calls onFailure after every other outcome.
// The test fails after batchTimeout.
func (tr *trainer) retry(method, path, body string, onFailure func(status int, content string)) []byte {
	started := time.Now()
	last := ""
	for time.Since(started) < batchTimeout {
		status, content := tr.try(method, path, body)
		if status == http.StatusOK {
			tr.longestWait = max(tr.longestWait, time.Since(started))
			return content
		}
		last = fmt.Sprintf("%d %s", status, content)
		onFailure(status, last)
		time.Sleep(100 * time.Millisecond)
	}
	tr.c.t.Fatalf("%s %s: %s", method, path, last)
	return nil
}

// postStep posts a step and keeps its body for reposting.
func (tr *trainer) postStep(step int) {
	type group struct {
		Prompt  string `json:"prompt"`
		Samples int    `json:"samples"`
	}
	groups := []group{}
	for i := range groupsPerStep {
		groups = append(groups, group{Prompt: fmt.Sprintf("step %d group %d", step, i), Samples: samplesPerGroup})
	}
	body, err := json.Marshal(map[string]any{"groups": groups, "maxTokens": 12})
	if err != nil {
		tr.c.t.Fatal(err)
	}
	tr.steps[step] = string(body)
	tr.retry(http.MethodPost, fmt.Sprintf("/steps/%d", step), string(body), func(int, string) {})
}

// fetchBatch requests a batch until it is delivered. A coordinator that doesn't know the step answers that it must be
// posted first: the previous coordinator was lost in an outage before it could store the step. The trainer then posts
// the step again, as docs/REFERENCE.md tells trainers to. Without an outage no step may be lost.
func (tr *trainer) fetchBatch(step, number int) []byte {
	path := fmt.Sprintf("/steps/%d/batches/%d", step, number)
	return tr.retry(http.MethodGet, path, "", func(status int, content string) {
		if status != http.StatusNotFound || !strings.Contains(content, "post it first") {
			return
		}
		if !tr.outage {
			tr.c.t.Fatalf("GET %s: step lost without an outage: %s", path, content)
		}
		tr.reposted++
		tr.try(http.MethodPost, fmt.Sprintf("/steps/%d", step), tr.steps[step])
	})
}

// postVersion publishes the next model version once; if that fails, as it may during an outage, the trainer continues
// with the current version.
func (tr *trainer) postVersion() {
	next := tr.version + 1
	status, _ := tr.try(http.MethodPost, "/modelVersions", fmt.Sprintf(`{"version":%d,"weights":"%s/%d"}`, next, tr.d.Model, next))
	if status == http.StatusOK {
		tr.version = next
	}
}

// takeBatch fetches a batch, runs between if it isn't nil, fetches the batch again and checks that both are identical
// and that no sample is too stale. It returns whether the batch is the step's last.
func (tr *trainer) takeBatch(step, number int, between func()) bool {
	first := tr.fetchBatch(step, number)
	if between != nil {
		between()
	}
	if repeat := tr.fetchBatch(step, number); !bytes.Equal(first, repeat) {
		tr.c.t.Errorf("batch %d of step %d differs when requested again:\n%s\n%s", number, step, first, repeat)
	}
	var batch trainerBatch
	if err := json.Unmarshal(first, &batch); err != nil {
		tr.c.t.Fatal(err)
	}
	for _, sample := range batch.Samples {
		tr.deliveries[sample.ID]++
		for _, span := range sample.Spans {
			if span.Version < tr.version-stalenessBound {
				tr.c.t.Errorf("%s was generated by version %d but delivered at version %d", sample.ID, span.Version, tr.version)
			}
		}
	}
	return batch.Last
}

// coordinator waits until an entry holds the job's lease and returns its host id.
func (c *cluster) coordinator(d scenario.Deployment) string {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, host := range c.topology.Entries {
			response, err := http.Get("http://" + host.AdminListen.String() + "/debug/state")
			if err != nil {
				continue
			}
			content, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil && holdsDuty(content, "trainerJob/"+d.Job) {
				return host.HostID
			}
		}
	}
	c.t.Fatal("no entry coordinates the job")
	return ""
}

// holdsDuty reports whether a state dump shows, at any depth, that the host holds the duty's lease.
func holdsDuty(dump []byte, duty string) bool {
	var value any
	if json.Unmarshal(dump, &value) != nil {
		return false
	}
	return findHeldDuty(value, duty)
}

func findHeldDuty(value any, duty string) bool {
	fields, ok := value.(map[string]any)
	if !ok {
		return false
	}
	if fields["duty"] == duty && fields["held"] == true {
		return true
	}
	for _, inner := range fields {
		if findHeldDuty(inner, duty) {
			return true
		}
	}
	return false
}

// Guards against samples that are delivered twice, lost or generated by stale weights, and against a trainer that never
// makes progress again. In the middle of a step the entry that coordinates the job is killed, or frozen for longer than
// its lease lasts and resumed, or the platform is down for 30 s, during which the coordinator may also be killed or
// frozen. The trainer continues with whichever entry answers.
func TestTrainerGetsEachSampleOnceDuringFaults(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		outage bool
		fault  func(c *cluster, coordinator string)
	}{
		{"coordinator killed", false, func(c *cluster, coordinator string) { c.signal(coordinator, syscall.SIGKILL) }},
		{"coordinator frozen and resumed", false, freeze},
		{"platform down for long", true, func(c *cluster, _ string) { c.outage() }},
		{"coordinator frozen and resumed while the platform is down", true, func(c *cluster, coordinator string) {
			c.outage()
			freeze(c, coordinator)
		}},
		{"coordinator killed while the platform is down", true, func(c *cluster, coordinator string) {
			c.outage()
			c.signal(coordinator, syscall.SIGKILL)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := scenario.Sahil()
			c := newPreparedCluster(t, d)
			tr := &trainer{c: c, d: d, version: 1, deliveries: map[string]int{}, steps: map[int]string{}, outage: test.outage}
			for step := 1; step <= trainerSteps; step++ {
				tr.postStep(step)
				for number, last := 1, false; !last; number++ {
					var between func()
					if step == faultStep && number == faultBatch {
						between = func() { test.fault(c, c.coordinator(d)) }
					}
					last = tr.takeBatch(step, number, between)
				}
				tr.postVersion()
			}
			tr.check()
		})
	}
}

// freeze stops a process and resumes it after longer than a lease lasts.
func freeze(c *cluster, name string) {
	c.signal(name, syscall.SIGSTOP)
	c.afterFunc(coordinatorFreeze, func() { c.signal(name, syscall.SIGCONT) })
}

// outage starts an outage of the platform that ends after outageDuration.
func (c *cluster) outage() {
	c.injectFault(c.topology.Targets().Platform, `{"outage":true}`)
	c.afterFunc(outageDuration, func() { c.injectFault(c.topology.Targets().Platform, `{"outage":false}`) })
}

// check verifies that every sample was delivered exactly once.
func (tr *trainer) check() {
	tr.c.t.Helper()
	for id, count := range tr.deliveries {
		if count != 1 {
			tr.c.t.Errorf("%s was delivered %d times", id, count)
		}
	}
	if want := trainerSteps * groupsPerStep * samplesPerGroup; len(tr.deliveries) != want {
		tr.c.t.Errorf("%d samples delivered, want %d", len(tr.deliveries), want)
	}
	tr.c.t.Logf("%d samples delivered up to version %d; longest wait %v, steps posted again: %d", len(tr.deliveries), tr.version,
		tr.longestWait.Round(time.Millisecond), tr.reposted)
}

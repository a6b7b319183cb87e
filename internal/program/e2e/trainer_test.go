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
	trainerSteps   = 5
	trainerGroups  = 6
	trainerSamples = 8
	// faultStep and faultBatch are when the fault comes: a batch is in the trainer's hands and others are under way.
	faultStep    = 2
	faultBatch   = 2
	stalenessOf  = 1
	batchLimit   = 60 * time.Second
	trainerTry   = 15 * time.Second
	longOutage   = 30 * time.Second
	longFreeze   = 9 * time.Second
	headerCursor = "Delivery-Cursor"
)

// trainer takes the batches of a job from all entries in turn, with the cursor that it was given.
type trainer struct {
	c       *cluster
	d       scenario.Deployment
	asked   int
	cursor  string
	version int
	seen    map[string]int
	longest time.Duration
	// steps are the bodies of the steps posted so far; outage is set if the platform is down at a time, so that a step may be lost with
	// its coordinator, and reposted counts the steps that were posted again for that.
	steps    map[int]string
	outage   bool
	reposted int
}

// trainerBatch is a batch as a trainer reads it.
type trainerBatch struct {
	Last    bool `json:"last"`
	Samples []struct {
		ID    string `json:"sampleId"`
		Spans []struct {
			Version int `json:"version"`
		} `json:"spans"`
	} `json:"samples"`
}

// try sends one request to the next entry; a connection that fails counts as no answer.
func (r *trainer) try(method, path, body string) (int, []byte) {
	entries := r.c.topology.Targets().Entries
	r.asked++
	ctx, cancel := context.WithTimeout(context.Background(), trainerTry)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, entries[r.asked%len(entries)]+"/v1/trainerJobs/"+r.d.Job+path, strings.NewReader(body))
	if err != nil {
		r.c.t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+r.d.Key(r.d.Trainer))
	q.Header.Set("Request-Timeout", "10")
	if r.cursor != "" {
		q.Header.Set(headerCursor, r.cursor)
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	if cursor := response.Header.Get(headerCursor); cursor != "" && response.StatusCode == http.StatusOK {
		r.cursor = cursor
	}
	return response.StatusCode, content
}

// must repeats a request until it is answered well. What other answers ask for is done before each repetition.
func (r *trainer) must(method, path, body string, answered func(status int, content string)) []byte {
	started := time.Now()
	last := ""
	for time.Since(started) < batchLimit {
		status, content := r.try(method, path, body)
		if status == http.StatusOK {
			r.longest = max(r.longest, time.Since(started))
			return content
		}
		last = fmt.Sprintf("%d %s", status, content)
		answered(status, last)
		time.Sleep(100 * time.Millisecond)
	}
	r.c.t.Fatalf("%s %s: %s", method, path, last)
	return nil
}

func (r *trainer) postStep(step int) {
	type group struct {
		Prompt  string `json:"prompt"`
		Samples int    `json:"samples"`
	}
	groups := []group{}
	for i := range trainerGroups {
		groups = append(groups, group{Prompt: fmt.Sprintf("step %d group %d", step, i), Samples: trainerSamples})
	}
	body, err := json.Marshal(map[string]any{"groups": groups, "maxTokens": 12})
	if err != nil {
		r.c.t.Fatal(err)
	}
	r.steps[step] = string(body)
	r.must(http.MethodPost, fmt.Sprintf("/steps/%d", step), string(body), func(int, string) {})
}

// mustBatch asks for a batch until it comes. A coordinator that doesn't know the step asks for it: the one before was lost in an outage before it
// could write the step. The trainer posts it again, as docs/REFERENCE.md tells trainers to; without an outage no step may be lost.
func (r *trainer) mustBatch(step, number int) []byte {
	path := fmt.Sprintf("/steps/%d/batches/%d", step, number)
	return r.must(http.MethodGet, path, "", func(status int, content string) {
		if status != http.StatusNotFound || !strings.Contains(content, "post it first") {
			return
		}
		if !r.outage {
			r.c.t.Fatalf("GET %s: step lost without an outage: %s", path, content)
		}
		r.reposted++
		r.try(http.MethodPost, fmt.Sprintf("/steps/%d", step), r.steps[step])
	})
}

// postVersion publishes the next weights once; the trainer goes on without if the platform is down.
func (r *trainer) postVersion() {
	next := r.version + 1
	status, _ := r.try(http.MethodPost, "/modelVersions", fmt.Sprintf(`{"version":%d,"weights":"%s/%d"}`, next, r.d.Model, next))
	if status == http.StatusOK {
		r.version = next
	}
}

// take takes a batch, again after meanwhile, and checks its samples.
func (r *trainer) take(step, number int, meanwhile func()) bool {
	first := r.mustBatch(step, number)
	if meanwhile != nil {
		meanwhile()
	}
	if again := r.mustBatch(step, number); !bytes.Equal(first, again) {
		r.c.t.Errorf("batch %d of step %d differs when it is asked for again:\n%s\n%s", number, step, first, again)
	}
	var batch trainerBatch
	if err := json.Unmarshal(first, &batch); err != nil {
		r.c.t.Fatal(err)
	}
	for _, sample := range batch.Samples {
		r.seen[sample.ID]++
		for _, span := range sample.Spans {
			if span.Version < r.version-stalenessOf {
				r.c.t.Errorf("%s was made by version %d, delivered at version %d", sample.ID, span.Version, r.version)
			}
		}
	}
	return batch.Last
}

// coordinator returns the host id of the entry that holds the job's lease.
func (c *cluster) coordinator(d scenario.Deployment) string {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, set := range c.topology.Entries {
			response, err := http.Get("http://" + set.AdminListen.String() + "/debug/state")
			if err != nil {
				continue
			}
			content, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil && holdsDuty(content, "trainerJob/"+d.Job) {
				return set.HostID
			}
		}
	}
	c.t.Fatal("no entry coordinates the job")
	return ""
}

// holdsDuty looks for the duty's lease anywhere in a dump.
func holdsDuty(dump []byte, duty string) bool {
	var value any
	if json.Unmarshal(dump, &value) != nil {
		return false
	}
	return findDuty(value, duty)
}

func findDuty(value any, duty string) bool {
	fields, ok := value.(map[string]any)
	if !ok {
		return false
	}
	if fields["duty"] == duty && fields["held"] == true {
		return true
	}
	for _, inner := range fields {
		if findDuty(inner, duty) {
			return true
		}
	}
	return false
}

// A trainer learns from a sample twice, misses one, gets one made by old weights, or stands idle for
// good. In the middle of a step the entry that coordinates the job is killed and started again later,
// or frozen for longer than its lease and woken, or the platform is down for 30 s and the coordinator
// is killed or frozen in that time. The trainer goes on with whichever entry answers.
func TestTrainerGetsEachSampleOnceWhileThingsFail(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		outage bool
		fault  func(c *cluster, coordinator string)
	}{
		{"coordinator killed", false, func(c *cluster, coordinator string) { c.signal(coordinator, syscall.SIGKILL) }},
		{"coordinator frozen and woken", false, freeze},
		{"platform down for long", true, func(c *cluster, _ string) { c.outage() }},
		{"coordinator frozen and woken while the platform is down", true, func(c *cluster, coordinator string) {
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
			c := prepared(t, d)
			r := &trainer{c: c, d: d, version: 1, seen: map[string]int{}, steps: map[int]string{}, outage: test.outage}
			for step := 1; step <= trainerSteps; step++ {
				r.postStep(step)
				for number, last := 1, false; !last; number++ {
					var meanwhile func()
					if step == faultStep && number == faultBatch {
						meanwhile = func() { test.fault(c, c.coordinator(d)) }
					}
					last = r.take(step, number, meanwhile)
				}
				r.postVersion()
			}
			r.check()
		})
	}
}

// freeze stops a process and wakes it after more than a lease's term.
func freeze(c *cluster, name string) {
	c.signal(name, syscall.SIGSTOP)
	c.later(longFreeze, func() { c.signal(name, syscall.SIGCONT) })
}

// outage begins an outage of the platform that ends by itself.
func (c *cluster) outage() {
	c.fault(c.topology.Targets().Platform, `{"outage":true}`)
	c.later(longOutage, func() { c.fault(c.topology.Targets().Platform, `{"outage":false}`) })
}

func (r *trainer) check() {
	r.c.t.Helper()
	for id, times := range r.seen {
		if times != 1 {
			r.c.t.Errorf("%s came %d times", id, times)
		}
	}
	if want := trainerSteps * trainerGroups * trainerSamples; len(r.seen) != want {
		r.c.t.Errorf("%d samples came, want %d", len(r.seen), want)
	}
	r.c.t.Logf("%d samples by version %d; the trainer waited %v at most and posted %d times again", len(r.seen), r.version,
		r.longest.Round(time.Millisecond), r.reposted)
}

package process

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// lines returns header lines of crowdHeadBytes in total.
func lines(line func(i int) string) []string {
	var all []string
	for size := 0; ; {
		next := line(len(all))
		if size += len(next) + len("\r\n"); size > crowdHeadBytes {
			return all
		}
		all = append(all, next)
	}
}

// emptyNames are header lines without a value, as many as fit.
func emptyNames() []string { return lines(func(int) string { return "a:" }) }

// crowds are callers that stay within the limits of a single request.
var crowds = []crowd{
	{name: "idle connections", clients: 400, descriptors: crowdDescriptors, send: func(*crowdClient) {}},
	{name: "heads byte by byte", clients: 400, descriptors: crowdDescriptors, send: func(c *crowdClient) {
		for _, b := range c.head(http.MethodGet, "/safe/x", keyNorth)[:20] {
			if !c.write(string(b)) {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{name: "declared only", clients: 4, send: func(c *crowdClient) { c.body("/safe/x", keyNorth, crowdBodyBytes, 0, 1) }},
	{name: "bodies without their last byte", clients: 8, send: func(c *crowdClient) {
		c.body("/safe/x", keyNorth, crowdBodyBytes, crowdBodyBytes-1, crowdBodyBytes)
	}},
	{name: "bodies in pieces without their last byte", clients: 8, send: func(c *crowdClient) {
		c.body("/safe/x", keyNorth, crowdBodyBytes, crowdBodyBytes-1, 16<<10)
	}},
	{name: "bodies with an unknown key", clients: 8, send: func(c *crowdClient) {
		c.body("/safe/x", "key-of-nobody", crowdBodyBytes, crowdBodyBytes-1, 16<<10)
	}},
	{name: "jobs without their last byte", clients: 8, send: func(c *crowdClient) {
		c.body("/job/x", keyNorth, crowdBodyBytes, crowdBodyBytes-1, 16<<10)
	}},
	{name: "bodies after 100 Continue", clients: 8, send: func(c *crowdClient) {
		c.body("/safe/x", keyNorth, crowdBodyBytes, crowdBodyBytes-1, 16<<10, "Expect: 100-continue")
	}},
	{name: "whole bodies", clients: 8, answered: 1, send: func(c *crowdClient) {
		c.body("/safe/x", keyNorth, crowdBodyBytes, crowdBodyBytes, 64<<10)
	}},
	{name: "many bodies without their last byte", clients: 200, send: func(c *crowdClient) {
		c.body("/safe/x", keyNorth, 1<<20, 1<<20-1, 64<<10)
	}},
	{name: "large chunks without end", clients: 8, send: func(c *crowdClient) { c.chunks(64<<10, 31<<20) }},
	{name: "chunks of one byte without end", clients: 40, send: func(c *crowdClient) { c.chunks(1, 2<<20) }},
	{name: "header lines without a value", clients: 600, answered: 1, send: func(c *crowdClient) {
		c.write(c.head(http.MethodGet, "/safe/x", keyNorth, emptyNames()...) + "\r\n")
	}},
	{name: "numbered header lines", clients: 600, answered: 1, send: func(c *crowdClient) {
		c.write(c.head(http.MethodGet, "/safe/x", keyNorth, lines(func(i int) string { return fmt.Sprintf("x%d: y", i) })...) + "\r\n")
	}},
	{name: "header lines without the last one", clients: 600, send: func(c *crowdClient) {
		c.write(c.head(http.MethodGet, "/safe/x", keyNorth, emptyNames()...))
	}},
	{name: "header lines with odd blanks", clients: 600, send: func(c *crowdClient) {
		c.write(c.head(http.MethodGet, "/safe/x", keyNorth, lines(func(int) string { return "a: \t \t\r\n \t" })...) + "\r\n")
	}},
	{name: "header lines on kept connections", clients: 200, answered: 1, send: func(c *crowdClient) {
		for range 40 {
			if !c.write(c.head(http.MethodGet, "/safe/x", keyNorth, emptyNames()...) + "\r\n") {
				return
			}
		}
	}},
	{name: "cookies", clients: 600, answered: 1, send: func(c *crowdClient) {
		c.write(c.head(http.MethodGet, "/safe/x", keyNorth, "Cookie: "+strings.Repeat("a;", crowdHeadBytes/2)) + "\r\n")
	}},
	{name: "query arguments", clients: 600, answered: 1, send: func(c *crowdClient) {
		c.write(c.head(http.MethodGet, "/safe/x?"+strings.Repeat("a&", 1500), keyNorth) + "\r\n")
	}},
	{name: "jobs of empty items", clients: 1, send: func(c *crowdClient) {
		body := `{"items":[` + strings.Repeat("{},", 8<<20/3) + `{}]}`
		c.write(c.head(http.MethodPost, "/job/x", keyNorth, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body)
	}},
	{name: "jobs of many items", clients: 1, send: func(c *crowdClient) {
		body := largeJob()
		c.write(c.head(http.MethodPost, "/job/x", keyNorth, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body)
	}},
}

// largeJob returns a job of 16 MB, which the store can't hold.
func largeJob() string {
	var items []platformtest.Item
	for i := range 4000 {
		items = append(items, platformtest.Item{ID: fmt.Sprintf("item-%d", i), Path: "/job/" + strings.Repeat("p", 4<<10), Group: fmt.Sprint(i / 2)})
	}
	return platformtest.Submission("m", 1, 1, items)
}

// Guards against callers, each within the limits of a single request, that together make a process run out of memory or descriptors.
func TestCrowds(t *testing.T) {
	for _, c := range crowds {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) { newCrowdTrial(t, c.descriptors).run(c) })
	}
}

// Guards against legal requests of the maximum size that a small host can't serve alone, one after another.
func TestLargestRequestsOneAfterAnother(t *testing.T) {
	const requests = 10
	for _, test := range []struct {
		name   string
		body   string
		change func(*http.Request)
	}{
		{name: "bodies", body: strings.Repeat("x", crowdBodyBytes)},
		{name: "chunked_bodies", body: strings.Repeat("x", crowdBodyBytes), change: func(r *http.Request) { r.ContentLength = -1 }},
		{name: "heads", change: func(r *http.Request) {
			for range 3100 {
				r.Header.Add("a", "")
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			trial := newCrowdTrial(t, 0)
			for i := range requests {
				var change []func(*http.Request)
				if test.change != nil {
					change = append(change, test.change)
				}
				got := trial.call(trial.entry, http.MethodPost, "/safe/x", keyNorth, fmt.Sprintf("large-%d", i), test.body, change...)
				if got.status != http.StatusOK || test.body != "" && !strings.HasSuffix(got.body, platformtest.Summary(test.body)) {
					t.Errorf("request %d: status %d, %.100s", i, got.status, got.body)
				}
			}
			trial.check(crowd{}, 0)
		})
	}
}

// Guards against a job that is too large for the store and lets the entry take the store for lost.
func TestJobTooLargeForTheStore(t *testing.T) {
	trial := newCrowdTrial(t, 0)
	got := trial.call(trial.entry, http.MethodPost, "/job/x", keyNorth, "large-job", largeJob())
	if got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("a job that the store can't hold: status %d, %s", got.status, got.body)
	}
	if got := trial.call(trial.entry, http.MethodPost, "/job/x", keyNorth, "small-job", submission(2, 1, 1)); got.status != http.StatusAccepted {
		t.Errorf("the next job: status %d, %s", got.status, got.body)
	}
	trial.check(crowd{}, 0)
}

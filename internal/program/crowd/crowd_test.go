package crowd

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// lines returns header lines of headBytes in total.
func lines(line func(i int) string) []string {
	var all []string
	for size := 0; ; {
		next := line(len(all))
		if size += len(next) + len("\r\n"); size > headBytes {
			return all
		}
		all = append(all, next)
	}
}

// emptyNames are header lines without a value, as many as fit.
func emptyNames() []string { return lines(func(int) string { return "a:" }) }

// crowds are callers that stay within the limits of a single request.
var crowds = []crowd{
	{name: "idle connections", clients: 400, descriptors: fewDescriptors, send: func(*client) {}},
	{name: "heads byte by byte", clients: 400, descriptors: fewDescriptors, send: func(c *client) {
		for _, b := range c.head(http.MethodGet, "/safe/x", key)[:20] {
			if !c.write(string(b)) {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{name: "declared only", clients: 4, send: func(c *client) { c.body("/safe/x", key, maxBodyBytes, 0, 1) }},
	{name: "bodies without their last byte", clients: 8, send: func(c *client) {
		c.body("/safe/x", key, maxBodyBytes, maxBodyBytes-1, maxBodyBytes)
	}},
	{name: "bodies in pieces without their last byte", clients: 8, send: func(c *client) {
		c.body("/safe/x", key, maxBodyBytes, maxBodyBytes-1, 16<<10)
	}},
	{name: "bodies with an unknown key", clients: 8, send: func(c *client) {
		c.body("/safe/x", "key-of-nobody", maxBodyBytes, maxBodyBytes-1, 16<<10)
	}},
	{name: "jobs without their last byte", clients: 8, send: func(c *client) {
		c.body("/job/x", key, maxBodyBytes, maxBodyBytes-1, 16<<10)
	}},
	{name: "bodies after 100 Continue", clients: 8, send: func(c *client) {
		c.body("/safe/x", key, maxBodyBytes, maxBodyBytes-1, 16<<10, "Expect: 100-continue")
	}},
	{name: "whole bodies", clients: 8, answered: 1, send: func(c *client) {
		c.body("/safe/x", key, maxBodyBytes, maxBodyBytes, 64<<10)
	}},
	{name: "many bodies without their last byte", clients: 200, send: func(c *client) {
		c.body("/safe/x", key, 1<<20, 1<<20-1, 64<<10)
	}},
	{name: "large chunks without end", clients: 8, send: func(c *client) { c.chunks(64<<10, 31<<20) }},
	{name: "chunks of one byte without end", clients: 40, send: func(c *client) { c.chunks(1, 2<<20) }},
	{name: "header lines without a value", clients: 600, answered: 1, send: func(c *client) {
		c.write(c.head(http.MethodGet, "/safe/x", key, emptyNames()...) + "\r\n")
	}},
	{name: "numbered header lines", clients: 600, answered: 1, send: func(c *client) {
		c.write(c.head(http.MethodGet, "/safe/x", key, lines(func(i int) string { return fmt.Sprintf("x%d: y", i) })...) + "\r\n")
	}},
	{name: "header lines without the last one", clients: 600, send: func(c *client) {
		c.write(c.head(http.MethodGet, "/safe/x", key, emptyNames()...))
	}},
	{name: "header lines with odd blanks", clients: 600, send: func(c *client) {
		c.write(c.head(http.MethodGet, "/safe/x", key, lines(func(int) string { return "a: \t \t\r\n \t" })...) + "\r\n")
	}},
	{name: "header lines on kept connections", clients: 200, answered: 1, send: func(c *client) {
		for range 40 {
			if !c.write(c.head(http.MethodGet, "/safe/x", key, emptyNames()...) + "\r\n") {
				return
			}
		}
	}},
	{name: "cookies", clients: 600, answered: 1, send: func(c *client) {
		c.write(c.head(http.MethodGet, "/safe/x", key, "Cookie: "+strings.Repeat("a;", headBytes/2)) + "\r\n")
	}},
	{name: "query arguments", clients: 600, answered: 1, send: func(c *client) {
		c.write(c.head(http.MethodGet, "/safe/x?"+strings.Repeat("a&", 1500), key) + "\r\n")
	}},
	{name: "jobs of empty items", clients: 1, send: func(c *client) {
		body := `{"items":[` + strings.Repeat("{},", 8<<20/3) + `{}]}`
		c.write(c.head(http.MethodPost, "/job/x", key, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body)
	}},
	{name: "jobs of many items", clients: 1, send: func(c *client) {
		body := largeJob()
		c.write(c.head(http.MethodPost, "/job/x", key, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body)
	}},
}

// otherCrowds are crowds at the other listeners, and callers that don't read their answers.
var otherCrowds = []crowd{
	{name: "idle connections at the admin listener", clients: 400, descriptors: fewDescriptors, send: func(*client) {},
		listener: func(tr *trial) netip.AddrPort { return tr.adminListen }},
	{name: "bodies at the admin listener", clients: 40, send: func(c *client) { c.body("/metrics", "", 4<<20, 4<<20-1, 64<<10) },
		listener: func(tr *trial) netip.AddrPort { return tr.adminListen }},
	{name: "idle connections at the peer listener", clients: 400, descriptors: fewDescriptors, send: func(*client) {},
		listener: func(tr *trial) netip.AddrPort { return tr.peerListen }},
	{name: "pipelined calls without reading", clients: 400, descriptors: fewDescriptors, send: func(c *client) {
		call := c.head(http.MethodGet, "/unknown/x", key) + "\r\n"
		for range 4000 {
			if !c.write(call) {
				return
			}
		}
	}},
	{name: "reads that wait", clients: 400, descriptors: fewDescriptors, send: func(c *client) { c.readJob("waiting") },
		prepare: func(tr *trial) {
			for _, server := range tr.servers {
				server.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
					if strings.HasPrefix(r.Target, "/job/") {
						return platformtest.Hang
					}
					return platformtest.Answer
				})
			}
			job := platformtest.Submission("m", 1, 1, []platformtest.Item{{ID: "item", Path: "/job/1", Group: "g"}})
			if got, err := tr.call("/job/x", "waiting", job, nil); err != nil || got.status != http.StatusAccepted {
				tr.t.Fatalf("the job: status %d, %s, %v", got.status, got.body, err)
			}
		}},
	{name: "connections that are reset", clients: 50, descriptors: fewDescriptors, send: func(c *client) { c.reset(100) }},
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
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) { newTrial(t, c.descriptors).run(c) })
	}
}

// Guards against crowds at the listeners for operators and other processes, and against callers that hold connections by not reading.
func TestCrowdsElsewhere(t *testing.T) {
	for _, c := range otherCrowds {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) { newTrial(t, c.descriptors).run(c) })
	}
}

// Guards against a crowd that keeps a process from ending when it is told to.
func TestProcessEndsBesideACrowd(t *testing.T) {
	tr := newTrial(t, 0)
	for i := range 60 {
		conn, err := net.Dial("tcp", tr.listen.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		client := &client{Conn: conn, id: fmt.Sprintf("crowd-%d", i)}
		switch i % 3 {
		case 0:
			client.write(client.head(http.MethodGet, "/safe/x", key))
		case 1:
			client.body("/safe/x", key, 1<<20, 64<<10, 64<<10)
		}
	}
	tr.ordinaryCall("before the end")
	tr.process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		tr.process.WaitForExit()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(ordinaryTimeout):
		t.Error("the process hasn't ended")
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
		{name: "bodies", body: strings.Repeat("x", maxBodyBytes)},
		{name: "chunked_bodies", body: strings.Repeat("x", maxBodyBytes), change: func(r *http.Request) { r.ContentLength = -1 }},
		{name: "heads", change: func(r *http.Request) {
			for range 3100 {
				r.Header.Add("a", "")
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tr := newTrial(t, 0)
			for i := range requests {
				got, err := tr.call("/safe/x", fmt.Sprintf("large-%d", i), test.body, test.change)
				if err != nil || got.status != http.StatusOK || test.body != "" && !strings.HasSuffix(got.body, platformtest.Summary(test.body)) {
					t.Errorf("request %d: status %d, %.100s, %v", i, got.status, got.body, err)
				}
			}
			tr.check(crowd{}, 0)
		})
	}
}

// Guards against a job that is too large for the store and lets the entry take the store for lost.
func TestJobTooLargeForTheStore(t *testing.T) {
	tr := newTrial(t, 0)
	got, err := tr.call("/job/x", "large-job", largeJob(), nil)
	if err != nil || got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("a job that the store can't hold: status %d, %s, %v", got.status, got.body, err)
	}
	small := platformtest.Submission("m", 1, 1, []platformtest.Item{{ID: "item", Path: "/job/1", Group: "g"}})
	if got, err := tr.call("/job/x", "small-job", small, nil); err != nil || got.status != http.StatusAccepted {
		t.Errorf("the next job: status %d, %s, %v", got.status, got.body, err)
	}
	tr.check(crowd{}, 0)
}

package process

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

func TestGatewayServesACall(t *testing.T) {
	d := newDeployment(t, 1)
	got := d.call(d.gateways[0], http.MethodPost, "/safe/a/../b?x=%20", keyNorth, "r1", "question", func(request *http.Request) {
		platformtest.SpoofOrganisation(request, "somebody")
	})
	id, signed := platformtest.Signed(got.header)
	if got.status != http.StatusOK || !strings.HasSuffix(got.body, "answers question") || !signed || id != "r1" {
		t.Fatalf("%+v", got)
	}
	seen := append(d.services[0].Requests(), d.services[1].Requests()...)
	if len(seen) != 1 || seen[0].Target != "/safe/a/../b?x=%20" || seen[0].Host != hostName || seen[0].Body != "question" {
		t.Fatalf("%+v", seen)
	}
	if seen[0].Organisation() != "north" || seen[0].Key() != "" || !seen[0].HasServerAndDeadline() {
		t.Errorf("%v", seen[0].Header)
	}
}

func TestGatewayRefusesInvalidRequests(t *testing.T) {
	d := newDeployment(t, 1)
	for _, test := range []struct {
		name, method, path, key string
		status                  int
	}{
		{name: "unknown route", method: http.MethodGet, path: "/nowhere/", key: keyNorth, status: http.StatusNotFound},
		{name: "unknown key", method: http.MethodGet, path: "/safe/", key: "k", status: http.StatusUnauthorized},
		{name: "no key", method: http.MethodGet, path: "/safe/", status: http.StatusUnauthorized},
		{name: "unknown job", method: http.MethodGet, path: platformtest.JobTarget("none", 0), key: keyNorth, status: http.StatusNotFound},
		{name: "deletion of an unknown job", method: http.MethodDelete, path: platformtest.JobTarget("none", 0), key: keyNorth, status: http.StatusNotFound},
		{name: "invalid job", method: http.MethodPost, path: "/job/j", key: keyNorth, status: http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := d.call(d.gateways[0], test.method, test.path, test.key, "r", "{"); got.status != test.status {
				t.Errorf("status %d: %s", got.status, got.body)
			}
		})
	}
	for _, server := range d.servers() {
		if seen := server.Requests(); len(seen) > 0 {
			t.Errorf("%s received %v", server.ID, seen)
		}
	}
}

func TestGatewayRetriesOnlyRepeatableCalls(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  platformtest.Behaviour
		path   string
		status int
		sent   int
	}{
		{name: "refused, idempotent", first: platformtest.Shed, path: "/safe/", status: 200, sent: 2},
		{name: "refused, once", first: platformtest.Shed, path: "/once/", status: 200, sent: 2},
		{name: "response lost, idempotent", first: platformtest.CutConnection, path: "/safe/", status: 200, sent: 2},
		{name: "response lost, once", first: platformtest.CutConnection, path: "/once/", status: 502, sent: 1},
		{name: "response to another request, idempotent", first: platformtest.WrongRequest, path: "/safe/", status: 200, sent: 2},
		{name: "response to another request, once", first: platformtest.WrongRequest, path: "/once/", status: 502, sent: 1},
		{name: "no signature, idempotent", first: platformtest.Unsigned, path: "/safe/", status: 200, sent: 2},
		{name: "no signature, once", first: platformtest.Unsigned, path: "/once/", status: 502, sent: 1},
		{name: "failed, idempotent", first: platformtest.Fail, path: "/safe/", status: 200, sent: 2},
		{name: "failed, once: the server's response is returned", first: platformtest.Fail, path: "/once/", status: 500, sent: 1},
		{name: "no response, idempotent: sent to another server", first: platformtest.Hang, path: "/safe/", status: 200, sent: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			var mu sync.Mutex
			sent := 0
			for _, server := range d.services {
				server.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour {
					mu.Lock()
					defer mu.Unlock()
					sent++
					if sent == 1 {
						return test.first
					}
					return platformtest.Answer
				})
			}
			got := d.call(d.gateways[0], http.MethodPost, test.path, keyNorth, "r1", "q")
			mu.Lock()
			defer mu.Unlock()
			if got.status != test.status || sent != test.sent {
				t.Errorf("status %d after %d sends: %s", got.status, sent, got.body)
			}
		})
	}
}

// All servers report that they are full. The client gets a refusal at once, with the time after which to retry, and nothing has
// run.
func TestGatewayRefusesAtOnceWhenAllServersAreFull(t *testing.T) {
	d := newDeployment(t, 1)
	for _, server := range d.services {
		server.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return platformtest.Shed })
	}
	started := time.Now()
	got := d.call(d.gateways[0], http.MethodPost, "/once/", keyNorth, "r1", "q")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || time.Since(started) > time.Second {
		t.Errorf("%+v after %v", got, time.Since(started))
	}
}

// A server received a request and doesn't answer. At the route's timeout the client receives a final response, which must
// not say that the request has not run.
func TestGatewayAnswersAtTheRoutesTimeout(t *testing.T) {
	d := newDeployment(t, 1)
	for _, server := range d.services {
		server.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return platformtest.Hang })
	}
	started := time.Now()
	got := d.call(d.gateways[0], http.MethodPost, "/short/", keyNorth, "r1", "q")
	if took := time.Since(started); got.status != http.StatusGatewayTimeout || took < 250*time.Millisecond || took > 2*time.Second {
		t.Errorf("%+v after %v", got, took)
	}
}

// Guards against a request that keeps a server busy after its client has disconnected.
func TestGatewayStopsWhenItsClientDisconnects(t *testing.T) {
	d := newDeployment(t, 1)
	released := make(chan struct{}, 4)
	for _, server := range d.services {
		server.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour {
			released <- struct{}{}
			return platformtest.Hang
		})
	}
	request, _ := http.NewRequest(http.MethodPost, d.gateways[0].url+"/once/", strings.NewReader("q"))
	request.Host = hostName
	platformtest.SetCallerHeaders(request, "r1", keyNorth, time.Minute)
	impatient := http.Client{Timeout: 300 * time.Millisecond}
	if response, err := impatient.Do(request); err == nil {
		_ = response.Body.Close()
		t.Fatal("the request got a response")
	}
	<-released
	d.eventually("no request runs at the servers", func() bool { return len(d.gateways[0].balancer.Running()) == 0 })
}

// An operator revokes a key. Requests with it are soon refused everywhere, even at an entry that the store refuses.
func TestRevokedKeyIsRefusedEverywhere(t *testing.T) {
	d := newDeployment(t, 3)
	isolated := d.gateways[2]
	d.eventually("entries know each other", func() bool { return len(isolated.gossip.Alive(time.Now())) == 2 })
	isolated.storeEndpoint.RefuseCalls()
	d.configure("another key", keySouth)
	for _, g := range d.gateways {
		d.eventually("the key is refused at "+g.set.HostID, func() bool {
			return d.call(g, http.MethodPost, "/safe/", keyNorth, "r", "q").status == http.StatusUnauthorized
		})
		if got := d.call(g, http.MethodPost, "/safe/", "another key", "r", "q"); got.status != http.StatusOK {
			t.Errorf("%s: %+v", g.set.HostID, got)
		}
	}
}

func TestDrainingServersGetNoCalls(t *testing.T) {
	d := newDeployment(t, 1)
	d.store.Register(d.services[0], true)
	d.eventually("the entry knows that the server is draining", func() bool {
		for _, server := range d.gateways[0].view.Snapshot().Servers {
			if server.ID == "desk-0" {
				return server.Draining
			}
		}
		return false
	})
	before := len(d.services[0].Requests())
	for range 10 {
		if got := d.call(d.gateways[0], http.MethodPost, "/safe/", keyNorth, "r", "q"); got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}
	if after := len(d.services[0].Requests()); after != before {
		t.Errorf("%d calls reached the draining server", after-before)
	}
}

// The store dropped the history from which a watch would continue. Changes made meanwhile must not be missed.
func TestViewSurvivesCompaction(t *testing.T) {
	d := newDeployment(t, 1)
	d.store.Compact()
	d.store.Register(d.services[1], true)
	d.store.Compact()
	d.eventually("the change is known", func() bool {
		for _, server := range d.gateways[0].view.Snapshot().Servers {
			if server.ID == "desk-1" && server.Draining {
				return true
			}
		}
		return false
	})
}

// Guards against forms that reach the server with other bytes than the caller sent, and against a form that is rejected although the server
// might accept it.
func TestFormsAreForwardedUnchanged(t *testing.T) {
	var form strings.Builder
	for i := range 20 {
		fmt.Fprintf(&form, "--b\r\nContent-Disposition: form-data; name=\"field-%d\"\r\n\r\nvalue %d\r\n", 20-i, i)
	}
	for _, test := range []struct {
		name, body string
	}{
		{name: "valid", body: form.String() + "--b--\r\n"},
		{name: "with a preamble", body: "preamble\r\n" + form.String() + "--b--\r\n"},
		{name: "without its end", body: form.String()},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", test.name, chunked), func(t *testing.T) {
				d := newDeployment(t, 1)
				got := d.call(d.gateways[0], http.MethodPost, "/safe/form", keyNorth, "form", test.body, func(r *http.Request) {
					r.Header.Set("Content-Type", "multipart/form-data; boundary=b")
					if chunked {
						r.ContentLength = -1
					}
				})
				if got.status != http.StatusOK {
					t.Fatalf("%+v", got)
				}
				for _, service := range d.services {
					for _, seen := range service.Requests() {
						if seen.Body != test.body {
							t.Errorf("the server received %q", seen.Body)
						}
					}
				}
			})
		}
	}
}

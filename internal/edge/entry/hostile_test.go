package entry

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Verdict           verdict.Verdict `json:"verdict"`
	Reason            verdict.Reason  `json:"reason"`
	RetryAfterSeconds *int            `json:"retryAfterSeconds"`
}

// exchange writes text unchanged to a new connection, and returns the response and the refusal in its body.
func (f *fixture) exchange(t *testing.T, text string) (*http.Response, refusalBody) {
	t.Helper()
	conn := f.connect()
	go f.writeIgnoringErrors(conn, text)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var refusal refusalBody
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		t.Errorf("status %d without the JSON of a refusal: %v", response.StatusCode, err)
	}
	return response, refusal
}

// A careless or hostile client sends requests that no server should run. Each must be refused at once as not run, with
// a status that blames the request, a verdict and Retry-After, and must not reach a server. After a status of 500, an
// answer without a verdict or no answer, the client's team would look for the fault in the wrong place.
func TestBadRequestsAreRefused(t *testing.T) {
	const service, model = "/v1/services/billdesk/charge", "/v1/models/draftmodel/generate"
	head := func(line, headers string) string {
		return line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerKey + "\r\n" + headers + "\r\n"
	}
	noKey := func(headers string) string {
		return "POST " + service + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: 0\r\n\r\n"
	}
	const prompt = `{"prompt":"x"}`
	for _, test := range []struct {
		name   string
		text   string
		status int
		reason verdict.Reason
	}{
		{"no key", noKey(""), http.StatusUnauthorized, verdict.ReasonUnknownKey},
		{"empty key", noKey("Authorization: Bearer \r\n"), http.StatusUnauthorized, verdict.ReasonUnknownKey},
		{"another scheme", noKey("Authorization: Basic eDp5\r\n"), http.StatusUnauthorized, verdict.ReasonUnknownKey},
		{"unknown key", noKey("Authorization: Bearer \xff\xfe\r\n"), http.StatusUnauthorized, verdict.ReasonUnknownKey},
		{"unknown path", head("GET /v2/x", ""), http.StatusNotFound, verdict.ReasonNotFound},
		{"unknown service", rawRequest("/v1/services/nobody/x", "", ""), http.StatusNotFound, verdict.ReasonNotFound},
		{"model pool as a service", rawRequest("/v1/services/draftmodel/x", "", ""), http.StatusNotFound, verdict.ReasonNotFound},
		{"unknown model", rawRequest("/v1/models/nobody/generate", prompt, ""), http.StatusNotFound, verdict.ReasonNotFound},
		{"generate by GET", head("GET "+model, ""), http.StatusMethodNotAllowed, verdict.ReasonBadRequest},
		{"unknown method", head("BREW "+service, ""), http.StatusNotImplemented, verdict.ReasonBadRequest},
		{"no body", rawRequest(model, "", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"truncated body", rawRequest(model, `{"prompt":"x`, ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"two JSON values", rawRequest(model, prompt+prompt, ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"JSON list", rawRequest(model, "[]", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"JSON null", rawRequest(model, "null", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"prompt of another type", rawRequest(model, `{"prompt":1}`, ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"unknown field", rawRequest(model, `{"prompt":"x","stop":[]}`, ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"no tokens", rawRequest(model, `{"prompt":"x","maxTokens":-1}`, ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"deep nesting", rawRequest(model, `{"prompt":`+strings.Repeat("[", 200_000), ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"timeout NaN", rawRequest(service, "", "Request-Timeout: NaN\r\n"), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"infinite timeout", rawRequest(service, "", "Request-Timeout: Inf\r\n"), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"timeout not a number", rawRequest(service, "", "Request-Timeout: soon\r\n"), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"timeout below a nanosecond", rawRequest(service, "", "Request-Timeout: 1e-300\r\n"), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"headers above the limit", rawRequest(service, "", "X: "+strings.Repeat("x", 1<<16)+"\r\n"), http.StatusRequestHeaderFieldsTooLarge, verdict.ReasonBadRequest},
		{"header without a name", rawRequest(service, "", ": x\r\n"), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"not HTTP", "\x16\x03\x01\x00\xa5\x01\r\n\r\n", http.StatusBadRequest, verdict.ReasonBadRequest},
		{"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", http.StatusBadRequest, verdict.ReasonBadRequest},
		{"negative length", head("POST "+service, "Content-Length: -1\r\n"), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"two lengths", head("POST "+service, "Content-Length: 1\r\nContent-Length: 2\r\n") + "xx", http.StatusBadRequest, verdict.ReasonBadRequest},
		{"invalid chunk length", head("POST "+service, "Transfer-Encoding: chunked\r\n") + "zz\r\n", http.StatusBadRequest, verdict.ReasonBadRequest},
		{"chunks above the limit", head("POST "+service, "Transfer-Encoding: chunked\r\n") + "200000\r\n" + strings.Repeat("x", 0x200000), http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge},
		{"path that can't be decoded", rawRequest("/v1/services/billdesk/%zz", "", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"query that can't be decoded", rawRequest(service+"?a=%zz", "", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"parent segment", rawRequest("/v1/services/billdesk/search/../charge", "", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"escaped parent segment", rawRequest("/v1/services/billdesk/search/%2e%2E/charge", "", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"parent segment, escaped slash", rawRequest("/v1/services/billdesk/search%2f..%2fcharge", "", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"parent segment with a parameter", rawRequest("/v1/services/billdesk/search/..;/charge", "", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"parent segment, escaped backslash", rawRequest("/v1/services/billdesk/search/..%5ccharge", "", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"control character in the path", rawRequest("/v1/services/billdesk/x\ty", "", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"service call with gzip encoding", rawRequest(service, "no gzip", "Content-Encoding: gzip\r\n"), http.StatusUnsupportedMediaType, verdict.ReasonBadRequest},
		{"service call with unknown encoding", rawRequest(service, "x", "Content-Encoding: sail\r\n"), http.StatusUnsupportedMediaType, verdict.ReasonBadRequest},
		{"generation with gzip encoding", rawRequest(model, prompt, "Content-Encoding: gzip\r\n"), http.StatusUnsupportedMediaType, verdict.ReasonBadRequest},
		{"ticket number not a number", rawRequest("/v1/tickets/one", "{}", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
		{"ticket not JSON", rawRequest("/v1/tickets/1", "{", ""), http.StatusBadRequest, verdict.ReasonBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			ready := &fakeAgent{}
			f := newFixture(t, ready)
			response, refusal := f.exchange(t, test.text)
			if response.StatusCode != test.status || refusal.Verdict != verdict.NotRun || refusal.Reason != test.reason {
				t.Errorf("have status %d and %+v, want %d and %s", response.StatusCode, refusal, test.status, test.reason)
			}
			if response.Header.Get("Retry-After") == "" || refusal.RetryAfterSeconds == nil {
				t.Errorf("Retry-After is missing: %q", response.Header.Get("Retry-After"))
			}
			if runs(ready) != 0 {
				t.Errorf("%d calls reached the agent: %+v", runs(ready), ready.seen())
			}
		})
	}
}

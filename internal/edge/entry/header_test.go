package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// Callers put their key into all kinds of places in a request, by mistake or in an old client. A backend server that
// logs its requests would then store keys of all organisations. The call must be forwarded without the key, or be
// refused if the key can't be removed without changing the call.
func TestNoKeyReachesTheAgent(t *testing.T) {
	for _, test := range []struct {
		name, path, body string
		header           []string
		wantStatus       int
	}{
		{"authorization", "/x", "", nil, http.StatusOK},
		{"cookie", "/x", "", []string{"Cookie", "key=" + callerKey}, http.StatusOK},
		{"custom header", "/x", "", []string{"X-Api-Key", callerKey}, http.StatusOK},
		{"allowed header", "/x", "", []string{"X-Request-Id", callerKey}, http.StatusOK},
		{"another organisation's key", "/x", "", []string{"X-Request-Id", otherKey}, http.StatusOK},
		{"idempotency key", "/x", "", []string{"Idempotency-Key", callerKey}, http.StatusOK},
		{"query value", "/x?a=1&b=" + callerKey, "", nil, http.StatusOK},
		{"well-known query parameter", "/x?access_token=older-key", "", nil, http.StatusOK},
		{"query name", "/x?" + callerKey + "=1", "", nil, http.StatusOK},
		{"escaped query value", "/x?b=%6Bey-of-salalah-ground", "", nil, http.StatusOK},
		{"path", "/x/" + callerKey, "", nil, http.StatusBadRequest},
		{"escaped path", "/x/%6Bey-of-salalah-ground", "", nil, http.StatusBadRequest},
		{"body", "/x", `{"key":"` + callerKey + `"}`, nil, http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			ready := &fakeAgent{}
			f := newFixture(t, ready)
			have := f.send(http.MethodPost, "/v1/services/billdesk"+test.path, test.body, test.header...)
			if have.status != test.wantStatus {
				t.Errorf("status %d, want %d: %s", have.status, test.wantStatus, have.body)
			}
			for _, req := range ready.seen() {
				for _, key := range []string{callerKey, otherKey, "older-key"} {
					if text := fmt.Sprintf("%+v %s", req, req.Body); strings.Contains(text, key) {
						t.Errorf("the agent saw %q in %s", key, text)
					}
				}
			}
		})
	}
}

// Many callers use one entry at the same time over keep-alive connections. The HTTP library reuses its buffers: a
// string retained after its handler returns would turn into another caller's. Each caller must get back exactly what it
// sent.
func TestCallersGetTheirOwnAnswers(t *testing.T) {
	f := newFixture(t, &fakeAgent{}, &fakeAgent{})
	const callers, calls = 24, 20
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range calls {
				body := strings.Repeat(fmt.Sprintf("%d-%d ", caller, i), 1+(caller*7+i)%50)
				have := f.send(http.MethodPost, "/v1/services/billdesk/search", body)
				if have.status != http.StatusOK || have.body != body {
					t.Errorf("caller %d: status %d, body %.60q, want %.60q", caller, have.status, have.body, body)
				}
			}
		})
	}
	group.Wait()
}

func TestRefusalsBeforeAnythingRuns(t *testing.T) {
	for _, test := range []struct {
		name, path string
		header     []string
		wantStatus int
		wantReason verdict.Reason
	}{
		{"unknown key", "/v1/services/billdesk/x", []string{"Authorization", "Bearer nobody"}, http.StatusUnauthorized, verdict.ReasonUnknownKey},
		{"no key", "/v1/services/billdesk/x", []string{"Authorization", ""}, http.StatusUnauthorized, verdict.ReasonUnknownKey},
		{"other organisation", "/v1/services/billdesk/x", []string{"Authorization", "Bearer " + otherKey}, http.StatusForbidden, verdict.ReasonForbidden},
		{"unknown pool", "/v1/services/nothing/x", nil, http.StatusNotFound, verdict.ReasonNotFound},
		{"model pool as a service", "/v1/services/draftmodel/x", nil, http.StatusNotFound, verdict.ReasonNotFound},
		{"unknown path", "/v2", nil, http.StatusNotFound, verdict.ReasonNotFound},
		{"bad timeout", "/v1/services/billdesk/x", []string{"Request-Timeout", "soon"}, http.StatusBadRequest, verdict.ReasonBadRequest},
		{"timeout not a number", "/v1/services/billdesk/x", []string{"Request-Timeout", "NaN"}, http.StatusBadRequest, verdict.ReasonBadRequest},
		{"timeout too long", "/v1/services/billdesk/x", []string{"Request-Timeout", "86400"}, http.StatusBadRequest, verdict.ReasonBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			ready := &fakeAgent{}
			f := newFixture(t, ready)
			have := f.send(http.MethodPost, test.path, "", test.header...)
			if have.status != test.wantStatus || have.reason != test.wantReason || have.verdict != verdict.NotRun {
				t.Errorf("have %+v", have)
			}
			if runs(ready) != 0 {
				t.Error("the call reached an agent")
			}
		})
	}
}

// A client uses a method that the path doesn't support. The refusal must name the method that it supports.
func TestUnsupportedMethodIsRefusedWithTheSupportedOne(t *testing.T) {
	f := newFixture(t, &fakeAgent{})
	response, err := http.Get(f.url + modelPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var refusal struct {
		Verdict verdict.Verdict `json:"verdict"`
		Reason  verdict.Reason  `json:"reason"`
	}
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusMethodNotAllowed || response.Header.Get("Allow") != http.MethodPost ||
		refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonBadRequest {
		t.Errorf("status %d, allowed %q, %+v", response.StatusCode, response.Header.Get("Allow"), refusal)
	}
}

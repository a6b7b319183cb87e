package entry

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// A caller's path contains escaped slashes, question marks, spaces or line breaks. The entry used to forward the
// decoded path and query: a question mark began a query that skipped the search for keys, a space or line break made a
// request line that the backend server couldn't read, and a parent segment led a call out of the paths that may be
// repeated.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	for _, test := range []struct {
		name, target        string
		wantStatus          int
		wantPath, wantQuery string
	}{
		{"plain", "/x/y", http.StatusOK, "/x/y", ""},
		{"empty", "", http.StatusOK, "/", ""},
		{"root", "/", http.StatusOK, "/", ""},
		{"trailing slash", "/x/", http.StatusOK, "/x/", ""},
		{"empty segments", "//x//y", http.StatusOK, "//x//y", ""},
		{"escaped slash", "/a%2Fb", http.StatusOK, "/a%2Fb", ""},
		{"escaped question mark", "/a%3Fkey=1", http.StatusOK, "/a%3Fkey=1", ""},
		{"escaped hash sign", "/a%23b", http.StatusOK, "/a%23b", ""},
		{"escaped line break", "/a%20HTTP/1.1%0d%0aX-Inserted:%201", http.StatusOK, "/a%20HTTP/1.1%0d%0aX-Inserted:%201", ""},
		{"escaped space and percent sign", "/a%20b%25c", http.StatusOK, "/a%20b%25c", ""},
		{"escaped non-ASCII letter", "/%C3%A9", http.StatusOK, "/%C3%A9", ""},
		{"segment parameters", "/a;b=c,d", http.StatusOK, "/a;b=c,d", ""},
		{"query order", "/x?b=2&a=1&b=1", http.StatusOK, "/x", "b=2&a=1&b=1"},
		{"query escapes", "/x?a=b%20c+d&e&&f=", http.StatusOK, "/x", "a=b%20c+d&e&&f="},
		{"key parameter among others", "/x?b=2&Token=t&a=1", http.StatusOK, "/x", "b=2&a=1"},
		{"raw non-ASCII letter", "/\xc3\xa9", http.StatusOK, "/\xc3\xa9", ""},
		{"raw control character", "/a\x01", http.StatusBadRequest, "", ""},
		{"raw control character in the query", "/a?b=\x01", http.StatusBadRequest, "", ""},
		{"invalid escape", "/a%zz", http.StatusBadRequest, "", ""},
		{"invalid escape in the query", "/a?b=%zz", http.StatusBadRequest, "", ""},
		{"parent segment", "/search/../bookings", http.StatusBadRequest, "", ""},
		{"escaped parent segment", "/search%2F%2e%2E/bookings", http.StatusBadRequest, "", ""},
		{"dot segment", "/./bookings", http.StatusBadRequest, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			ready := &fakeAgent{}
			f := newFixture(t, ready)
			conn := f.connect()
			f.write(conn, "GET /v1/services/billdesk"+test.target+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+callerKey+"\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != test.wantStatus {
				t.Errorf("status %d, want %d", response.StatusCode, test.wantStatus)
			}
			for _, req := range ready.seen() {
				if test.wantStatus != http.StatusOK || req.Path != test.wantPath || req.Query != test.wantQuery {
					t.Errorf("the agent got path %q and query %q", req.Path, req.Query)
				}
			}
		})
	}
}

// An operator lists /search as a path whose calls may be repeated. A POST to /searches, which makes a booking, was
// also repeated after a lost answer, since its path starts with the same letters.
func TestOnlyPathsBelowAListedOneMayBeRepeated(t *testing.T) {
	for _, test := range []struct {
		path string
		want bool
	}{
		{"/search", true},
		{"/search/", true},
		{"/search/fees", true},
		{"/searches", false},
		{"/%73earch", false},
		{"/", false},
	} {
		pool, _ := testView(t).Pool("billdesk")
		if have := isIdempotent(pool, request.Execute{Method: http.MethodPost, Path: test.path}); have != test.want {
			t.Errorf("%s: %t, want %t", test.path, have, test.want)
		}
	}
}

package entry

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// A caller's path holds escaped slashes, question marks, spaces or line breaks.
// Passed on without its escapes it named something else: a question mark began a query past the check for keys,
// a space or line break made a request line that the backend server couldn't read, and a parent segment led a call out of the
// paths that may be repeated. The cause: the entry passed on the path and the query as it read them, not as they came.
func TestTargetGoesOnAsItCame(t *testing.T) {
	for _, test := range []struct {
		name, target        string
		wantStatus          int
		wantPath, wantQuery string
	}{
		{"plain", "/x/y", http.StatusOK, "/x/y", ""},
		{"none", "", http.StatusOK, "/", ""},
		{"root", "/", http.StatusOK, "/", ""},
		{"slash at the end", "/x/", http.StatusOK, "/x/", ""},
		{"empty segments", "//x//y", http.StatusOK, "//x//y", ""},
		{"escaped slash", "/a%2Fb", http.StatusOK, "/a%2Fb", ""},
		{"escaped question mark", "/a%3Fkey=1", http.StatusOK, "/a%3Fkey=1", ""},
		{"escaped number sign", "/a%23b", http.StatusOK, "/a%23b", ""},
		{"escaped line break", "/a%20HTTP/1.1%0d%0aX-Inserted:%201", http.StatusOK, "/a%20HTTP/1.1%0d%0aX-Inserted:%201", ""},
		{"escaped space and percent sign", "/a%20b%25c", http.StatusOK, "/a%20b%25c", ""},
		{"escaped other alphabet", "/%C3%A9", http.StatusOK, "/%C3%A9", ""},
		{"parameters of a segment", "/a;b=c,d", http.StatusOK, "/a;b=c,d", ""},
		{"order of the query", "/x?b=2&a=1&b=1", http.StatusOK, "/x", "b=2&a=1&b=1"},
		{"escapes of the query", "/x?a=b%20c+d&e&&f=", http.StatusOK, "/x", "a=b%20c+d&e&&f="},
		{"key parameter among others", "/x?b=2&Token=t&a=1", http.StatusOK, "/x", "b=2&a=1"},
		{"raw other alphabet", "/\xc3\xa9", http.StatusOK, "/\xc3\xa9", ""},
		{"raw control character", "/a\x01", http.StatusBadRequest, "", ""},
		{"raw control character in the query", "/a?b=\x01", http.StatusBadRequest, "", ""},
		{"unreadable escape", "/a%zz", http.StatusBadRequest, "", ""},
		{"unreadable escape in the query", "/a?b=%zz", http.StatusBadRequest, "", ""},
		{"parent segment", "/search/../bookings", http.StatusBadRequest, "", ""},
		{"escaped parent segment", "/search%2F%2e%2E/bookings", http.StatusBadRequest, "", ""},
		{"own segment", "/./bookings", http.StatusBadRequest, "", ""},
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
			for _, q := range ready.seen() {
				if test.wantStatus != http.StatusOK || q.Path != test.wantPath || q.Query != test.wantQuery {
					t.Errorf("the agent got path %q and query %q", q.Path, q.Query)
				}
			}
		})
	}
}

// An operator lists /search as a path whose calls may be repeated.
// A POST to /searches, which books, was then repeated after a lost answer, since its path begins alike.
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

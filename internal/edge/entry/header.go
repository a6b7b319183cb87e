package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"sort"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// forwardedHeaders is the whole list of request headers that reach a backend server. A list of what
// may pass holds against headers that nobody thought of; a list of what may not pass wouldn't.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range", "X-Request-Id",
}

// returnedHeaders is the whole list of answer headers that reach a caller.
var returnedHeaders = map[string]bool{
	"Accept-Ranges": true, "Cache-Control": true, "Content-Disposition": true, "Content-Encoding": true,
	"Content-Language": true, "Content-Range": true, "Content-Type": true, "Etag": true, "Expires": true,
	"Last-Modified": true, "Location": true, "Retry-After": true, "Vary": true, "X-Request-Id": true,
}

// keyParameters are query parameters that commonly hold keys; they never go on.
var keyParameters = map[string]bool{
	"key": true, "apikey": true, "api_key": true, "api-key": true, "access_token": true, "token": true, "authorization": true,
}

const headerIdempotencyKey = "Idempotency-Key"

// isKey says whether text is or holds a caller's key.
type isKey func(text string) bool

// keyFinder finds the presented key anywhere in a text, and any valid key that is the whole text.
func (e *Entry) keyFinder(from caller) isKey {
	view := e.deps.Views.View()
	return func(text string) bool {
		if strings.Contains(text, from.key) {
			return true
		}
		_, _, known := view.Authenticate(strings.TrimPrefix(text, bearerPrefix))
		return known
	}
}

// forwardHeaders picks the request headers that go on. The caller's idempotency key goes on hashed, so that
// key material sent there by mistake isn't shown to the backend server.
func forwardHeaders(c fiber.Ctx, holdsKey isKey) []request.HeaderField {
	fields := make([]request.HeaderField, 0, len(forwardedHeaders))
	for _, name := range forwardedHeaders {
		value := c.Get(name)
		if value == "" || holdsKey(value) {
			continue
		}
		fields = append(fields, request.HeaderField{Name: name, Value: value})
	}
	if key := c.Get(headerIdempotencyKey); key != "" {
		sum := sha256.Sum256([]byte(key))
		fields = append(fields, request.HeaderField{Name: headerIdempotencyKey, Value: hex.EncodeToString(sum[:])})
	}
	return fields
}

// forwardQuery returns the query without parameters that hold a key, sorted by name.
func forwardQuery(raw string, holdsKey isKey) (string, error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return "", badRequest("the query can't be read: %v", err)
	}
	for name, all := range values {
		if keyParameters[strings.ToLower(name)] || holdsKey(name) || anyHolds(all, holdsKey) {
			values.Del(name)
		}
	}
	return values.Encode(), nil
}

func anyHolds(values []string, holdsKey isKey) bool {
	for _, value := range values {
		if holdsKey(value) {
			return true
		}
	}
	return false
}

// refuseKeyInContent refuses a request whose path or body holds the presented key: dropping
// part of a body would change what the caller asked for.
func refuseKeyInContent(path string, body []byte, holdsKey isKey) error {
	for segment := range strings.SplitSeq(path, "/") {
		if segment != "" && holdsKey(segment) {
			return verdict.New(verdict.NotRun, http.StatusBadRequest, verdict.ReasonBadRequest, 0, "the path holds a key")
		}
	}
	if holdsKey(string(body)) {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, verdict.ReasonBadRequest, 0, "the body holds a key")
	}
	return nil
}

// returnHeaders picks the answer headers that go back to the caller, sorted by name.
func returnHeaders(fields []request.HeaderField) []request.HeaderField {
	kept := make([]request.HeaderField, 0, len(fields))
	for _, field := range fields {
		if returnedHeaders[http.CanonicalHeaderKey(field.Name)] {
			kept = append(kept, field)
		}
	}
	sort.SliceStable(kept, func(i, j int) bool { return kept[i].Name < kept[j].Name })
	return kept
}

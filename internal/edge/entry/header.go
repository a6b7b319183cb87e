package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sort"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// forwardedHeaders lists the request headers that are forwarded to a backend server. It is an allow list, since a deny
// list would let headers through that nobody thought of.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range", "X-Request-Id",
}

// returnedHeaders lists the response headers that are returned to the caller.
var returnedHeaders = map[string]bool{
	"Accept-Ranges": true, "Cache-Control": true, "Content-Disposition": true, "Content-Encoding": true,
	"Content-Language": true, "Content-Range": true, "Content-Type": true, "Etag": true, "Expires": true,
	"Last-Modified": true, "Location": true, "Retry-After": true, "Vary": true, "X-Request-Id": true,
}

const headerIdempotencyKey = "Idempotency-Key"

// keyMatcher reports whether text is or contains a caller's key.
type keyMatcher func(text string) bool

// newKeyMatcher returns a matcher for texts that contain the presented key, or consist of any valid key.
func (e *Entry) newKeyMatcher(from caller) keyMatcher {
	view := e.deps.Views.View()
	return func(text string) bool {
		if strings.Contains(text, from.key) {
			return true
		}
		_, _, known := view.Authenticate(strings.TrimPrefix(text, bearerPrefix))
		return known
	}
}

// forwardHeaders returns the request headers to forward, without those that contain a key. The caller's idempotency
// key is forwarded hashed, so that a key sent there by mistake doesn't reach the backend server.
func forwardHeaders(c fiber.Ctx, containsKey keyMatcher) []request.HeaderField {
	fields := make([]request.HeaderField, 0, len(forwardedHeaders))
	for _, name := range forwardedHeaders {
		value := c.Get(name)
		if value == "" || containsKey(value) {
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

// returnHeaders returns the response headers for the caller, sorted by name.
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

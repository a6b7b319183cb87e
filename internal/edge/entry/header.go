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

// forwardedHeaders is the whole list of request headers that reach a backend server. A list of what
// may pass holds against headers that nobody thought of; a list of what may not pass wouldn't.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range", "X-Request-Id",
}

// returnedHeaders is the whole list of answer headers that reach a caller.
var returnedHeaders = map[string]bool{
	"Accept-Ranges": true, "Cache-Control": true, "Content-Disposition": true, "Content-Encoding": true,
	"Content-Language": true, "Content-Range": true, "Content-Type": true, "Etag": true, "Expires": true,
	"Last-Modified": true, "Location": true, "Retry-After": true, "Vary": true, "X-Request-Id": true,
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

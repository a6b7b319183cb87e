package agent

import (
	"net/textproto"
	"net/url"
	"strings"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

const headerIdempotencyKey = "Idempotency-Key"

// requestHeaders may go on to a backend server. All others stop here, Authorization, Cookie and
// X-Api-Key among them: a list of what is allowed stays right when a caller invents a header.
var requestHeaders = map[string]bool{
	"Accept":             true,
	"Accept-Encoding":    true,
	"Accept-Language":    true,
	"Content-Encoding":   true,
	"Content-Language":   true,
	"Content-Type":       true,
	headerIdempotencyKey: true,
	"If-Match":           true,
	"If-Modified-Since":  true,
	"If-None-Match":      true,
	"Range":              true,
	"Traceparent":        true,
	"User-Agent":         true,
}

// hopHeaders are about one connection and never go on to the caller.
var hopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// allowedHeader returns the fields that may go on to the backend server. A value that is a known key
// is dropped even in an allowed field.
func allowedHeader(view *ticket.View, header []request.HeaderField) []request.HeaderField {
	var allowed []request.HeaderField
	for _, field := range header {
		name := textproto.CanonicalMIMEHeaderKey(field.Name)
		if requestHeaders[name] && !isKey(view, field.Value) {
			allowed = append(allowed, request.HeaderField{Name: name, Value: field.Value})
		}
	}
	return allowed
}

// answerHeader returns the fields of an answer that go on to the caller.
func answerHeader(header []request.HeaderField) []request.HeaderField {
	var kept []request.HeaderField
	for _, field := range header {
		if !hopHeaders[textproto.CanonicalMIMEHeaderKey(field.Name)] {
			kept = append(kept, field)
		}
	}
	return kept
}

// allowedQuery drops the parameters whose value is a known key; the others keep order and bytes.
func allowedQuery(view *ticket.View, query string) string {
	var kept []string
	for part := range strings.SplitSeq(query, "&") {
		_, raw, _ := strings.Cut(part, "=")
		value, err := url.QueryUnescape(raw)
		if err != nil {
			value = raw
		}
		if !isKey(view, value) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

func isKey(view *ticket.View, value string) bool {
	value = strings.TrimSpace(value)
	if _, token, ok := strings.Cut(value, " "); ok {
		if _, _, known := view.Authenticate(token); known {
			return true
		}
	}
	_, _, known := view.Authenticate(value)
	return known
}

func idempotencyKey(q request.Execute) (string, bool) {
	for _, field := range q.Header {
		if textproto.CanonicalMIMEHeaderKey(field.Name) == headerIdempotencyKey && field.Value != "" {
			return field.Value, true
		}
	}
	return "", false
}

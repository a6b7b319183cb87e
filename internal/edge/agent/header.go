package agent

import (
	"net/textproto"
	"net/url"
	"strings"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

const headerIdempotencyKey = "Idempotency-Key"

// forwardedRequestHeaders are the request headers that are forwarded to the backend server. All others, including
// Authorization, Cookie and X-Api-Key, are removed. An allow-list also covers headers that a caller makes up.
var forwardedRequestHeaders = map[string]bool{
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

// hopByHopHeaders apply to a single connection and are not forwarded to the caller.
var hopByHopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// filterRequestHeader returns the fields that are forwarded to the backend server. A field whose value is a known
// API key is removed even if its name is allowed.
func filterRequestHeader(view *ticket.View, header []request.HeaderField) []request.HeaderField {
	var allowed []request.HeaderField
	for _, field := range header {
		name := textproto.CanonicalMIMEHeaderKey(field.Name)
		if forwardedRequestHeaders[name] && !isKnownKey(view, field.Value) {
			allowed = append(allowed, request.HeaderField{Name: name, Value: field.Value})
		}
	}
	return allowed
}

// filterAnswerHeader returns the fields of an answer that are forwarded to the caller.
func filterAnswerHeader(header []request.HeaderField) []request.HeaderField {
	var kept []request.HeaderField
	for _, field := range header {
		if !hopByHopHeaders[textproto.CanonicalMIMEHeaderKey(field.Name)] {
			kept = append(kept, field)
		}
	}
	return kept
}

// filterQuery removes the parameters whose value is a known API key. The other parameters keep their order and
// encoding.
func filterQuery(view *ticket.View, query string) string {
	var kept []string
	for part := range strings.SplitSeq(query, "&") {
		_, raw, _ := strings.Cut(part, "=")
		value, err := url.QueryUnescape(raw)
		if err != nil {
			value = raw
		}
		if !isKnownKey(view, value) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// isKnownKey reports whether the value is a known API key, alone or after a scheme such as Bearer.
func isKnownKey(view *ticket.View, value string) bool {
	value = strings.TrimSpace(value)
	if _, token, ok := strings.Cut(value, " "); ok {
		if _, _, known := view.Authenticate(token); known {
			return true
		}
	}
	_, _, known := view.Authenticate(value)
	return known
}

func idempotencyKey(req request.Execute) (string, bool) {
	for _, field := range req.Header {
		if textproto.CanonicalMIMEHeaderKey(field.Name) == headerIdempotencyKey && field.Value != "" {
			return field.Value, true
		}
	}
	return "", false
}

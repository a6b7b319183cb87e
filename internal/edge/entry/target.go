package entry

import (
	"net/url"
	"strings"
)

// poolPathSegments is the number of path segments up to and including the pool: v1, services, {pool}.
const poolPathSegments = 3

// asciiDEL is the only ASCII control character that doesn't sort before the space.
const asciiDEL = 0x7f

// keyParameters are query parameters that commonly hold keys; they are never forwarded.
var keyParameters = map[string]bool{
	"key": true, "apikey": true, "api_key": true, "api-key": true, "access_token": true, "token": true, "authorization": true,
}

// forwardPath returns the part of the path after the pool, with its escapes as received.
//
// An unescaped path would mean something else to the backend server: a question mark would begin a query that wasn't
// searched for keys, and a space would end the request target. A segment ".." would lead a call out of the paths whose
// calls may be repeated, so that a call that isn't idempotent could run twice.
func forwardPath(raw string, containsKey keyMatcher) (string, error) {
	if err := refuseControlBytes("path", raw); err != nil {
		return "", err
	}
	path := "/"
	if parts := strings.SplitN(strings.TrimPrefix(raw, "/"), "/", poolPathSegments+1); len(parts) > poolPathSegments {
		path += parts[poolPathSegments]
	}
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return "", badRequest("the path can't be read: %v", err)
	}
	for _, segment := range strings.FieldsFunc(unescaped, isSeparator) {
		// Some servers remove a semicolon and what follows it before they resolve the segment.
		if name, _, _ := strings.Cut(segment, ";"); name == "." || name == ".." {
			return "", badRequest("the path has a segment %q: send it without", segment)
		}
		if containsKey(segment) {
			return "", badRequest("the path holds a key")
		}
	}
	return path, nil
}

// isSeparator reports whether a server may treat r as a path separator.
func isSeparator(r rune) bool { return r == '/' || r == '\\' }

// forwardQuery returns the query without parameters that hold a key; the others keep their order and escapes.
func forwardQuery(raw string, containsKey keyMatcher) (string, error) {
	if err := refuseControlBytes("query", raw); err != nil {
		return "", err
	}
	var kept []string
	for pair := range strings.SplitSeq(raw, "&") {
		escapedName, escapedValue, _ := strings.Cut(pair, "=")
		name, err := url.QueryUnescape(escapedName)
		if err != nil {
			return "", badRequest("the query can't be read: %v", err)
		}
		value, err := url.QueryUnescape(escapedValue)
		if err != nil {
			return "", badRequest("the query can't be read: %v", err)
		}
		if keyParameters[strings.ToLower(name)] || containsKey(name) || containsKey(value) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&"), nil
}

// refuseControlBytes refuses a path or query with a space or control character, which would end the request target.
func refuseControlBytes(part, raw string) error {
	for i := range len(raw) {
		if raw[i] <= ' ' || raw[i] == asciiDEL {
			return badRequest("the %s has the byte 0x%02x at %d: escape it as %%%02X", part, raw[i], i, raw[i])
		}
	}
	return nil
}

// refuseKeyInContent refuses a request whose body contains the presented key. Removing the key from the body would
// change what the caller asked for.
func refuseKeyInContent(body string, containsKey keyMatcher) error {
	if containsKey(body) {
		return badRequest("the body holds a key")
	}
	return nil
}

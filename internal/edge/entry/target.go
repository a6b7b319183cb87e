package entry

import (
	"net/url"
	"strings"
)

// pathSegmentsOfPool is how many segments of a plain call's path name the interface and the pool: v1, services, {pool}.
const pathSegmentsOfPool = 3

// deleteCharacter is the one control character behind the letters.
const deleteCharacter = 0x7f

// keyParameters are query parameters that commonly hold keys; they never go on.
var keyParameters = map[string]bool{
	"key": true, "apikey": true, "api_key": true, "api-key": true, "access_token": true, "token": true, "authorization": true,
}

// forwardPath returns what follows the pool in the path of a plain call, with its escapes as they came.
//
// Guard: a path passed on without its escapes means something else to the backend server: a question mark begins a
// query that nobody searched for keys, a space ends the request line. A segment ".." would lead a call out of the
// paths whose calls may be repeated, and a call that may not be repeated would run twice.
func forwardPath(raw string, holdsKey isKey) (string, error) {
	if err := refuseUnreadable("path", raw); err != nil {
		return "", err
	}
	path := "/"
	if parts := strings.SplitN(strings.TrimPrefix(raw, "/"), "/", pathSegmentsOfPool+1); len(parts) > pathSegmentsOfPool {
		path += parts[pathSegmentsOfPool]
	}
	plain, err := url.PathUnescape(path)
	if err != nil {
		return "", badRequest("the path can't be read: %v", err)
	}
	for _, segment := range strings.FieldsFunc(plain, isSeparator) {
		// Some servers take what follows a semicolon out before they resolve the segment.
		if name, _, _ := strings.Cut(segment, ";"); name == "." || name == ".." {
			return "", badRequest("the path has a segment %q: send it without", segment)
		}
		if holdsKey(segment) {
			return "", badRequest("the path holds a key")
		}
	}
	return path, nil
}

// isSeparator says whether a server may take r for the end of a path segment.
func isSeparator(r rune) bool { return r == '/' || r == '\\' }

// forwardQuery returns the query without the parameters that hold a key; the others keep their order and escapes.
func forwardQuery(raw string, holdsKey isKey) (string, error) {
	if err := refuseUnreadable("query", raw); err != nil {
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
		if keyParameters[strings.ToLower(name)] || holdsKey(name) || holdsKey(value) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&"), nil
}

// refuseUnreadable refuses a part of the target with a byte that would end it.
func refuseUnreadable(part, raw string) error {
	for i := range len(raw) {
		if raw[i] <= ' ' || raw[i] == deleteCharacter {
			return badRequest("the %s has the byte 0x%02x at %d: escape it as %%%02X", part, raw[i], i, raw[i])
		}
	}
	return nil
}

// refuseKeyInContent refuses a request whose body holds the presented key: dropping part of a body would change
// what the caller asked for.
func refuseKeyInContent(body string, holdsKey isKey) error {
	if holdsKey(body) {
		return badRequest("the body holds a key")
	}
	return nil
}

package ticket

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// MaxSize is the maximum size of a ticket in bytes: the size of the largest value that the platform stores.
const MaxSize = 1 << 20

// maxDepth is the maximum nesting depth of a ticket's JSON. Valid tickets need four levels.
const maxDepth = 16

// ErrNotJSON is returned for a ticket that isn't exactly one JSON object or is too large.
var ErrNotJSON = errors.New("ticket is not one JSON object")

// Parse decodes and validates a ticket. It returns ErrNotJSON, or FieldErrors for all invalid fields. It checks
// the JSON before decoding it, since encoding/json accepts duplicate fields and reports no path for unknown ones.
func Parse(data []byte) (Ticket, error) {
	if len(data) > MaxSize {
		return Ticket{}, errors.Wrapf(ErrNotJSON, "%d bytes, at most %d", len(data), MaxSize)
	}
	tree, err := readTree(data)
	if err != nil {
		return Ticket{}, err
	}
	var found findings
	matchType(&found, "", tree, reflect.TypeFor[Ticket]())
	if err := found.err(); err != nil {
		return Ticket{}, err
	}
	var parsed Ticket
	if err := json.Unmarshal(data, &parsed); err != nil {
		return Ticket{}, errors.Wrap(ErrNotJSON, err.Error())
	}
	if err := parsed.Validate(); err != nil {
		return Ticket{}, err
	}
	return parsed, nil
}

// ParseReader reads and parses a ticket of at most MaxSize bytes.
func ParseReader(r io.Reader) (Ticket, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxSize+1))
	if err != nil {
		return Ticket{}, errors.Wrap(err, "ticket")
	}
	return Parse(data)
}

// object is a decoded JSON object with the names of its duplicate fields.
type object struct {
	fields     map[string]any
	duplicates []string
}

func readTree(data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	tree, err := readValue(decoder, 0)
	if err != nil {
		return nil, errors.Wrapf(ErrNotJSON, "byte %d: %v", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.Wrapf(ErrNotJSON, "byte %d: more after the ticket", decoder.InputOffset())
	}
	if _, ok := tree.(object); !ok {
		return nil, errors.Wrapf(ErrNotJSON, "it is %s", describeValue(tree))
	}
	return tree, nil
}

func readValue(decoder *json.Decoder, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errors.Errorf("nested deeper than %d levels", maxDepth)
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return readObject(decoder, depth)
	case json.Delim('['):
		return readList(decoder, depth)
	default:
		return token, nil
	}
}

func readObject(decoder *json.Decoder, depth int) (any, error) {
	decoded := object{fields: map[string]any{}}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		value, err := readValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		if _, ok := decoded.fields[name]; ok {
			decoded.duplicates = append(decoded.duplicates, name)
		}
		decoded.fields[name] = value
	}
	_, err := decoder.Token()
	return decoded, err
}

func readList(decoder *json.Decoder, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := readValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token()
	return list, err
}

// matchType adds an error for each place where the decoded JSON value doesn't match the Go type.
func matchType(f *findings, path string, value any, want reflect.Type) {
	switch {
	case want == reflect.TypeFor[Duration]():
		matchDuration(f, path, value)
	case want.Kind() == reflect.Struct:
		matchObject(f, path, value, want)
	case want.Kind() == reflect.Slice:
		matchList(f, path, value, want)
	default:
		matchScalar(f, path, value, want)
	}
}

func matchObject(f *findings, path string, value any, want reflect.Type) {
	decoded, ok := value.(object)
	if !ok {
		f.add(path, "it is "+describeValue(value), "an object")
		return
	}
	types := map[string]reflect.Type{}
	known := []string{}
	for i := range want.NumField() {
		name, _, _ := strings.Cut(want.Field(i).Tag.Get("json"), ",")
		types[name] = want.Field(i).Type
		known = append(known, name)
	}
	slices.Sort(known)
	for _, name := range decoded.duplicates {
		f.add(joinPath(path, name), "the field comes twice", "each field once")
	}
	for name, field := range decoded.fields {
		fieldType, ok := types[name]
		if !ok {
			f.add(joinPath(path, name), "unknown field", "one of "+strings.Join(known, ", "))
			continue
		}
		matchType(f, joinPath(path, name), field, fieldType)
	}
}

func matchList(f *findings, path string, value any, want reflect.Type) {
	list, ok := value.([]any)
	if !ok {
		f.add(path, "it is "+describeValue(value), "a list")
		return
	}
	for i, entry := range list {
		matchType(f, fmt.Sprintf("%s[%d]", path, i), entry, want.Elem())
	}
}

func matchDuration(f *findings, path string, value any) {
	text, ok := value.(string)
	if !ok {
		f.add(path, "it is "+describeValue(value), `a duration such as "90s"`)
		return
	}
	var parsed Duration
	quoted := strconv.Quote(text)
	if parsed.UnmarshalJSON([]byte(quoted)) != nil {
		f.add(path, fmt.Sprintf("%.40q is no duration", text), `a duration such as "90s"`)
	}
}

func matchScalar(f *findings, path string, value any, want reflect.Type) {
	number, isNumber := value.(json.Number)
	switch want.Kind() {
	case reflect.String:
		_, ok := value.(string)
		f.require(ok, path, "it is "+describeValue(value), "a string")
	case reflect.Bool:
		_, ok := value.(bool)
		f.require(ok, path, "it is "+describeValue(value), "true or false")
	case reflect.Int:
		_, err := strconv.ParseInt(number.String(), 10, want.Bits())
		f.require(isNumber && err == nil, path, "it is "+describeValue(value), "a whole number")
	default:
		_, err := strconv.ParseFloat(number.String(), 64)
		f.require(isNumber && err == nil, path, "it is "+describeValue(value), "a number")
	}
}

func joinPath(path, name string) string {
	name = fmt.Sprintf("%.80s", name)
	if path == "" {
		return name
	}
	return path + "." + name
}

// describeValue describes a JSON value for an error message. It doesn't show strings, since they may contain
// key material.
func describeValue(value any) string {
	switch typed := value.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case bool:
		return "true or false"
	case json.Number:
		return fmt.Sprintf("the number %.40s", typed.String())
	case []any:
		return "a list"
	default:
		return "an object"
	}
}

package settings

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// ErrInvalid matches every error about the content of a settings file.
var ErrInvalid = errors.New("invalid settings")

// invalidError holds one message line per problem.
type invalidError struct{ lines []string }

func (e *invalidError) Error() string { return strings.Join(e.lines, "\n") }

// Is makes errors.Is(err, ErrInvalid) hold.
func (e *invalidError) Is(target error) bool { return target == ErrInvalid }

func newInvalidError(lines ...string) error { return &invalidError{lines: lines} }

// document is a parsed settings file: the value and line number of each field, and the problems found so far.
type document struct {
	path     string
	data     []byte
	members  map[string]hujson.Value
	lines    map[string]int
	problems []problem
}

// problem is an error in one field; line counts from 1.
type problem struct {
	line    int
	field   string
	message string
}

func parseDocument(path string, data []byte) (*document, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, newInvalidError(fmt.Sprintf("%s: %v", path, err))
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil, newInvalidError(path + ":1: want a single object { … }")
	}
	doc := &document{path: path, data: data, members: map[string]hujson.Value{}, lines: map[string]int{}}
	for _, member := range object.Members {
		doc.addMember(member)
	}
	return doc, nil
}

// addMember records a field, or a problem if the field is already set.
func (d *document) addMember(member hujson.ObjectMember) {
	name := decodeName(member.Name)
	line := 1 + strings.Count(string(d.data[:member.Name.StartOffset]), "\n")
	if _, duplicate := d.members[name]; duplicate {
		d.problems = append(d.problems, problem{line, name, fmt.Sprintf("duplicate field, first set on line %d; keep one", d.lines[name])})
		return
	}
	d.members[name] = member.Value
	d.lines[name] = line
}

func decodeName(value hujson.Value) string {
	var name string
	if literal, ok := value.Value.(hujson.Literal); ok {
		name = literal.String()
	}
	return name
}

// apply sets every valid field in s and records unknown and invalid ones as problems.
func (d *document) apply(s *Settings, role Role) {
	for _, name := range d.fieldNames() {
		f, known := fields[name]
		if !known {
			d.addProblem(name, "unknown field; known fields are %s", strings.Join(knownFields(role), ", "))
			continue
		}
		value := d.members[name].Clone()
		value.Standardize()
		raw := strings.TrimSpace(value.String())
		if err := f.set(s, json.RawMessage(raw)); err != nil {
			d.addProblem(name, "want %s, have %s", f.want, redact(name, raw))
		}
	}
}

// redact replaces the values of fields that hold secrets, so that no error message contains them.
func redact(name, raw string) string {
	if strings.Contains(strings.ToLower(name), "secret") {
		return "a value that is not shown"
	}
	return raw
}

// fieldNames returns the names of all fields, in the order of their lines.
func (d *document) fieldNames() []string {
	names := make([]string, 0, len(d.members))
	for name := range d.members {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return d.lines[names[i]] < d.lines[names[j]] })
	return names
}

func (d *document) has(name string) bool {
	_, ok := d.members[name]
	return ok
}

// addProblem records a problem with a field that is set.
func (d *document) addProblem(field, format string, args ...any) {
	d.problems = append(d.problems, problem{d.lines[field], field, fmt.Sprintf(format, args...)})
}

// rejectForRole records a problem for each of the named fields that is set, since the role does not use them.
func (d *document) rejectForRole(role Role, names ...string) {
	for _, name := range names {
		if d.has(name) {
			d.addProblem(name, "not used by the role %s; remove it", role)
		}
	}
}

// require records a problem for each of the named fields that is not set.
func (d *document) require(names ...string) {
	for _, name := range names {
		if !d.has(name) {
			d.problems = append(d.problems, problem{1, name, fmt.Sprintf("missing; want %s", fields[name].want)})
		}
	}
}

// err returns an error with all problems sorted by line, or nil if there are none.
func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].line < d.problems[j].line })
	lines := make([]string, 0, len(d.problems))
	for _, p := range d.problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", d.path, p.line, p.field, p.message))
	}
	return newInvalidError(lines...)
}

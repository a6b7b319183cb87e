package ticket

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FieldError describes an invalid field of a ticket and what is valid there.
type FieldError struct {
	// Path is the path of the field, such as "pools[1].minServers".
	Path string
	// Problem describes the error. It never contains a key or the hash of a key.
	Problem string
	// Expected describes a valid value.
	Expected string
}

// Error returns the path, the problem and the expected value in one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s; expected %s", e.Path, e.Problem, e.Expected)
}

// FieldErrors holds all errors of a ticket, sorted by path.
type FieldErrors []*FieldError

// Error returns all errors, separated by semicolons.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, field := range e {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "; ")
}

// findings collects field errors.
type findings struct{ list FieldErrors }

func (f *findings) add(path, problem, expected string) {
	f.list = append(f.list, &FieldError{Path: path, Problem: problem, Expected: expected})
}

// require adds an error unless ok is true.
func (f *findings) require(ok bool, path, problem, expected string) {
	if !ok {
		f.add(path, problem, expected)
	}
}

// err returns the collected errors as FieldErrors, or nil if there are none.
func (f *findings) err() error {
	if len(f.list) == 0 {
		return nil
	}
	slices.SortStableFunc(f.list, func(a, b *FieldError) int { return cmp.Compare(a.Path, b.Path) })
	return f.list
}

package ticket

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FieldError says which field of a ticket is wrong and what would be right.
type FieldError struct {
	// Path leads to the field, such as "pools[1].minServers".
	Path string
	// Problem is what is wrong; it never holds the value of a key or a key's hash.
	Problem string
	// Expected is what would be right.
	Expected string
}

// Error returns path, problem and remedy in one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s; expected %s", e.Path, e.Problem, e.Expected)
}

// FieldErrors is everything that is wrong with a ticket, sorted by path.
type FieldErrors []*FieldError

// Error returns all errors, separated by semicolons.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, field := range e {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "; ")
}

// findings gathers field errors.
type findings struct{ list FieldErrors }

func (f *findings) add(path, problem, expected string) {
	f.list = append(f.list, &FieldError{Path: path, Problem: problem, Expected: expected})
}

// require adds an error unless ok holds.
func (f *findings) require(ok bool, path, problem, expected string) {
	if !ok {
		f.add(path, problem, expected)
	}
}

// err returns the findings as one error, or nil.
func (f *findings) err() error {
	if len(f.list) == 0 {
		return nil
	}
	slices.SortStableFunc(f.list, func(a, b *FieldError) int { return cmp.Compare(a.Path, b.Path) })
	return f.list
}

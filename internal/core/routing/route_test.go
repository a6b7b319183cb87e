package routing

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a request that runs outside the regions of its route or of its organisation: both apply.
func TestCommonRegions(t *testing.T) {
	for _, test := range []struct{ a, b, want []string }{
		{},
		{a: []string{"x"}, want: []string{"x"}},
		{b: []string{"x"}, want: []string{"x"}},
		{a: []string{"x", "y"}, b: []string{"y", "z"}, want: []string{"y"}},
		{a: []string{"x"}, b: []string{"y"}, want: []string{}},
		{a: []string{}, b: []string{"y"}, want: []string{}},
	} {
		if diff := cmp.Diff(test.want, CommonRegions(test.a, test.b)); diff != "" {
			t.Errorf("%v and %v (-want +got):\n%s", test.a, test.b, diff)
		}
	}
}

package call

import (
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/platform"
)

// Guards against answers that no server produced for the request, and against requests that count as run although they were not.
func TestClassify(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer platform.Answer
		want   verdict.Verdict
	}{
		{name: "answered", answer: platform.Answer{Status: 200, RequestID: "a", Signature: "s"}, want: verdict.Ran},
		{name: "failed", answer: platform.Answer{Status: 500, RequestID: "a", Signature: "s"}, want: verdict.Ran},
		{name: "refused", answer: platform.Answer{Status: 503, RequestID: "a", NotRun: true}, want: verdict.NotRun},
		{name: "another request", answer: platform.Answer{Status: 200, RequestID: "b", Signature: "s"}, want: verdict.MayHaveRun},
		{name: "another request refused", answer: platform.Answer{Status: 503, RequestID: "b", NotRun: true}, want: verdict.MayHaveRun},
		{name: "no request", answer: platform.Answer{Status: 200, Signature: "s"}, want: verdict.MayHaveRun},
		{name: "unsigned", answer: platform.Answer{Status: 200, RequestID: "a"}, want: verdict.MayHaveRun},
		{name: "encoded", answer: platform.Answer{Status: 200, RequestID: "a", Signature: "s", ContentEncoded: true}, want: verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, cause := Classify(test.answer, "a")
			if got != test.want || (cause == nil) != (got == verdict.Ran) {
				t.Errorf("%v, cause %v", got, cause)
			}
		})
	}
}

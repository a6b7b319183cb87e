package delivery

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestParsePlan(t *testing.T) {
	cases := []struct {
		name  string
		body  string
		sizes []int
		err   string
	}{
		{name: "one prompt", body: `{"groups":[{"prompt":"a","samples":8}]}`, sizes: []int{8}},
		{name: "several prompts", body: `{"groups":[{"prompts":["a","b"],"samples":2},{"prompt":"","samples":1}],"maxTokens":4}`, sizes: []int{4, 1}},
		{name: "unknown field", body: `{"groups":[{"prompt":"a","samples":1,"seed":3}]}`, err: `unknown field "seed"`},
		{name: "both", body: `{"groups":[{"prompt":"a","prompts":["b"],"samples":1}]}`, err: "either prompt or prompts"},
		{name: "neither", body: `{"groups":[{"samples":1}]}`, err: "either prompt or prompts"},
		{name: "no samples", body: `{"groups":[{"prompt":"a"}]}`, err: "samples 0"},
		{name: "no groups", body: `{"groups":[]}`, err: "groups is empty"},
		{name: "too many", body: `{"groups":[{"prompts":["a","b"],"samples":5000}]}`, err: "10000 samples"},
		{name: "negative", body: `{"groups":[{"prompt":"a","samples":1}],"maxTokens":-1}`, err: "maxTokens -1"},
		{name: "trailing", body: `{"groups":[{"prompt":"a","samples":1}]} {}`, err: "more follows"},
		{name: "not JSON", body: `groups`, err: "invalid character"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plan, err := ParsePlan([]byte(c.body))
			if c.err != "" {
				if err == nil || !strings.Contains(err.Error(), c.err) {
					t.Errorf("got error %v", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.sizes, plan.GroupSizes()); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestPlanDigestIgnoresFormatting(t *testing.T) {
	first, err1 := ParsePlan([]byte(`{"groups":[{"prompt":"a","samples":1}]}`))
	second, err2 := ParsePlan([]byte("{ \"groups\": [ {\"samples\":1, \"prompts\":[\"a\"]} ] }\n"))
	_, digest1, err3 := first.Encode()
	_, digest2, err4 := second.Encode()
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || digest1 != digest2 {
		t.Errorf("got digests %s and %s, errors %v, %v, %v, %v", digest1, digest2, err1, err2, err3, err4)
	}
}

func TestCursorSignature(t *testing.T) {
	secret := []byte("secret")
	cursor := Cursor{Job: "fees", Step: 3, Digest: "d", Batch: 2, Delivered: NewBitmap(MaxSamples), ModelVersion: 7, Fencing: 9}
	text, err := cursor.Sign(secret)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseCursor(secret, text)
	if diff := cmp.Diff(cursor, got); err != nil || diff != "" {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
	const maxHeaderBytes = 3 << 10
	if len(text) > maxHeaderBytes {
		t.Errorf("cursor takes %d bytes, too long for a header", len(text))
	}
	body, signature, _ := strings.Cut(text, ".")
	forged := []struct {
		name string
		text string
	}{
		{name: "no signature", text: body},
		{name: "empty signature", text: body + "."},
		{name: "changed body", text: "A" + body[1:] + "." + signature},
		{name: "not base64", text: "%." + signature},
	}
	for _, f := range forged {
		t.Run(f.name, func(t *testing.T) {
			if _, err := ParseCursor(secret, f.text); err == nil {
				t.Error("forged cursor accepted")
			}
		})
	}
	if _, err := ParseCursor([]byte("other"), text); err == nil {
		t.Error("cursor accepted with another secret")
	}
}

// Checks that each token's version can be restored from the spans, and that adjacent spans differ in version.
func TestSpansCoverEachToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOf(rapid.IntRange(1, 3)).Draw(t, "versions")
		tokens := make([]Token, len(versions))
		for i, version := range versions {
			tokens[i].Version = version
		}
		var restored []int
		spans := Spans(tokens)
		for i, span := range spans {
			if span.From != len(restored) || (i > 0 && spans[i-1].Version == span.Version) {
				t.Fatalf("got spans %+v", spans)
			}
			for range span.To - span.From {
				restored = append(restored, span.Version)
			}
		}
		if len(restored) != len(versions) || (len(restored) > 0 && !cmp.Equal(restored, versions)) {
			t.Fatalf("versions %v were restored as %v", versions, restored)
		}
	})
}

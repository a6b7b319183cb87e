package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// Guards against an engine that sends without end, and thereby takes the memory or the processor of the entry until the caller's deadline.
func TestEndlessGenerationEnds(t *testing.T) {
	for _, test := range []struct{ name, unit string }{
		{name: "tokens", unit: `data: {"text":"x","version":1}` + "\n\n"},
		{name: "one line", unit: "x"},
		{name: "comments", unit: ": comment\n"},
		{name: "blank lines", unit: "\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			ended := make(chan struct{}, 8)
			block := []byte(strings.Repeat(test.unit, 16<<10/len(test.unit)))
			f := newFixture(t, &fakeAgent{execute: func(ctx context.Context, _ request.Execute, out peer.Sink) (request.AnswerEnd, error) {
				defer func() { ended <- struct{}{} }()
				err := out.Head(request.AnswerHead{Status: http.StatusOK})
				for err == nil && ctx.Err() == nil {
					_, err = out.Write(block)
				}
				return request.AnswerEnd{}, err
			}})
			started := time.Now()
			got := f.send(http.MethodPost, modelPath, `{"prompt":"x","maxTokens":5}`, "Request-Timeout", "4")
			if got.status != http.StatusBadGateway || got.reason != verdict.ReasonServerFailed {
				t.Errorf("status %d, reason %s", got.status, got.reason)
			}
			receive(t, "the stream is cancelled", ended)
			if took := time.Since(started); took > time.Second {
				t.Errorf("ended after %v", took)
			}
		})
	}
}

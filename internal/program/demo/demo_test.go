package demo

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// A newcomer's first command is the demo. Both deployments must come through with every promise held.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	if err := Run(t.Context(), &out, zerolog.Nop()); err != nil || !strings.HasSuffix(out.String(), "demo: every promise held\n") {
		t.Fatalf("%v\n%s", err, out.String())
	}
}

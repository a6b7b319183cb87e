package demo

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against a demo that fails on a working system: both deployments must complete with every guarantee held.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	if err := Run(t.Context(), &out, zerolog.Nop()); err != nil || !strings.HasSuffix(out.String(), "demo: every guarantee held\n") {
		t.Fatalf("%v\n%s", err, out.String())
	}
}

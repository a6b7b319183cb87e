package platform_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

func TestDryRunWritesNothingAndKeepsConflicts(t *testing.T) {
	memory := standin.NewMemory()
	dry := platform.NewDryRun(memory)
	if _, err := dry.Put(t.Context(), "a", json.RawMessage(`1`), 0); err != nil {
		t.Errorf("put: %v", err)
	}
	if _, err := dry.Put(t.Context(), "a", json.RawMessage(`1`), 3); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("put with a wrong version: got %v", err)
	}
	if err := dry.Order(t.Context(), platform.ServerOrder{}); err != nil {
		t.Errorf("order: %v", err)
	}
	if err := dry.Report(t.Context(), "w/o", json.RawMessage(`1`)); err != nil {
		t.Errorf("report: %v", err)
	}
	state := memory.State()
	if len(state.Objects) != 0 || len(state.Orders) != 0 || len(state.Reports) != 0 {
		t.Errorf("the dry run wrote to the platform: %+v", state)
	}
}

func TestLoggedLogsCallsWithoutValues(t *testing.T) {
	var out bytes.Buffer
	memory := standin.NewMemory()
	logged := platform.NewLogged(memory, zerolog.New(&out))
	if _, err := logged.Put(t.Context(), "part", json.RawMessage(`"secret"`), 0); err != nil {
		t.Fatal(err)
	}
	memory.SetOutage(true)
	if err := logged.Order(t.Context(), platform.ServerOrder{Pool: "billdesk"}); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("order: got %v", err)
	}
	text := out.String()
	if strings.Contains(text, "secret") {
		t.Errorf("the log contains a value: %s", text)
	}
	for _, want := range []string{`"call":"put"`, `"name":"part"`, `"level":"warn"`, `"call":"order"`} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing in %s", want, text)
		}
	}
}

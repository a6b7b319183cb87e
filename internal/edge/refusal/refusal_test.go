package refusal

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// wantStatuses is the table of reasons and statuses in docs/REFERENCE.md.
var wantStatuses = map[verdict.Reason]int{
	verdict.ReasonBadRequest:          400,
	verdict.ReasonTooLarge:            413,
	verdict.ReasonConflict:            409,
	verdict.ReasonUnknownKey:          401,
	verdict.ReasonKeyWithdrawn:        401,
	verdict.ReasonForbidden:           403,
	verdict.ReasonNotFound:            404,
	verdict.ReasonRateLimited:         429,
	verdict.ReasonOverloaded:          429,
	verdict.ReasonNoRoom:              503,
	verdict.ReasonDeadlineUnreachable: 503,
	verdict.ReasonDeadlinePassed:      504,
	verdict.ReasonNotReady:            503,
	verdict.ReasonNoServer:            503,
	verdict.ReasonZoneEvacuated:       503,
	verdict.ReasonServersCold:         503,
	verdict.ReasonOutsideRegions:      503,
	verdict.ReasonWrongPool:           404,
	verdict.ReasonLeaving:             503,
	verdict.ReasonStaleView:           503,
	verdict.ReasonIsolated:            503,
	verdict.ReasonServerFailed:        502,
	verdict.ReasonSamplesLost:         503,
	verdict.ReasonAnswerLost:          409,
	verdict.ReasonAnswerTooLarge:      502,
	verdict.ReasonUndelivered:         502,
	verdict.ReasonInProgress:          409,
	verdict.ReasonKeyReused:           422,
	verdict.ReasonFenced:              409,
	verdict.ReasonCancelled:           503,
	verdict.ReasonCallerGone:          499,
	verdict.ReasonPlatformUnavailable: 503,
	verdict.ReasonTicketEarly:         409,
	verdict.ReasonTicketTaken:         409,
	verdict.ReasonTicketUnsettled:     503,
	verdict.ReasonNotLeader:           503,
	verdict.ReasonStaleSample:         409,
	verdict.ReasonInternal:            502,
	verdict.ReasonDefect:              500,
}

// Guards against a status that misleads callers, who decide by it whether to send a request again. Only the reason
// decides the status, except for a lost server and for unknown reasons: there 503 says that the request did not run, and 502 that it may have run.
func TestStatus(t *testing.T) {
	outcomes := []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}
	for reason, want := range wantStatuses {
		for _, outcome := range outcomes {
			if got := Status(verdict.Refuse(outcome, reason, 0, "")); got != want {
				t.Errorf("%s (%s): status %d, want %d", reason, outcome, got, want)
			}
		}
	}
	for _, reason := range []verdict.Reason{verdict.ReasonServerLost, "reasonOfANewerProcess"} {
		for i, want := range []int{503, 502, 502} {
			if got := Status(verdict.Refuse(outcomes[i], reason, 0, "")); got != want {
				t.Errorf("%s (%s): status %d, want %d", reason, outcomes[i], got, want)
			}
		}
	}
}

// Guards against a reason that is added to the core without a status, and is then answered like an unknown one.
func TestEachReasonHasAStatus(t *testing.T) {
	want := coreReasons(t)
	got := []string{string(verdict.ReasonServerLost)}
	for reason := range statuses {
		got = append(got, string(reason))
	}
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reasons (-core +table):\n%s", diff)
	}
}

// coreReasons returns the reasons that the source of the core declares, sorted.
func coreReasons(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../core/verdict/refusal.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || fmt.Sprint(spec.Type) != "Reason" {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, text)
		return true
	})
	slices.Sort(found)
	return found
}

// Guards against requests that the HTTP library rejects before any handler sees them, and that are answered as if they may have run. They
// must also keep the library's status.
func TestLibraryErrors(t *testing.T) {
	for _, test := range []struct {
		err    error
		status int
		reason verdict.Reason
	}{
		{fiber.ErrRequestEntityTooLarge, http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge},
		{errors.Wrap(fiber.ErrNotFound, "route"), http.StatusNotFound, verdict.ReasonNotFound},
		{fiber.ErrMethodNotAllowed, http.StatusMethodNotAllowed, verdict.ReasonBadRequest},
		{fiber.ErrRequestHeaderFieldsTooLarge, http.StatusRequestHeaderFieldsTooLarge, verdict.ReasonBadRequest},
	} {
		refused := FromError(test.err)
		if refused.Verdict != verdict.NotRun || refused.Reason != test.reason || StatusFromError(test.err) != test.status {
			t.Errorf("%v: %v, status %d", test.err, refused, StatusFromError(test.err))
		}
	}
	if lost := errors.New("lost"); FromError(lost).Verdict != verdict.MayHaveRun || StatusFromError(lost) != http.StatusBadGateway {
		t.Errorf("unknown error: %v, status %d", FromError(lost), StatusFromError(lost))
	}
}

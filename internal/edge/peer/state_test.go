package peer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestState(t *testing.T) {
	b := newBench(t)
	if _, err := Ask[text, text](t.Context(), b.client, b.address, methodEcho, text{}); err != nil {
		t.Fatal(err)
	}
	a, err := Open[text, text](t.Context(), b.client, b.address, methodHold, text{})
	if err != nil {
		t.Fatal(err)
	}
	want := ClientState{Connections: []ConnectionState{{Address: b.address, Open: true, Requests: 1, Sent: 2}}, Failures: []FailureState{}}
	if diff := cmp.Diff(want, b.client.State(), cmpopts.EquateComparable(b.address)); diff != "" {
		t.Error(diff)
	}
	for b.server.State().Running != 1 { // the echo's goroutine ends just after its answer was sent
	}
	if diff := cmp.Diff(ServerState{Connections: 1, Running: 1}, b.server.State()); diff != "" {
		t.Error(diff)
	}
	close(b.release)
	if _, err := readAll(a); err != nil {
		t.Error(err)
	}
}

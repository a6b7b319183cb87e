package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestClientAndServerState(t *testing.T) {
	peers := newTestPeers(t)
	if _, err := Call[text, text](t.Context(), peers.client, peers.address, methodEcho, text{}); err != nil {
		t.Fatal(err)
	}
	answer, err := OpenStream[text, text](t.Context(), peers.client, peers.address, methodHold, text{})
	if err != nil {
		t.Fatal(err)
	}
	want := ClientState{Connections: []ConnectionState{{Address: peers.address, Open: true, Requests: 1, Sent: 2}}, Failures: []FailureState{}}
	if diff := cmp.Diff(want, peers.client.State(), cmpopts.EquateComparable(peers.address)); diff != "" {
		t.Error(diff)
	}
	// The goroutine of the echo request ends shortly after its answer is sent.
	for end := time.Now().Add(10 * time.Second); peers.server.State().Running != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the server still runs %d requests", peers.server.State().Running)
		}
	}
	if diff := cmp.Diff(ServerState{Connections: 1, Running: 1}, peers.server.State()); diff != "" {
		t.Error(diff)
	}
	close(peers.releaseHandlers)
	if _, err := readAnswer(answer); err != nil {
		t.Error(err)
	}
}

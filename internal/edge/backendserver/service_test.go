package backendserver_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/standin/scorer"
	"github.com/oleandershelf/oleandershelf/internal/standin/service"
	"github.com/oleandershelf/oleandershelf/internal/standin/weightstore"
)

func startService(t *testing.T) (*service.Server, *backendserver.Service) {
	t.Helper()
	server, err := service.New(context.Background(), listen(t))
	if err != nil {
		t.Fatal(err)
	}
	client := backendserver.NewService(server.URL())
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return server, client
}

// createBooking returns the body of the answer.
func createBooking(ctx context.Context, client *backendserver.Service, id string) (string, error) {
	body := []byte(fmt.Sprintf(`{"id":%q}`, id))
	answer, err := client.Call(ctx, http.MethodPost, service.PathBookings, "", nil, body)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err := io.ReadAll(answer.Body)
	return string(raw), err
}

func TestServiceReceivesTheCallUnchanged(t *testing.T) {
	server, client := startService(t)
	header := []request.HeaderField{{Name: "X-Stable", Value: "one"}, {Name: "X-Stable", Value: "two"}}
	answer, err := client.Call(t.Context(), http.MethodPatch, "/a%2Fb/../c", "q=1&q=2", header, []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		t.Errorf("status %d", answer.Status)
	}
	got := server.State().Received[0]
	var kept []request.HeaderField
	for _, field := range got.Header {
		if field.Name == "X-Stable" {
			kept = append(kept, field)
		}
	}
	got.Header = kept
	want := service.ReceivedCall{Method: http.MethodPatch, Path: "/a%2Fb/../c", Query: "q=1&q=2", Header: header, Body: "body"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a booking that runs twice: the service ran it, its answer was lost, and the HTTP client
// sent it again by itself. The client must send a call only once, and report that it may have run.
func TestBookingWhoseAnswerIsLostRunsOnce(t *testing.T) {
	server, client := startService(t)
	if _, err := createBooking(t.Context(), client, "warm-up"); err != nil {
		t.Fatal(err)
	}
	server.SetFaults(service.Faults{CutAfterRun: 1})
	if _, err := createBooking(t.Context(), client, "b1"); !errors.Is(err, backendserver.ErrAnswerLost) {
		t.Errorf("got %v, want %v", err, backendserver.ErrAnswerLost)
	}
	if runs := server.State().Runs["b1"]; runs != 1 {
		t.Errorf("the booking ran %d times, want 1", runs)
	}
}

// Guards against a call that runs, with the caller's body, at a host that was not chosen for it, because
// the client followed a redirect.
func TestRedirectIsPassedOn(t *testing.T) {
	server, client := startService(t)
	server.SetFaults(service.Faults{FailStatus: http.StatusTemporaryRedirect})
	answer, err := client.Call(t.Context(), http.MethodGet, "/x", "", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusTemporaryRedirect {
		t.Errorf("status %d", answer.Status)
	}
}

// Guards against a caller that receives another caller's answer: buffers of the HTTP library were used
// after their request had ended, when the next request had overwritten them.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	_, client := startService(t)
	var group conc.WaitGroup
	for caller := range 16 {
		group.Go(func() {
			for call := range 50 {
				id := fmt.Sprintf("caller-%d-call-%d", caller, call)
				want := fmt.Sprintf(`{"id":%q,"runs":1}`, id)
				if got, err := createBooking(t.Context(), client, id); err != nil || got != want {
					t.Errorf("got %s, %v, want %s", got, err, want)
				}
			}
		})
	}
	group.Wait()
}

func TestCallEndsWithItsContext(t *testing.T) {
	server, client := startService(t)
	server.SetFaults(service.Faults{DelayMilliseconds: 60_000})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := createBooking(ctx, client, "b1"); !errors.Is(err, backendserver.ErrAnswerLost) {
		t.Errorf("got %v, want %v", err, backendserver.ErrAnswerLost)
	}
}

func TestScorer(t *testing.T) {
	server, err := scorer.New(context.Background(), listen(t))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := backendserver.NewScorer(server.URL())
	defer client.Close()
	requests := []backendserver.ScoreRequest{{SampleID: "a", Text: "x"}, {SampleID: "b", Text: "y"}}
	want := []backendserver.Score{
		{SampleID: "a", Value: scorer.ScoreOf(requests[0])},
		{SampleID: "b", Value: scorer.ScoreOf(requests[1])},
	}
	got, err := client.Score(t.Context(), requests)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestWeightStoreLimitsTheRate(t *testing.T) {
	server, err := weightstore.New(context.Background(), listen(t), weightstore.WithRate(1), weightstore.WithWeightBytes(100))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := backendserver.NewWeightStore(server.URL())
	defer client.Close()
	if n, err := client.Fetch(t.Context(), "draft/7", io.Discard); n != 100 || err != nil {
		t.Errorf("fetched %d bytes, %v", n, err)
	}
	if _, err := client.Fetch(t.Context(), "draft/7", io.Discard); !errors.Is(err, backendserver.ErrBusy) {
		t.Errorf("above the rate: got %v", err)
	}
	if diff := cmp.Diff(map[string]int{"draft/7": 1}, server.State().Served); diff != "" {
		t.Error(diff)
	}
}

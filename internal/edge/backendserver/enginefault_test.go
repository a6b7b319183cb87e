package backendserver_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
)

// Guards against callers that take a partial answer for a complete one, or wait without end, when an
// engine crashes while it streams. Calls to the crashed engine must fail and not wait.
func TestCrashBreaksStreamsAndCalls(t *testing.T) {
	server, client := startEngine(t)
	server.SetFaults(engine.Faults{Stalled: true})
	var group conc.WaitGroup
	for range 3 {
		group.Go(func() {
			if _, err := generate(t.Context(), client, sampleRequest); !errors.Is(err, backendserver.ErrAnswerLost) {
				t.Errorf("running stream: got %v", err)
			}
		})
	}
	waitFor(t, func() bool { return server.State().Running == 3 })
	// The engine stays stalled: a stream that continued could complete before its connection is cut.
	server.SetFaults(engine.Faults{Crashed: true, Stalled: true})
	server.CutConnections()
	group.Wait()
	if _, err := client.Load(t.Context()); !errors.Is(err, backendserver.ErrAnswerLost) {
		t.Errorf("call to the crashed engine: got %v", err)
	}
}

func TestLoadReportLags(t *testing.T) {
	server, client := startEngine(t, engine.WithLoadLag(time.Hour))
	server.SetFaults(engine.Faults{Stalled: true})
	var group conc.WaitGroup
	group.Go(func() {
		if _, err := generate(t.Context(), client, sampleRequest); !errors.Is(err, backendserver.ErrAnswerLost) {
			t.Errorf("got %v", err)
		}
	})
	waitFor(t, func() bool { return server.State().Running == 1 })
	load, err := client.Load(t.Context())
	if err != nil || load.Running != 0 || load.Version != engine.DefaultVersion {
		t.Errorf("got %+v, %v", load, err)
	}
	if err := client.Cancel(t.Context(), sampleRequest.SampleID); err != nil {
		t.Error(err)
	}
	group.Wait()
}

// Guards against a bulk request that starts before an interactive one because it has waited longer. The
// order of the engine's cache events is the order in which the requests started.
func TestWaitingRequestsStartByPriority(t *testing.T) {
	server, client := startEngine(t, engine.WithSlots(1, 8), engine.WithCache(8, 0))
	server.SetFaults(engine.Faults{Stalled: true})
	generateOne := func(prompt string, priority int) func() {
		return func() {
			request := backendserver.GenerateRequest{Prompt: prompt, MaxTokens: 1, Priority: priority}
			if _, err := generate(t.Context(), client, request); err != nil {
				t.Errorf("%s: %v", prompt, err)
			}
		}
	}
	var group conc.WaitGroup
	group.Go(generateOne("running", 0))
	waitFor(t, func() bool { return server.State().Running == 1 })
	group.Go(generateOne("bulk", 2))
	waitFor(t, func() bool { return server.State().Queued == 1 })
	group.Go(generateOne("interactive", 0))
	waitFor(t, func() bool { return server.State().Queued == 2 })
	server.SetFaults(engine.Faults{})
	group.Wait()
	events, err := client.CacheEvents(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	var got []uint64
	for _, event := range events {
		got = append(got, event.Prefix)
	}
	var want []uint64
	for _, prompt := range []string{"running", "interactive", "bulk"} {
		want = append(want, backendserver.PrefixHash(prompt))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against tests of uneven engines that prove nothing because the stand-in ignores its speed or its report.
func TestEngineTakesAndReportsItsTime(t *testing.T) {
	const tokenTime = 2 * time.Millisecond
	lie := func(time.Time) float64 { return 1 }
	_, client := startEngine(t, engine.WithTokenTime(tokenTime, 0), engine.WithTimeFactor(2),
		engine.WithSlowdown(func(time.Time) float64 { return 2.5 }, lie))
	started := time.Now()
	if _, err := generate(t.Context(), client, sampleRequest); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(started); took < time.Duration(sampleRequest.MaxTokens)*tokenTime*2 {
		t.Errorf("took %v", took)
	}
	if load, err := client.Load(t.Context()); err != nil || load.Slowdown != 1 || load.TokenTime != 5*tokenTime {
		t.Errorf("got %+v, %v", load, err)
	}
}

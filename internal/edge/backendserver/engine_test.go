package backendserver_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
)

func TestMain(m *testing.M) {
	// The HTTP library starts one goroutine per process that formats the Date header and never ends.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func startEngine(t *testing.T, opts ...engine.Option) (*engine.Server, *backendserver.Engine) {
	t.Helper()
	noDelays := []engine.Option{
		engine.WithTokenTime(time.Microsecond, 0),
		engine.WithPrefillTime(0),
		engine.WithLoadTime(0),
		engine.WithLoadLag(0),
	}
	server, err := engine.New(context.Background(), listen(t), append(noDelays, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	client := backendserver.NewEngine(server.URL())
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return server, client
}

// generate returns the tokens that arrived, also if the stream broke off.
func generate(
	ctx context.Context, client *backendserver.Engine, request backendserver.GenerateRequest,
) ([]backendserver.Token, error) {
	var tokens []backendserver.Token
	err := client.Generate(ctx, request, func(token backendserver.Token) error {
		tokens = append(tokens, token)
		return nil
	})
	return tokens, err
}

var sampleRequest = backendserver.GenerateRequest{SampleID: "s1", Prompt: "draft a fee line", MaxTokens: 20, Seed: 3}

// Guards against a sample whose second half doesn't continue its first: the engine crashed after some
// tokens, and another one resumed the generation. A resumed generation must produce the same text as
// an uninterrupted one, and a stream that broke off must not pass for a complete one.
func TestCutGenerationIsLostAndResumesToTheSameText(t *testing.T) {
	server, client := startEngine(t)
	whole, err := generate(t.Context(), client, sampleRequest)
	if err != nil {
		t.Fatal(err)
	}
	server.SetFaults(engine.Faults{CutAfterTokens: 4})
	part, err := generate(t.Context(), client, sampleRequest)
	if !errors.Is(err, backendserver.ErrAnswerLost) {
		t.Fatalf("cut stream: got %v", err)
	}
	if diff := cmp.Diff(whole[:4], part); diff != "" {
		t.Error(diff)
	}
	server.SetFaults(engine.Faults{})
	resumed := sampleRequest
	resumed.Resume = part
	rest, err := generate(t.Context(), client, resumed)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(whole, append(part, rest...)); diff != "" {
		t.Error(diff)
	}
}

func TestSwitchDuringStreamChangesVersionOfLaterTokens(t *testing.T) {
	_, client := startEngine(t)
	order := backendserver.WeightOrder{Kind: backendserver.OrderSwitch, Model: "draftmodel", Version: 2, Fencing: 5}
	long := sampleRequest
	long.MaxTokens = 1_000_000
	switched := errors.New("received a token of the new version")
	seen := 0
	err := client.Generate(t.Context(), long, func(token backendserver.Token) error {
		seen++
		if token.Version == order.Version {
			return switched
		}
		if seen > 1 {
			return nil
		}
		return client.Order(t.Context(), order)
	})
	if !errors.Is(err, switched) || seen < 2 {
		t.Errorf("after %d tokens: %v", seen, err)
	}
}

func TestWeightOrders(t *testing.T) {
	server, client := startEngine(t)
	order := func(kind backendserver.OrderKind, version int, fencing platform.Version) func() error {
		return func() error {
			return client.Order(t.Context(), backendserver.WeightOrder{
				Kind: kind, Version: version, Weights: "w", Fencing: fencing,
			})
		}
	}
	cases := []struct {
		name    string
		faults  engine.Faults
		call    func() error
		want    error
		version int
	}{
		{name: "prefetch", call: order(backendserver.OrderPrefetch, 2, 5), version: 1},
		{name: "switch", call: order(backendserver.OrderSwitch, 2, 5), version: 2},
		{name: "old fencing number", call: order(backendserver.OrderSwitch, 3, 4), want: backendserver.ErrFenced, version: 2},
		{name: "old fencing number ignored", faults: engine.Faults{IgnoreFencing: true},
			call: order(backendserver.OrderSwitch, 3, 4), version: 3},
		{name: "failed swap", faults: engine.Faults{FailSwaps: true},
			call: order(backendserver.OrderSwitch, 4, 6), want: backendserver.ErrSwapFailed, version: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server.SetFaults(c.faults)
			if err := c.call(); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if got := server.State().Version; got != c.version {
				t.Errorf("version %d, want %d", got, c.version)
			}
		})
	}
}

func TestEngineRefusesWhenFullAndCancels(t *testing.T) {
	server, client := startEngine(t, engine.WithSlots(1, 0))
	server.SetFaults(engine.Faults{Stalled: true})
	var group conc.WaitGroup
	group.Go(func() {
		if _, err := generate(t.Context(), client, sampleRequest); !errors.Is(err, backendserver.ErrAnswerLost) {
			t.Errorf("cancelled generation: got %v", err)
		}
	})
	waitFor(t, func() bool { return server.State().Started[sampleRequest.SampleID] == 1 })
	if _, err := generate(t.Context(), client, sampleRequest); !errors.Is(err, backendserver.ErrBusy) {
		t.Errorf("full engine: got %v", err)
	}
	if err := client.Cancel(t.Context(), sampleRequest.SampleID); err != nil {
		t.Error(err)
	}
	group.Wait()
	waitFor(t, func() bool { return server.State().Running == 0 })
}

// Guards against an engine whose slots are filled by abandoned streams: a caller hangs up during a long
// generation. The engine must free the slot at its next token.
func TestAbandonedStreamFreesItsSlot(t *testing.T) {
	server, client := startEngine(t)
	hungUp := errors.New("the caller hung up")
	long := sampleRequest
	long.MaxTokens = 1_000_000
	err := client.Generate(t.Context(), long, func(backendserver.Token) error { return hungUp })
	if !errors.Is(err, hungUp) {
		t.Fatalf("got %v", err)
	}
	waitFor(t, func() bool { return server.State().Running == 0 })
}

func TestCacheEventsHaveGapsWhereEventsAreLost(t *testing.T) {
	server, client := startEngine(t, engine.WithCache(1, 0))
	for _, prompt := range []string{"a", "b", "b"} {
		request := sampleRequest
		request.Prompt = prompt
		if _, err := generate(t.Context(), client, request); err != nil {
			t.Fatal(err)
		}
	}
	a, b := backendserver.PrefixHash("a"), backendserver.PrefixHash("b")
	want := []backendserver.CacheEvent{
		{Sequence: 1, Kind: backendserver.CacheStored, Prefix: a},
		{Sequence: 2, Kind: backendserver.CacheStored, Prefix: b},
		{Sequence: 3, Kind: backendserver.CacheEvicted, Prefix: a},
	}
	got, err := client.CacheEvents(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	server.SetFaults(engine.Faults{LoseCacheEvents: 2})
	got, err = client.CacheEvents(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want[2:], got); diff != "" {
		t.Error(diff)
	}
}

// waitFor polls until the condition holds, and fails the test after ten seconds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatal("the condition does not hold after ten seconds")
		case <-tick.C:
		}
	}
}

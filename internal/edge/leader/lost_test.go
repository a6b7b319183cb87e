package leader

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/store"
	"github.com/oleandershelf/oleandershelf/platform"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// switchKeeper holds the lease until lost is set.
type switchKeeper struct{ lost atomic.Bool }

func (k *switchKeeper) Held(now time.Time) (duty.Fence, bool) {
	return duty.Fence{Number: 1, Deadline: now.Add(time.Minute)}, !k.lost.Load()
}

// heldTransport answers no call, and reports each.
type heldTransport struct{ began chan struct{} }

func (h heldTransport) Send(ctx context.Context, _ platform.Call) (platform.Reply, error) {
	h.began <- struct{}{}
	<-ctx.Done()
	return platform.Reply{}, ctx.Err()
}

// Guards against a call that goes on after the lease was lost before its deadline, as by the time of day after a host was suspended.
func TestCallEndsWithTheLease(t *testing.T) {
	simulated := platformtest.NewStore(t)
	client := exchange.NewClient()
	t.Cleanup(client.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(simulated.NewEndpoint(t).URL(), "http://"))
	keeper, transport := &switchKeeper{}, heldTransport{began: make(chan struct{}, 1)}
	deps := Deps{
		HostID: "h1", Keeper: keeper, Log: zerolog.Nop(), Reports: transport, Ledger: usage.NewLedger(), Window: time.Second,
		Store: store.New(store.NewHTTPTransport(address, client), transport, store.NewMetrics(prometheus.NewRegistry()), zerolog.Nop()),
	}
	reports := newReporter(deps, newTakeoverGuard(deps, time.Now()))
	ended := make(chan error, 1)
	go func() { ended <- reports.report(t.Context(), 1) }()
	<-transport.began
	keeper.lost.Store(true)
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the report succeeded without an answer")
		}
	case <-time.After(10 * time.Second):
		t.Error("the call goes on without the lease")
	}
}

package leader

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/weights"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/store"
	"github.com/oleandershelf/oleandershelf/platform"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Guards against a new lease holder counting only its own accepted orders: the server would then refuse the holder's second
// order because the count omits orders accepted from earlier holders.
func TestOrdersAcceptedAfterHolderChange(t *testing.T) {
	engine := platformtest.NewServer(t, "engine-0", "engines", map[string]int{"m": 1})
	client := exchange.NewClient()
	t.Cleanup(client.Close)
	server := backend.Server{ID: "engine-0", Address: engine.Address()}
	version := 1
	for holder := range 3 {
		keeper := &fakeKeeper{held: true, fence: duty.Fence{Number: 1, Deadline: time.Now().Add(time.Minute)}}
		deps := Deps{
			HostID: "h1", Keeper: keeper, Log: zerolog.Nop(),
			ServerCarrier: func(backend.Server) store.Transport { return store.NewHTTPTransport(server.Address, client) },
		}
		orders := newOrderSender(deps, newTakeoverGuard(deps, time.Now()))
		for range 3 {
			version++
			order := weights.Order{Server: server, Model: "m", Version: version}
			accepted, known := orders.accepted[server.Key()]
			result := orders.send(t.Context(), order, accepted, known)
			if result.err != nil || result.answer != platform.OrderAccepted {
				t.Errorf("holder %d, version %d: answer = %d, error = %v, want accepted", holder, version, result.answer, result.err)
			}
			orders.recordResult(time.Now(), weights.NewPlanner(), result)
		}
	}
	if got := len(engine.Orders()); got != version-1 {
		t.Errorf("accepted orders = %d, want %d", got, version-1)
	}
}

// readlessTransport loses the answers to reads, and counts the other calls.
type readlessTransport struct{ writes int }

func (r *readlessTransport) Send(_ context.Context, call platform.Call) (platform.Reply, error) {
	if call.Writes() {
		r.writes++
		return platform.Reply{Status: http.StatusAccepted}, nil
	}
	return platform.Reply{}, errors.WithStack(product.ErrOutcomeUnknown)
}

// Guards against an order that is sent to a server behind a network that is cut already, which may hold it up until a later holder has ordered.
func TestOrderIsSentToAServerThatAnswers(t *testing.T) {
	transport := &readlessTransport{}
	deps := Deps{
		HostID: "h1", Keeper: &fakeKeeper{held: true, fence: duty.Fence{Number: 1, Deadline: time.Now().Add(time.Minute)}}, Log: zerolog.Nop(),
		ServerCarrier: func(backend.Server) store.Transport { return transport },
	}
	for _, known := range []bool{false, true} {
		result := newOrderSender(deps, newTakeoverGuard(deps, time.Now())).send(t.Context(), weights.Order{Model: "m", Version: 2}, 1, known)
		if result.err == nil || transport.writes > 0 {
			t.Errorf("with the count of orders known %v: %d orders, error %v, want none and one", known, transport.writes, result.err)
		}
	}
}

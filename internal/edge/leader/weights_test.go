package leader

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/pace"
	"github.com/oleandershelf/oleandershelf/internal/core/weights"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
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
		orders := newOrderSender(deps, newTakeoverGuard(deps))
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

// fakeSpeeds knows the lasting factor of servers of the pool uneven.
type fakeSpeeds map[string]float64

func (f fakeSpeeds) Uneven(pool string) bool { return pool == "uneven" }

func (f fakeSpeeds) Estimate(_ time.Time, id string) (pace.Estimate, bool) {
	lasting, ok := f[id]
	return pace.Estimate{Lasting: lasting}, ok
}

// Guards against shares by speed in pools of equal servers, and against servers without a known speed that count as none.
func TestRelativeSpeed(t *testing.T) {
	speeds := fakeSpeeds{"fast": 0.5, "slow": 1.25, "none": 0}
	for _, test := range []struct {
		id, pool string
		want     float64
	}{
		{id: "fast", pool: "uneven", want: 2},
		{id: "slow", pool: "uneven", want: 0.8},
		{id: "none", pool: "uneven", want: 1},
		{id: "unlisted", pool: "uneven", want: 1},
		{id: "fast", pool: "even", want: 1},
	} {
		if got := relativeSpeed(speeds, time.Unix(0, 0), backend.Server{ID: test.id, Pool: test.pool}); got != test.want {
			t.Errorf("%s in pool %s: speed %v, want %v", test.id, test.pool, got, test.want)
		}
	}
}

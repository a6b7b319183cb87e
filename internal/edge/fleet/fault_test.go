package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/fleet"
	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// A pool is never made smaller, and idle servers are paid for day and night: the lease is renewed
// every two seconds, each renewal has a new number, and the runner forgets what it knew at each.
func TestRenewalsKeepWhatIsKnown(t *testing.T) {
	f := newFake()
	f.states[0].RefusedLoad, f.states[0].Servers[0].Running, f.states[0].Servers[1].Running = 0, 0, 1
	f.states[0].Servers[0].Draining = true
	r := f.runner()
	for range 70 {
		f.now = f.now.Add(2 * time.Second)
		f.deadline = f.now.Add(4 * time.Second)
		f.number++
		r.round(t.Context())
	}
	if len(f.orders) != 1 || f.orders[0].Count != 1 || f.orders[0].Fencing < 30 {
		t.Errorf("ordered %v, want one order for one server under a late number", f.orders)
	}
}

// Two hosts order for one zone: the process is stopped right after it read the clock for the check
// of its term and goes on after the term. A timeout that is worked out from the old reading begins
// to run at the wake, and a platform that ignores the fencing number takes the order.
func TestPauseAfterTheCheckEndsTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left = 30 * time.Millisecond
		f := newFake()
		memory := standin.NewMemory(standin.WithFaults(standin.Faults{IgnoreFencing: true}))
		f.now, f.deadline = time.Now(), time.Now().Add(left)
		r := f.runner()
		r.deps.Orders = memory
		calls := 0
		r.clock = func() time.Time {
			read := f.now
			// The last reading before the write is the one after the lease was looked at for the order.
			if calls++; calls == clockReadings {
				<-time.After(2 * left)
			}
			return read
		}
		r.round(t.Context())
		if calls < clockReadings {
			t.Fatalf("the clock was read %d times", calls)
		}
		if orders := memory.Orders(); len(orders) != 0 {
			t.Errorf("ordered after the end of the term: %v", orders)
		}
	})
}

// clockReadings is how often a first round of one pool reads the clock up to its write.
const clockReadings = 7

// zoneTiming is a lease short enough for tests; the order of its parts is that of the default.
func zoneTiming() lease.Timing {
	return lease.Timing{Term: 500 * time.Millisecond, Renew: 120 * time.Millisecond, Margin: 80 * time.Millisecond}
}

// plain shows a keeper as the runner wants it.
type plain struct{ *duty.Keeper }

func (p plain) Held(now time.Time) (platform.Version, time.Time, bool) {
	fence, ok := p.Keeper.Held(now)
	return fence.Number, fence.Deadline, ok
}

// entry is one host that contends for the zone's orders, with its own ways to the platform.
type entry struct {
	way   *standin.Disturbed
	lease *standin.Disturbed
	kill  func()
	stop  func()
}

func startEntry(memory *standin.Memory, id string, incarnation uint64) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{way: standin.NewDisturbed(memory), lease: standin.NewDisturbed(memory)}
	self := duty.Holder{HostID: id, Incarnation: incarnation}
	keeper := duty.NewKeeper(ctx, e.lease, "serverOrders/a", self, duty.WithTiming(zoneTiming()))
	load := fleet.State{Pool: "p", MinServers: 1, MaxServers: 4, StartupTime: time.Minute, RefusedLoad: 100}
	deps := Deps{
		Keeper: plain{keeper},
		Orders: e.way,
		// The load is gathered over the same way, so that the step before the order is disturbed too.
		Gather: func(ctx context.Context, _ time.Time) ([]fleet.State, error) {
			hosts, err := memory.Hosts(ctx)
			if err != nil {
				return nil, err
			}
			if _, err := e.way.Get(ctx, "load"); err != nil && !isNotFound(err) {
				return nil, err
			}
			state := load
			for _, host := range hosts {
				state.Servers = append(state.Servers, fleet.Server{HostID: host.ID, Running: 8, Limit: 8})
			}
			return []fleet.State{state}, nil
		},
		Drain: func(context.Context, Pause) error { return nil },
	}
	runner := New(ctx, "a", id, deps, WithInterval(10*time.Millisecond))
	// A killed process sends nothing more, but what it sent may still be on its way.
	e.kill = cancel
	e.stop = func() {
		cancel()
		runner.Wait()
		keeper.Wait()
	}
	return e
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			t.Fatalf("never: %s", what)
		}
	}
}

// zoneHosts are more servers than are ever ordered.
func zoneHosts() []platform.Host {
	var hosts []platform.Host
	for i := range 6 {
		hosts = append(hosts, platform.Host{ID: fmt.Sprintf("s%d", i), Role: platform.RoleAgent, Pool: "p", AvailabilityZone: "a"})
	}
	return hosts
}

// checkOneInCharge fails if an order of a holder came after one of a later holder.
func checkOneInCharge(t *testing.T, orders []platform.ServerOrder) {
	t.Helper()
	ended := map[string]bool{}
	for i, order := range orders {
		if ended[order.Holder] {
			t.Fatalf("order %d is from %s, which was replaced before: %v", i, order.Holder, orders)
		}
		if i > 0 && orders[i-1].Holder != order.Holder {
			ended[orders[i-1].Holder] = true
		}
	}
}

// ordersCase is one fault of the holder of a zone's duty.
type ordersCase struct {
	with standin.Disturbance
	// call is 0 while the order is prepared, 1 when it is sent or answered.
	call int
	// lapses says that the lease's calls are disturbed as well, so that another host takes over.
	lapses bool
	dies   bool
	down   bool
	ignore bool
}

func orderCases() []ordersCase {
	var cases []ordersCase
	both := []bool{false, true}
	for _, with := range standin.Disturbances() {
		for call := range 2 {
			for _, lapses := range both {
				for _, dies := range both {
					for _, down := range both {
						cases = append(cases, ordersCase{with: with, call: call, lapses: lapses, dies: dies, down: down})
						// A late order is the window that a receiver which ignores the number leaves open.
						if with != standin.Late {
							cases = append(cases, ordersCase{with: with, call: call, lapses: lapses, dies: dies, down: down, ignore: true})
						}
					}
				}
			}
		}
	}
	return cases
}

// Two hosts order for one zone, or nobody does any more. The holder's calls are disturbed from the
// preparation of an order on, or from its sending on, in each way, for longer than its term; its
// lease lapses or not, it is killed or goes on, the platform is down until after that or not, and
// honours the fencing number or ignores it; another host stands by. The platform must take no order of a
// host after one of its successor, and the servers needed must be ordered in the end.
func TestOrdersUnderFaults(t *testing.T) {
	for _, c := range orderCases() {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, c.run)
		})
	}
}

// Orders come late or from two hosts: each call of the platform takes a good part of the term, or
// longer than the term, so that leases lapse while renewals and orders are under way.
func TestOrdersWhileThePlatformIsSlow(t *testing.T) {
	for _, delay := range []time.Duration{zoneTiming().Renew, zoneTiming().Term / 2, zoneTiming().Term} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				memory := standin.NewMemory(standin.WithHosts(zoneHosts()))
				memory.Delay(delay)
				for i := range uint64(2) {
					defer startEntry(memory, fmt.Sprintf("entry-%d", i), i).stop()
				}
				<-time.After(4 * zoneTiming().Term)
				memory.Delay(0)
				eventually(t, "four servers are ordered", func() bool { return enough(memory) })
				checkOneInCharge(t, memory.Orders())
			})
		})
	}
}

// leaseFault is one under which the lease lapses: doubled calls renew it.
func (c ordersCase) leaseFault() standin.Disturbance {
	if c.with == standin.Doubled {
		return standin.RequestLost
	}
	return c.with
}

func (c ordersCase) run(t *testing.T) {
	memory := standin.NewMemory(standin.WithHosts(zoneHosts()), standin.WithFaults(standin.Faults{IgnoreFencing: c.ignore}))
	first := startEntry(memory, "entry-1", 1)
	first.way.At(c.call, c.with, true)
	defer func() { first.stop() }()
	<-first.way.Reached()
	if c.lapses {
		first.lease.At(0, c.leaseFault(), true)
	}
	memory.Outage(c.down)
	second := startEntry(memory, "entry-2", 2)
	defer func() { second.stop() }()
	if c.down {
		<-time.After(zoneTiming().Term)
	} else if c.lapses {
		eventually(t, "the other host orders", func() bool { return orderedBy(memory, "entry-2") || enough(memory) })
	}
	if c.dies {
		first.kill()
	}
	first.lease.Heal()
	first.way.Heal()
	memory.Outage(false)
	eventually(t, "four servers are ordered", func() bool { return enough(memory) })
	checkOneInCharge(t, memory.Orders())
}

func orderedBy(memory *standin.Memory, id string) bool {
	return slices.ContainsFunc(memory.Orders(), func(o platform.ServerOrder) bool { return o.Holder == id })
}

// enough reports whether the last order is for all servers that are needed.
func enough(memory *standin.Memory) bool {
	orders := memory.Orders()
	return len(orders) > 0 && orders[len(orders)-1].Count == 4
}

func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }

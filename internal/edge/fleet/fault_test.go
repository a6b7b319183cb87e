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

// Guards against a pool that is never made smaller, so that idle servers are paid for all the time: the lease is renewed every
// two seconds with a new number each, and the runner discarded its state at each renewal.
func TestRenewalsKeepPoolState(t *testing.T) {
	f := newFakeDeps()
	f.states[0].RefusedLoad, f.states[0].Servers[0].Running, f.states[0].Servers[1].Running = 0, 0, 1
	f.states[0].Servers[0].Draining = true
	r := f.runner()
	for range 70 {
		f.now = f.now.Add(2 * time.Second)
		f.deadline = f.now.Add(4 * time.Second)
		f.fencing++
		r.round(t.Context())
	}
	if len(f.orders) != 1 || f.orders[0].Count != 1 || f.orders[0].Fencing < 30 {
		t.Errorf("orders = %v, want one order for one server with a fencing number of at least 30", f.orders)
	}
}

// Guards against two hosts ordering for one zone: the process is paused right after it read the clock for the check of its
// term, and resumes after the term. A timeout computed from the earlier reading would start to run only then, and a platform
// that ignores the fencing number would accept the order.
func TestPauseAfterTheCheckEndsTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const remaining = 30 * time.Millisecond
		f := newFakeDeps()
		memory := standin.NewMemory(standin.WithFaults(standin.Faults{IgnoreFencing: true}))
		f.now, f.deadline = time.Now(), time.Now().Add(remaining)
		r := f.runner()
		r.deps.Orders = memory
		calls := 0
		r.clock = func() time.Time {
			read := f.now
			// The last reading before the write is the one after the lease was checked for the order.
			if calls++; calls == clockReadings {
				<-time.After(2 * remaining)
			}
			return read
		}
		r.round(t.Context())
		if calls < clockReadings {
			t.Fatalf("the clock was read %d times before the write, want clockReadings", calls)
		}
		if orders := memory.Orders(); len(orders) != 0 {
			t.Errorf("ordered after the end of the term: %v", orders)
		}
	})
}

// clockReadings is how often the first round of one pool reads the clock before its write.
const clockReadings = 7

// zoneTiming is a lease short enough for tests, with its times in the same order as in the default.
func zoneTiming() lease.Timing {
	return lease.Timing{Term: 500 * time.Millisecond, Renew: 120 * time.Millisecond, Margin: 80 * time.Millisecond}
}

// keeperAdapter adapts a duty.Keeper to the runner's Keeper.
type keeperAdapter struct{ *duty.Keeper }

func (a keeperAdapter) Held(now time.Time) (platform.Version, time.Time, bool) {
	fence, ok := a.Keeper.Held(now)
	return fence.Number, fence.Deadline, ok
}

// contender is one host that contends for the zone's orders. Its calls to the platform and those of its lease can be disturbed
// separately.
type contender struct {
	platform *standin.FaultInjector
	lease    *standin.FaultInjector
	kill     func()
	stop     func()
}

func startContender(memory *standin.Memory, id string, incarnation uint64) *contender {
	ctx, cancel := context.WithCancel(context.Background())
	c := &contender{platform: standin.NewFaultInjector(memory), lease: standin.NewFaultInjector(memory)}
	self := duty.Holder{HostID: id, Incarnation: incarnation}
	keeper := duty.NewKeeper(ctx, c.lease, "serverOrders/a", self, duty.WithTiming(zoneTiming()))
	load := fleet.State{Pool: "p", MinServers: 1, MaxServers: 4, StartupTime: time.Minute, RefusedLoad: 100}
	deps := Deps{
		Keeper: keeperAdapter{keeper},
		Orders: c.platform,
		// The load is read through the same disturbed platform, so that the step before the order is disturbed too.
		Gather: func(ctx context.Context, _ time.Time) ([]fleet.State, error) {
			hosts, err := memory.Hosts(ctx)
			if err != nil {
				return nil, err
			}
			if _, err := c.platform.Get(ctx, "load"); err != nil && !isNotFound(err) {
				return nil, err
			}
			state := load
			for _, host := range hosts {
				state.Servers = append(state.Servers, fleet.Server{HostID: host.ID, Running: 8, Limit: 8})
			}
			return []fleet.State{state}, nil
		},
		Drain: func(context.Context, DrainRequest) error { return nil },
	}
	runner := New(ctx, "a", id, deps, WithInterval(10*time.Millisecond))
	// A killed process sends nothing more, but its last call may still be under way.
	c.kill = cancel
	c.stop = func() {
		cancel()
		runner.Wait()
		keeper.Wait()
	}
	return c
}

// eventually polls until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for started := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(started) > 20*time.Second {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// zoneHosts returns more servers than are ever ordered.
func zoneHosts() []platform.Host {
	var hosts []platform.Host
	for i := range 6 {
		hosts = append(hosts, platform.Host{ID: fmt.Sprintf("s%d", i), Role: platform.RoleAgent, Pool: "p", AvailabilityZone: "a"})
	}
	return hosts
}

// checkSingleHolder fails if an order of a holder came after one of a later holder.
func checkSingleHolder(t *testing.T, orders []platform.ServerOrder) {
	t.Helper()
	ended := map[string]bool{}
	for i, order := range orders {
		if ended[order.Holder] {
			t.Fatalf("order %d is from %s, which had been replaced: %v", i, order.Holder, orders)
		}
		if i > 0 && orders[i-1].Holder != order.Holder {
			ended[orders[i-1].Holder] = true
		}
	}
}

// orderCase is one fault of the holder of a zone's duty.
type orderCase struct {
	disturbance standin.CallFault
	// call is the first disturbed call: 0 while the order is prepared, 1 when it is sent or answered.
	call int
	// leaseLapses disturbs the calls of the lease as well, so that another host takes over.
	leaseLapses   bool
	holderDies    bool
	platformDown  bool
	ignoreFencing bool
}

func orderCases() []orderCase {
	var cases []orderCase
	bools := []bool{false, true}
	for _, disturbance := range standin.CallFaults() {
		for call := range 2 {
			for _, leaseLapses := range bools {
				for _, holderDies := range bools {
					for _, platformDown := range bools {
						cases = append(cases, orderCase{
							disturbance: disturbance, call: call, leaseLapses: leaseLapses, holderDies: holderDies, platformDown: platformDown,
						})
						// Delayed orders are left out: a receiver that ignores the fencing number may accept them.
						if disturbance != standin.Late {
							cases = append(cases, orderCase{
								disturbance: disturbance, call: call, leaseLapses: leaseLapses, holderDies: holderDies,
								platformDown: platformDown, ignoreFencing: true,
							})
						}
					}
				}
			}
		}
	}
	return cases
}

// Guards against two hosts ordering for one zone, and against no host doing so any more. The holder's calls are disturbed in
// each way for longer than its term, from the preparation or the sending of an order on; its lease lapses or not, it is killed
// or goes on, the platform is down until then or not, and the platform respects the fencing number or ignores it; a second
// host is ready to take over. The platform must accept no order of a host after one of its successor, and the servers needed
// must be ordered in the end.
func TestOrdersUnderFaults(t *testing.T) {
	for _, c := range orderCases() {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, c.run)
		})
	}
}

// Guards against late orders and orders from two hosts while each call of the platform takes a large part of the term, or
// longer than the term, so that leases lapse while renewals and orders are under way.
func TestOrdersWhileThePlatformIsSlow(t *testing.T) {
	for _, delay := range []time.Duration{zoneTiming().Renew, zoneTiming().Term / 2, zoneTiming().Term} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				memory := standin.NewMemory(standin.WithHosts(zoneHosts()))
				memory.SetDelay(delay)
				for i := range uint64(2) {
					defer startContender(memory, fmt.Sprintf("entry-%d", i), i).stop()
				}
				<-time.After(4 * zoneTiming().Term)
				memory.SetDelay(0)
				eventually(t, "four servers are ordered", func() bool { return enoughOrdered(memory) })
				checkSingleHolder(t, memory.Orders())
			})
		})
	}
}

// leaseDisturbance returns a disturbance under which the lease lapses. Doubled calls would still renew it.
func (c orderCase) leaseDisturbance() standin.CallFault {
	if c.disturbance == standin.Duplicated {
		return standin.RequestLost
	}
	return c.disturbance
}

func (c orderCase) run(t *testing.T) {
	memory := standin.NewMemory(standin.WithHosts(zoneHosts()), standin.WithFaults(standin.Faults{IgnoreFencing: c.ignoreFencing}))
	first := startContender(memory, "entry-1", 1)
	first.platform.InjectAt(c.call, c.disturbance, true)
	defer func() { first.stop() }()
	<-first.platform.Injected()
	if c.leaseLapses {
		first.lease.InjectAt(0, c.leaseDisturbance(), true)
	}
	memory.SetOutage(c.platformDown)
	second := startContender(memory, "entry-2", 2)
	defer func() { second.stop() }()
	if c.platformDown {
		<-time.After(zoneTiming().Term)
	} else if c.leaseLapses {
		eventually(t, "the other host orders", func() bool { return orderedBy(memory, "entry-2") || enoughOrdered(memory) })
	}
	if c.holderDies {
		first.kill()
	}
	first.lease.Heal()
	first.platform.Heal()
	memory.SetOutage(false)
	eventually(t, "four servers are ordered", func() bool { return enoughOrdered(memory) })
	checkSingleHolder(t, memory.Orders())
}

// orderedBy reports whether a host has sent an order.
func orderedBy(memory *standin.Memory, id string) bool {
	return slices.ContainsFunc(memory.Orders(), func(o platform.ServerOrder) bool { return o.Holder == id })
}

// enoughOrdered reports whether the last order is for all servers that are needed.
func enoughOrdered(memory *standin.Memory) bool {
	orders := memory.Orders()
	return len(orders) > 0 && orders[len(orders)-1].Count == 4
}

func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }

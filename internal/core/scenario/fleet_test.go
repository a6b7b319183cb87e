package scenario

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/fleet"
)

const (
	fleetEnd     = 4 * time.Hour
	fleetStartup = time.Minute
	fleetService = 10
	fleetMax     = 24
	fleetStep    = 2 * time.Second
	reportLag    = 4
)

// offeredSlots is the load in slots: a wave of two hours with a burst of three minutes each half hour.
func offeredSlots(at time.Duration) float64 {
	wave := 80 + 50*math.Sin(2*math.Pi*at.Hours()/2)
	if into := at % (30 * time.Minute); into > 10*time.Minute && into < 13*time.Minute {
		wave += 20
	}
	return wave
}

// machine is a server of the zone.
type machine struct {
	id      string
	ready   time.Duration
	running []time.Duration
	drain   bool
	reports []fleet.Server
}

// zone is the platform's zone in steps of a second.
type zone struct {
	random   *rand.Rand
	machines []*machine
	queue    []time.Duration
	waits    []time.Duration
	paid     float64
	least    float64
	orders   int
	turns    int
	last     int
	made     int
}

func (z *zone) order(at time.Duration, count int, stop []string) {
	current := len(z.machines)
	if count == current {
		return
	}
	direction := 1
	if count < current {
		direction = -1
	}
	z.orders++
	if z.last == -direction {
		z.turns++
	}
	z.last = direction
	for len(z.machines) < count {
		z.made++
		z.machines = append(z.machines, &machine{id: fmt.Sprintf("server%03d", z.made), ready: at + fleetStartup})
	}
	z.machines = slices.DeleteFunc(z.machines, func(m *machine) bool { return slices.Contains(stop, m.id) })
	for len(z.machines) > count {
		// A server stopped without a drain cuts its calls off; they come again.
		last := z.machines[len(z.machines)-1]
		for range last.running {
			z.queue = append(z.queue, at)
		}
		z.machines = z.machines[:len(z.machines)-1]
	}
}

// settle drains down to count and stops what is empty, or orders up to it.
func (z *zone) settle(at time.Duration, count int) {
	var stop []string
	for i, m := range z.machines {
		m.drain = i >= count
		if m.drain && len(m.running) == 0 {
			stop = append(stop, m.id)
		}
	}
	if len(z.machines) < count {
		z.order(at, count, nil)
	}
	z.order(at, len(z.machines)-len(stop), stop)
}

// foresight orders margin times the load at the time when a server would be ready.
func foresight(margin float64) func(z *zone) func(time.Duration) {
	return func(z *zone) func(time.Duration) {
		return func(at time.Duration) {
			most := max(offeredSlots(at), offeredSlots(at+fleetStartup/2), offeredSlots(at+fleetStartup))
			z.settle(at, int(math.Ceil(margin*most/knee)))
		}
	}
}

// second serves one second.
func (z *zone) second(at time.Duration) {
	for range poisson(z.random, offeredSlots(at)/fleetService) {
		z.queue = append(z.queue, at)
	}
	for _, m := range z.machines {
		m.running = slices.DeleteFunc(m.running, func(end time.Duration) bool { return end <= at })
	}
	for len(z.queue) > 0 {
		free := slices.MinFunc(z.machines, func(a, b *machine) int { return a.use(at) - b.use(at) })
		if free.use(at) >= knee {
			break
		}
		z.waits = append(z.waits, at-z.queue[0])
		z.queue = z.queue[1:]
		free.running = append(free.running, at+time.Duration(fleetService*(0.5+z.random.Float64())*float64(time.Second)))
	}
	z.paid += float64(len(z.machines))
	z.least += math.Ceil(offeredSlots(at) / knee)
}

func (m *machine) use(at time.Duration) int {
	if m.drain || at < m.ready {
		return knee
	}
	return len(m.running)
}

func poisson(random *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		n++
	}
	return n
}

// view is what the lagging list and reports show.
func (z *zone) view(at time.Duration) []fleet.Server {
	var out []fleet.Server
	for i, m := range z.machines {
		if at < m.ready {
			continue
		}
		now := fleet.Server{HostID: m.id, Running: len(m.running), Limit: knee, Draining: m.drain, ReportAge: reportLag * time.Second}
		if i == 0 {
			now.Queued = len(z.queue)
		}
		m.reports = append(m.reports, now)
		out = append(out, m.reports[max(0, len(m.reports)-1-reportLag/2)])
	}
	return out
}

func (z *zone) work() int {
	n := len(z.queue)
	for _, m := range z.machines {
		n += len(m.running)
	}
	return n
}

// rules are the ways to decide. Foresight knows the load to come, and gives the least that serves it.
func rules() map[string]func(z *zone) func(at time.Duration) {
	return map[string]func(z *zone) func(at time.Duration){
		"1 constant, for the peak": func(z *zone) func(time.Duration) {
			return func(at time.Duration) { z.order(at, 20, nil) }
		},
		"2 load of the moment": func(z *zone) func(time.Duration) {
			return func(at time.Duration) {
				z.order(at, min(fleetMax, max(1, int(math.Ceil(float64(z.work())/knee)))), nil)
			}
		},
		"3 foresight":          foresight(1),
		"4 foresight and 10 %": foresight(1.1),
		"5 foresight and 20 %": foresight(1.2),
		"6 foresight and 30 %": foresight(1.3),
		"7 module": func(z *zone) func(time.Duration) {
			var memory fleet.Memory
			return func(at time.Duration) {
				decision := fleet.Decide(epoch.Add(at), fleet.State{
					MinServers: 1, MaxServers: fleetMax, StartupTime: fleetStartup, HostListAge: time.Second,
					Servers: z.view(at), Memory: memory,
				})
				memory = decision.Memory
				for _, m := range z.machines {
					m.drain = slices.Contains(decision.Drain, m.id)
				}
				if decision.Hold == fleet.HoldNone {
					z.order(at, decision.Count, decision.Drained)
				}
			}
		},
	}
}

// TestServers compares the cost of the servers and the waits of the calls.
func TestServers(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	table.WriteString("| rule | paid over least | p50 wait | p99 wait | orders an hour | turns an hour |\n|---|---|---|---|---|---|\n")
	all := rules()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		var paid, least, orders, turns float64
		var waits []time.Duration
		for _, seed := range seeds {
			z := &zone{random: rand.New(rand.NewPCG(seed, 9))}
			z.order(-fleetStartup, 14, nil)
			decide := all[name](z)
			for at := time.Duration(0); at < fleetEnd; at += time.Second {
				z.second(at)
				if at%fleetStep == 0 {
					decide(at)
				}
			}
			paid, least = paid+z.paid, least+z.least
			orders, turns = orders+float64(z.orders), turns+float64(z.turns)
			waits = append(waits, z.waits...)
		}
		hours := fleetEnd.Hours() * float64(len(seeds))
		fmt.Fprintf(&table, "| %s | %.3f | %.1f s | %.1f s | %.1f | %.1f |\n", name[2:], paid/least,
			quantile(waits, 0.5).Seconds(), quantile(waits, 0.99).Seconds(), orders/hours, turns/hours)
	}
	golden(t, "servers.md", table.String())
}

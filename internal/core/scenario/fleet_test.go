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
	fleetSimulationEnd = 4 * time.Hour
	serverStartupTime  = time.Minute
	// meanServiceSeconds is the mean duration of a call at a server.
	meanServiceSeconds = 10
	maxFleetServers    = 24
	decisionInterval   = 2 * time.Second
	// reportLagSeconds is the age of the load reports.
	reportLagSeconds = 4
)

// offeredSlots returns the load as the mean number of slots in use if no call waits: a sine wave with a period of two
// hours, and a burst of three minutes in each half hour.
func offeredSlots(at time.Duration) float64 {
	slots := 80 + 50*math.Sin(2*math.Pi*at.Hours()/2)
	if sinceHalfHour := at % (30 * time.Minute); sinceHalfHour > 10*time.Minute && sinceHalfHour < 13*time.Minute {
		slots += 20
	}
	return slots
}

// fleetServer is a server in the zone, running or starting up.
type fleetServer struct {
	id      string
	readyAt time.Duration
	// callEnds holds when each of the running calls ends.
	callEnds []time.Duration
	draining bool
	// reports holds all load reports; the scaling rules see them after reportLagSeconds.
	reports []fleet.Server
}

// zone simulates the servers of an availability zone and their calls, one second at a time.
type zone struct {
	random  *rand.Rand
	servers []*fleetServer
	// queue holds when each of the waiting calls arrived.
	queue []time.Duration
	// waits holds how long each started call waited.
	waits []time.Duration
	// serverSeconds counts the time of all servers, including their startup; minServerSeconds is the least that the load
	// needs.
	serverSeconds    float64
	minServerSeconds float64
	orders           int
	// reversals counts the orders in the opposite direction of the previous one; lastDirection is 1 for up and -1 for down.
	reversals      int
	lastDirection  int
	createdServers int
}

// orderServers sets the number of servers to count: it starts new servers, or stops those in stop and then, if there are
// still too many, the newest ones. If the number is right already, it does nothing.
func (z *zone) orderServers(at time.Duration, count int, stop []string) {
	current := len(z.servers)
	if count == current {
		return
	}
	direction := 1
	if count < current {
		direction = -1
	}
	z.orders++
	if z.lastDirection == -direction {
		z.reversals++
	}
	z.lastDirection = direction
	for len(z.servers) < count {
		z.createdServers++
		z.servers = append(z.servers, &fleetServer{id: fmt.Sprintf("server%03d", z.createdServers), readyAt: at + serverStartupTime})
	}
	z.servers = slices.DeleteFunc(z.servers, func(srv *fleetServer) bool { return slices.Contains(stop, srv.id) })
	for len(z.servers) > count {
		// A server that is stopped without draining interrupts its calls, which are queued again.
		last := z.servers[len(z.servers)-1]
		for range last.callEnds {
			z.queue = append(z.queue, at)
		}
		z.servers = z.servers[:len(z.servers)-1]
	}
}

// drainToCount drains the servers above count and stops those that are empty, or orders new servers up to count.
func (z *zone) drainToCount(at time.Duration, count int) {
	var stop []string
	for i, srv := range z.servers {
		srv.draining = i >= count
		if srv.draining && len(srv.callEnds) == 0 {
			stop = append(stop, srv.id)
		}
	}
	if len(z.servers) < count {
		z.orderServers(at, count, nil)
	}
	z.orderServers(at, len(z.servers)-len(stop), stop)
}

// perfectForecast returns a rule that knows the load to come. It orders servers for margin times the highest load from now
// until a server ordered now would be ready.
func perfectForecast(margin float64) func(z *zone) func(time.Duration) {
	return func(z *zone) func(time.Duration) {
		return func(at time.Duration) {
			peak := max(offeredSlots(at), offeredSlots(at+serverStartupTime/2), offeredSlots(at+serverStartupTime))
			z.drainToCount(at, int(math.Ceil(margin*peak/slotsPerServer)))
		}
	}
}

// simulateSecond adds the calls that arrive in one second, ends running calls and starts waiting ones.
func (z *zone) simulateSecond(at time.Duration) {
	for range poisson(z.random, offeredSlots(at)/meanServiceSeconds) {
		z.queue = append(z.queue, at)
	}
	for _, srv := range z.servers {
		srv.callEnds = slices.DeleteFunc(srv.callEnds, func(end time.Duration) bool { return end <= at })
	}
	for len(z.queue) > 0 {
		leastUsed := slices.MinFunc(z.servers, func(a, b *fleetServer) int { return a.usedSlots(at) - b.usedSlots(at) })
		if leastUsed.usedSlots(at) >= slotsPerServer {
			break
		}
		z.waits = append(z.waits, at-z.queue[0])
		z.queue = z.queue[1:]
		leastUsed.callEnds = append(leastUsed.callEnds, at+time.Duration(meanServiceSeconds*(0.5+z.random.Float64())*float64(time.Second)))
	}
	z.serverSeconds += float64(len(z.servers))
	z.minServerSeconds += math.Ceil(offeredSlots(at) / slotsPerServer)
}

// usedSlots returns how many slots of the server are in use; a server that accepts no calls counts as full.
func (srv *fleetServer) usedSlots(at time.Duration) int {
	if srv.draining || at < srv.readyAt {
		return slotsPerServer
	}
	return len(srv.callEnds)
}

// poisson returns a random number with a Poisson distribution (Knuth's algorithm).
func poisson(random *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		n++
	}
	return n
}

// laggedReports returns the host list with load reports that are reportLagSeconds old. It is called every
// decisionInterval of 2 s, so that the lag is a fixed number of reports.
func (z *zone) laggedReports(at time.Duration) []fleet.Server {
	var out []fleet.Server
	for i, srv := range z.servers {
		if at < srv.readyAt {
			continue
		}
		now := fleet.Server{
			HostID: srv.id, Running: len(srv.callEnds), Limit: slotsPerServer, Draining: srv.draining, ReportAge: reportLagSeconds * time.Second,
		}
		if i == 0 {
			now.Queued = len(z.queue)
		}
		srv.reports = append(srv.reports, now)
		out = append(out, srv.reports[max(0, len(srv.reports)-1-reportLagSeconds/2)])
	}
	return out
}

// openCalls returns the number of queued and running calls.
func (z *zone) openCalls() int {
	n := len(z.queue)
	for _, srv := range z.servers {
		n += len(srv.callEnds)
	}
	return n
}

// scalingRules returns the rules to compare by name; the number at the start of a name sets its place in the table. The
// foresight rules know the load to come and show how few servers can serve it; "module" is fleet.Decide.
func scalingRules() map[string]func(z *zone) func(at time.Duration) {
	return map[string]func(z *zone) func(at time.Duration){
		"1 constant, for the peak": func(z *zone) func(time.Duration) {
			return func(at time.Duration) { z.orderServers(at, 20, nil) }
		},
		"2 load of the moment": func(z *zone) func(time.Duration) {
			return func(at time.Duration) {
				z.orderServers(at, min(maxFleetServers, max(1, int(math.Ceil(float64(z.openCalls())/slotsPerServer)))), nil)
			}
		},
		"3 foresight":          perfectForecast(1),
		"4 foresight and 10 %": perfectForecast(1.1),
		"5 foresight and 20 %": perfectForecast(1.2),
		"6 foresight and 30 %": perfectForecast(1.3),
		"7 module": func(z *zone) func(time.Duration) {
			var memory fleet.Memory
			return func(at time.Duration) {
				decision := fleet.Decide(epoch.Add(at), fleet.State{
					MinServers: 1, MaxServers: maxFleetServers, StartupTime: serverStartupTime, HostListAge: time.Second,
					Servers: z.laggedReports(at), Memory: memory,
				})
				memory = decision.Memory
				for _, srv := range z.servers {
					srv.draining = slices.Contains(decision.Drain, srv.id)
				}
				if decision.Hold == fleet.HoldNone {
					z.orderServers(at, decision.Count, decision.Drained)
				}
			}
		},
	}
}

// TestServerCountRules compares the scaling rules by the cost of the servers and the waits of the calls.
func TestServerCountRules(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	table.WriteString("| rule | paid over least | p50 wait | p99 wait | orders an hour | turns an hour |\n|---|---|---|---|---|---|\n")
	all := scalingRules()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		var serverSeconds, minServerSeconds, orders, reversals float64
		var waits []time.Duration
		for _, seed := range seeds {
			z := &zone{random: rand.New(rand.NewPCG(seed, 9))}
			z.orderServers(-serverStartupTime, 14, nil)
			decide := all[name](z)
			for at := time.Duration(0); at < fleetSimulationEnd; at += time.Second {
				z.simulateSecond(at)
				if at%decisionInterval == 0 {
					decide(at)
				}
			}
			serverSeconds, minServerSeconds = serverSeconds+z.serverSeconds, minServerSeconds+z.minServerSeconds
			orders, reversals = orders+float64(z.orders), reversals+float64(z.reversals)
			waits = append(waits, z.waits...)
		}
		hours := fleetSimulationEnd.Hours() * float64(len(seeds))
		fmt.Fprintf(&table, "| %s | %.3f | %.1f s | %.1f s | %.1f | %.1f |\n", name[2:], serverSeconds/minServerSeconds,
			quantile(waits, 0.5).Seconds(), quantile(waits, 0.99).Seconds(), orders/hours, reversals/hours)
	}
	compareGolden(t, "servers.md", table.String())
}

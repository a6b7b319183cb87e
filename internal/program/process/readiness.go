package process

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/readiness"
	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/internal/edge/view"
)

const (
	// entriesInterval is how often the balancer gets the list of living entries. The list decides which entry uses a cold server.
	entriesInterval = 250 * time.Millisecond
	// entriesSettleTime is how long after its start an entry uses no cold server. By then it knows all other entries, and they know it.
	entriesSettleTime = 2 * time.Second
)

// updateBalancer passes a snapshot of the store to the balancer. Until the snapshot is complete the balancer has no servers, so that nothing
// is sent to a server whose zone is evacuated.
func (g *Gateway) updateBalancer(s *view.Snapshot) {
	if !s.Complete() {
		return
	}
	now := time.Now()
	if conditions, changed := g.conditions.update(s); changed {
		g.balancer.SetConditions(now, conditions)
	}
	g.balancer.Sync(now, s.Servers)
}

// conditionsSource derives the balancer's conditions from snapshots. The server list changes several times a second, the conditions rarely.
// It is not safe for concurrent use.
type conditionsSource struct{ last *view.Snapshot }

// update returns the conditions of a snapshot, and whether they may differ from those of the last one.
func (c *conditionsSource) update(s *view.Snapshot) (readiness.Conditions, bool) {
	last := c.last
	c.last = s
	if last != nil && last.Table == s.Table && last.EvacuatedRevision == s.EvacuatedRevision && maps.Equal(last.Versions, s.Versions) {
		return readiness.Conditions{}, false
	}
	conditions := readiness.Conditions{
		Evacuated: s.Evacuated,
		Revision:  s.EvacuatedRevision,
		Limits:    map[string]readiness.Limit{},
		Versions:  s.Versions,
	}
	for _, pool := range s.Table.Pools() {
		if pool.ColdLimit.PerSecond > 0 {
			conditions.Limits[pool.Name] = pool.ColdLimit
		}
	}
	return conditions, true
}

// updateEntries passes the list of living entries to the balancer, once it has settled, until ctx ends.
func (g *Gateway) updateEntries(ctx context.Context, started time.Time) {
	var knownOthers []gossip.Member
	var knownSelf gossip.Member
	var hosts []string
	var runners map[string][]string
	var knownDemand batch.Demand
	var knownTable *routing.Table
	ticker.Every(ctx, entriesInterval, func(now time.Time) {
		alive := g.gossip.Alive(now)
		if running := now.Sub(started); running < entriesSettleTime || !roster.Settled(running, alive) {
			return
		}
		self, demand, table := g.gossip.Self(), g.demand(), g.view.Snapshot().Table
		sameDemand := demand.Slots == knownDemand.Slots && slices.Equal(demand.Models, knownDemand.Models)
		if table != knownTable || !sameDemand || self != knownSelf || !slices.Equal(alive, knownOthers) {
			knownOthers, knownSelf, knownDemand, knownTable = alive, self, demand, table
			members := slices.Concat(alive, []gossip.Member{self})
			hosts, runners = hostIDs(members), runnersByModel(table, members, demand)
		}
		g.balancer.SetEntries(now, hosts, runners)
		g.usesWeights.Store(runsAny(runners, self.HostID) || g.isContender() || len(g.jobs.TokenRates()) > 0)
	})
}

// runsAny reports whether the host runs the batch jobs of any model.
func runsAny(runners map[string][]string, hostID string) bool {
	for _, hosts := range runners {
		if slices.Contains(hosts, hostID) {
			return true
		}
	}
	return false
}

func hostIDs(members []gossip.Member) []string {
	hosts := make([]string, 0, len(members))
	for _, member := range members {
		hosts = append(hosts, member.HostID)
	}
	return hosts
}

// runnersByModel returns the entries that run the batch jobs of each model in the configuration.
func runnersByModel(table *routing.Table, members []gossip.Member, demand batch.Demand) map[string][]string {
	byModel := map[string][]string{}
	if table == nil {
		return byModel
	}
	var runners []batch.Runner
	for _, member := range members {
		if !member.Leaving {
			runners = append(runners, batch.Runner{HostID: member.HostID, Cores: member.Cores})
		}
	}
	for _, pool := range table.Pools() {
		for _, model := range pool.Models {
			byModel[model] = batch.PreferredRunners(model, demand, runners)
		}
	}
	return byModel
}

// region returns the region of an availability zone; empty if the settings don't name it.
func (g *Gateway) region(zone string) string { return g.set.Regions[zone] }

// sameRegion lists the living entries in this entry's region. Calls to the store go through them only, since they contain the bodies of
// requests that may be restricted to this region.
type sameRegion struct {
	members *gossip.Gossip
	region  func(zone string) string
	self    gossip.Member
}

// Alive returns the other entries of the region.
func (s sameRegion) Alive(now time.Time) []gossip.Member {
	return slices.DeleteFunc(slices.Clone(s.members.Alive(now)), func(m gossip.Member) bool {
		return s.region(m.AvailabilityZone) != s.region(s.self.AvailabilityZone)
	})
}

// denialCollector exports how often servers were passed over because they may not get a request.
type denialCollector struct{ balancer *backend.Balancer }

var denialsDescription = prometheus.NewDesc("oleandershelf_servers_denied_total",
	"Servers passed over by the choice of a server because they may not get a request, by reason.", []string{"reason"}, nil)

// Describe sends the description of the metric.
func (c denialCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- denialsDescription
}

// Collect sends the current values of the metric.
func (c denialCollector) Collect(metrics chan<- prometheus.Metric) {
	denials := c.balancer.Denials()
	for _, reason := range slices.Sorted(maps.Keys(denials)) {
		metrics <- prometheus.MustNewConstMetric(denialsDescription, prometheus.CounterValue, float64(denials[reason]), reason.String())
	}
}

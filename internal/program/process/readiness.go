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
	now := time.Now()
	g.balancer.SetConditions(now, conditions)
	g.balancer.Sync(now, s.Servers)
}

// updateEntries passes the list of living entries to the balancer, once it has settled, until ctx ends.
func (g *Gateway) updateEntries(ctx context.Context, started time.Time) {
	ticker.Every(ctx, entriesInterval, func(now time.Time) {
		alive := g.gossip.Alive(now)
		if running := now.Sub(started); running < entriesSettleTime || !roster.Settled(running, alive) {
			return
		}
		self := g.gossip.Self()
		hosts := make([]string, 0, len(alive)+1)
		var runners []batch.Runner
		for _, member := range append(alive, self) {
			hosts = append(hosts, member.HostID)
			if !member.Leaving {
				runners = append(runners, batch.Runner{HostID: member.HostID, Cores: member.Cores})
			}
		}
		g.balancer.SetEntries(now, hosts, g.runnersByModel(runners))
	})
}

// runnersByModel returns the entries that run the batch jobs of each model in the configuration.
func (g *Gateway) runnersByModel(runners []batch.Runner) map[string][]string {
	byModel := map[string][]string{}
	table := g.view.Snapshot().Table
	if table == nil {
		return byModel
	}
	demand := g.demand()
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
	return slices.DeleteFunc(s.members.Alive(now), func(m gossip.Member) bool {
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

package process

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/billing"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/entry"
	"github.com/oleandershelf/oleandershelf/internal/edge/fleet"
)

// Names of duties. The names that end in a slash are followed by an availability zone or a job.
const (
	dutyServerOrders = "serverOrders/"
	dutyUsage        = "usage/0"
	dutyTrainerJob   = "trainerJob/"
	dutyRecords      = "idempotencyRecords"
)

// duties runs what an entry does under leases besides serving requests.
type duties struct {
	*keepers
	fleet *fleet.Runner
	usage *gatherer
	// closer closes usage windows. One host does it for all organisations.
	closer  *billing.Closer
	records *entry.RecordSweeper
	// parts deletes configuration parts that no ticket names any more, under the same lease as records.
	parts *configuration.PartSweeper
}

// newDuties starts the duties of an entry. Each acts only while the entry holds its lease.
func newDuties(ctx context.Context, r *runtime, follower *configuration.Follower) *duties {
	d := &duties{keepers: newKeepers(r), usage: r.newGatherer(ctx)}
	zoneName := r.set.AvailabilityZone
	ownZone := zone{name: zoneName, runtime: r, follower: follower}
	d.fleet = fleet.New(ctx, zoneName, r.set.HostID, fleet.Deps{
		Keeper: keeperAdapter{d.keeper(ctx, dutyServerOrders+zoneName, zoneName)},
		Orders: r.platform,
		Gather: ownZone.poolStates,
		Drain:  ownZone.drain,
	}, fleet.WithLogger(r.log))
	d.closer = billing.NewCloser(ctx, r.platform, keeperAdapter{d.keeper(ctx, dutyUsage, "")},
		billing.WithCloserWindow(r.set.UsageWindow), billing.WithGrace(usageGrace(r.set.UsageWindow)), billing.WithCloserLog(r.log))
	recordsKeeper := keeperAdapter{d.keeper(ctx, dutyRecords, "")}
	d.records = entry.NewRecordSweeper(ctx, r.platform, recordsKeeper, r.log)
	d.parts = configuration.NewPartSweeper(ctx, r.platform, recordsKeeper, r.log)
	return d
}

// usageGrace returns how long after its end a window is closed. Counts are gathered every 3 s and flushed at least every
// 15 s, so they reach the platform within 18 s of the request. Later counts are carried over to a later window. A window
// shorter than maxUsageGrace is closed after its own length.
func usageGrace(window time.Duration) time.Duration { return min(window, maxUsageGrace) }

const maxUsageGrace = 30 * time.Second

// addUsage adds the usage count of a response, so that two hosts hold it before the client receives the end of the
// response.
func (d *duties) addUsage(count usage.Count) { d.usage.collector.Merge(count) }

func (d *duties) wait() {
	d.keepers.wait()
	d.fleet.Wait()
	d.usage.wait()
	d.closer.Wait()
	d.records.Wait()
	d.parts.Wait()
}

// state returns the debug dump of all duties.
func (d *duties) state() any {
	return map[string]any{
		"leases":       d.keepers.state(),
		"serverOrders": d.fleet.State(),
		"usage":        d.usage.collector.State(),
		"usageCloser":  d.closer.State(),
	}
}

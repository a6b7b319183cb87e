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

// Names of duties.
const (
	dutyServerOrders = "serverOrders/"
	dutyUsage        = "usage/0"
	dutyTrainerJob   = "trainerJob/"
	dutyRecords      = "idempotencyRecords"
)

// duties are what an entry does under lease beside serving.
type duties struct {
	*keepers
	fleet *fleet.Runner
	usage *gatherer
	// closer closes usage windows; one host does it for all organisations.
	closer  *billing.Closer
	records *entry.RecordSweeper
	// parts deletes what tickets left behind, under the same lease as records.
	parts *configuration.PartSweeper
}

// newDuties starts the duties of an entry; each acts only while its lease is held.
func newDuties(ctx context.Context, r *runtime, follower *configuration.Follower) *duties {
	d := &duties{keepers: newKeepers(r), usage: r.newGatherer(ctx)}
	own := r.set.AvailabilityZone
	seen := zone{name: own, runtime: r, follower: follower}
	d.fleet = fleet.New(ctx, own, r.set.HostID, fleet.Deps{
		Keeper: plainKeeper{d.keeper(ctx, dutyServerOrders+own, own)},
		Orders: r.platform,
		Gather: seen.gather,
		Drain:  seen.drain,
	}, fleet.WithLogger(r.log))
	d.closer = billing.NewCloser(ctx, r.platform, plainKeeper{d.keeper(ctx, dutyUsage, "")},
		billing.WithCloserWindow(r.set.UsageWindow), billing.WithGrace(usageGrace(r.set.UsageWindow)), billing.WithCloserLog(r.log))
	cleaning := plainKeeper{d.keeper(ctx, dutyRecords, "")}
	d.records = entry.NewRecordSweeper(ctx, r.platform, cleaning, r.log)
	d.parts = configuration.NewPartSweeper(ctx, r.platform, cleaning, r.log)
	return d
}

// usageGrace is how long after its end a window is closed: counts are gathered every 3 s and flushed every 15 s at most,
// so what ran is in the platform within 18 s; later counts are carried over. A window shorter than that waits its own length.
func usageGrace(window time.Duration) time.Duration { return min(window, maxUsageGrace) }

const maxUsageGrace = 30 * time.Second

// counted takes the usage counter of an answer, so that two hosts hold it before the caller sees the end.
func (d *duties) counted(count usage.Count) { d.usage.collector.Merge(count) }

func (d *duties) wait() {
	d.keepers.wait()
	d.fleet.Wait()
	d.usage.wait()
	d.closer.Wait()
	d.records.Wait()
	d.parts.Wait()
}

// state is the dump of all duties.
func (d *duties) state() any {
	return map[string]any{
		"leases":       d.keepers.state(),
		"serverOrders": d.fleet.State(),
		"usage":        d.usage.collector.State(),
		"usageCloser":  d.closer.State(),
	}
}

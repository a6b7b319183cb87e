package process

import (
	"context"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/fleet"
)

// Names of duties.
const (
	dutyServerOrders = "serverOrders/"
	dutyUsage        = "usage/0"
	dutyTrainerJob   = "trainerJob/"
)

// duties are what an entry does under lease beside serving.
type duties struct {
	*keepers
	fleet  *fleet.Runner
	ledger *usage.Ledger
}

// newDuties starts the duties of an entry; each acts only while its lease is held.
func newDuties(ctx context.Context, r *runtime, follower *configuration.Follower) *duties {
	d := &duties{keepers: newKeepers(r), ledger: usage.NewLedger()}
	own := r.set.AvailabilityZone
	seen := zone{name: own, runtime: r, follower: follower}
	d.fleet = fleet.New(ctx, own, r.set.HostID, fleet.Deps{
		Keeper: plainKeeper{d.keeper(ctx, dutyServerOrders+own, own)},
		Orders: r.platform,
		Gather: seen.gather,
		Drain:  seen.drain,
	}, fleet.WithLogger(r.log))
	return d
}

// counted takes the usage counter of an answer, so that two hosts hold it before the caller sees the end.
func (d *duties) counted(count usage.Count) { d.ledger.Merge(count) }

func (d *duties) wait() {
	d.keepers.wait()
	d.fleet.Wait()
}

// state is the dump of all duties.
func (d *duties) state() any {
	return map[string]any{
		"leases":       d.keepers.state(),
		"serverOrders": d.fleet.State(),
		"usageCells":   d.ledger.Len(),
	}
}

package leader

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// KindUsage is the kind of the objects that hold the frozen counts of usage windows, named by window number.
const KindUsage = "usage"

// reportRetryPause is the pause after a failed report.
const reportRetryPause = 500 * time.Millisecond

// reporter reports each usage window once its counts are frozen.
type reporter struct {
	deps  Deps
	guard *takeoverGuard
	mu    sync.Mutex
	// reported are the windows that this holder has reported.
	reported    map[int64]bool
	nextAttempt time.Time
}

func newReporter(deps Deps, guard *takeoverGuard) *reporter {
	return &reporter{deps: deps, guard: guard, reported: map[int64]bool{}}
}

// reset forgets the windows reported under an earlier lease. The next holder repeats the last windows with the same content.
func (r *reporter) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.reported)
}

// step reports the windows that are due, oldest first.
func (r *reporter) step(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.nextAttempt) {
		return
	}
	for _, window := range usage.DueWindows(now, r.deps.Window, r.deps.CountsMissing(now)) {
		if r.reported[window] {
			continue
		}
		if err := r.report(ctx, window); err != nil {
			r.deps.Log.Warn().Err(err).Int64("window", window).Msg("failed to report usage, will retry")
			r.nextAttempt = now.Add(reportRetryPause)
			return
		}
		r.reported[window] = true
	}
}

// report freezes the counts of a window and sends them. Requests counted later are not reported.
func (r *reporter) report(ctx context.Context, window int64) error {
	counts, err := r.freeze(ctx, window)
	if err != nil {
		return err
	}
	ctx, cancel, holder, held := r.guard.begin(ctx)
	defer cancel()
	if !held {
		return errors.New("lease not held")
	}
	call, err := platform.UsageReport(holder, window, counts)
	if err != nil {
		return err
	}
	began := time.Now()
	deadline, _ := ctx.Deadline()
	reply, err := r.deps.Reports.Send(ctx, call)
	if err == nil {
		err = platform.CheckStatus(reply)
	}
	r.deps.Log.Info().Int64("window", window).Uint64("fencing", uint64(holder.Fencing)).
		Interface("counts", counts).AnErr("answer", err).Dur("took", time.Since(began)).Dur("leaseLeft", deadline.Sub(began)).Msg("usage reported")
	return err
}

// freeze returns the final counts of a window: those in its usage object, which the first successful writer determines.
func (r *reporter) freeze(ctx context.Context, window int64) (map[string]uint64, error) {
	name := strconv.FormatInt(window, 10)
	counts := r.deps.Ledger.RequestsInWindow(window * usage.WindowSeconds(r.deps.Window))
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, errors.Wrapf(err, "window %d", window)
	}
	_, err = r.deps.Store.Create(ctx, KindUsage, name, value)
	if err == nil {
		return counts, nil
	}
	if !errors.Is(err, product.ErrConflict) {
		return nil, err
	}
	object, err := r.deps.Store.Get(ctx, KindUsage, name)
	if err != nil {
		return nil, err
	}
	frozen := map[string]uint64{}
	return frozen, errors.Wrapf(json.Unmarshal(object.Value, &frozen), "window %d", window)
}

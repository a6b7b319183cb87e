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

// KindUsage holds the frozen figures of usage windows, each under the window's number.
const KindUsage = "usage"

// reportRetry is the pause after a report or a freeze that failed.
const reportRetry = 500 * time.Millisecond

// reporter reports each usage window once its figures are frozen.
type reporter struct {
	deps Deps
	turn *turn
	mu   sync.Mutex
	// done are the windows reported by this holder.
	done map[int64]bool
	next time.Time
}

func newReporter(deps Deps, turn *turn) *reporter {
	return &reporter{deps: deps, turn: turn, done: map[int64]bool{}}
}

// rest forgets what was done under an earlier lease; a successor repeats the last windows with the same bytes.
func (r *reporter) rest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.done)
}

// step reports the windows whose time has come, oldest first.
func (r *reporter) step(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.next) {
		return
	}
	for _, window := range usage.DueWindows(now, r.deps.Window, r.deps.Missing(now)) {
		if r.done[window] {
			continue
		}
		if err := r.report(ctx, window); err != nil {
			r.deps.Log.Warn().Err(err).Int64("window", window).Msg("usage not reported yet")
			r.next = now.Add(reportRetry)
			return
		}
		r.done[window] = true
	}
}

// report freezes the figures of the window and sends them. What counts later is not reported.
func (r *reporter) report(ctx context.Context, window int64) error {
	counts, err := r.freeze(ctx, window)
	if err != nil {
		return err
	}
	who, end, held := r.turn.holder()
	if !held {
		return errors.New("the duty is not held any more")
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	call, err := platform.UsageReport(who, window, counts)
	if err != nil {
		return err
	}
	reply, err := r.deps.Reports.Carry(ctx, call)
	if err == nil {
		err = platform.ReadDone(reply)
	}
	r.deps.Log.Info().Int64("window", window).Uint64("fencing", uint64(who.Fencing)).Interface("counts", counts).AnErr("answer", err).Msg("usage reported")
	return err
}

// freeze settles the figures of a window for good: those of the object that was created first.
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

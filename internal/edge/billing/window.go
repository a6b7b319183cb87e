package billing

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// errNoUsage is returned while no usage has been counted, so that there is no first window to close.
var errNoUsage = errors.New("no usage yet")

// loadProgress reads up to which window all windows are closed. If no window was ever closed, it first
// determines the first window.
//
// Two closers that read the counts at different times could start at different windows. One would then
// report the usage of the earlier window as such, and the other would report it as carried over. So the
// object is created before the first window is closed, and only one of two concurrent creations succeeds.
func (c *Closer) loadProgress(ctx context.Context) (platform.Object, Progress, error) {
	object, err := c.store.Get(ctx, ProgressName)
	if errors.Is(err, platform.ErrNotFound) {
		if err := c.createProgress(ctx); err != nil {
			return platform.Object{}, Progress{}, err
		}
		object, err = c.store.Get(ctx, ProgressName)
	}
	if err != nil {
		return platform.Object{}, Progress{}, err
	}
	progress, err := decode[Progress](object)
	return object, progress, err
}

// createProgress creates the progress object so that the window of the oldest stored count is closed first.
func (c *Closer) createProgress(ctx context.Context) error {
	stored, err := c.storedUsage(ctx)
	if err != nil {
		return err
	}
	first, ok := stored.First()
	if !ok {
		return errNoUsage
	}
	return ignoreConflict(c.putIfHeld(ctx, ProgressName, Progress{Through: first - c.windowSeconds()}, 0))
}

// storedUsage sums all counts that the platform has.
func (c *Closer) storedUsage(ctx context.Context) (usage.Sums, error) {
	objects, err := c.store.List(ctx, CountsPrefix)
	if err != nil {
		return nil, err
	}
	return sumCountsObjects(objects)
}

// sumCountsObjects sums the counts of the objects one window after the other, so that only the decoded
// counts of one window are in memory at a time. The same count may be in several objects of its window, but
// never in objects of two windows. It reorders objects and clears their values.
func sumCountsObjects(objects []platform.Object) (usage.Sums, error) {
	slices.SortFunc(objects, func(a, b platform.Object) int {
		return strings.Compare(windowOfObject(a.Name), windowOfObject(b.Name))
	})
	sums := make(usage.Sums)
	for len(objects) > 0 {
		window := windowOfObject(objects[0].Name)
		end := slices.IndexFunc(objects, func(object platform.Object) bool { return windowOfObject(object.Name) != window })
		if end < 0 {
			end = len(objects)
		}
		if err := sumWindow(sums, window, objects[:end]); err != nil {
			return nil, err
		}
		objects = objects[end:]
	}
	return sums, nil
}

// sumWindow adds the counts of one window to sums. All objects must have the window name in their names.
func sumWindow(sums usage.Sums, name string, objects []platform.Object) error {
	tally := usage.NewTally()
	var window int64
	for i, object := range objects {
		counts, err := decode[Counts](object)
		if err != nil {
			return err
		}
		window = counts.Window
		if windowName(window) != name {
			return errors.Wrap(errMalformedCounts, object.Name)
		}
		if err := counts.forEach(tally.Merge); err != nil {
			return errors.Wrap(err, object.Name)
		}
		objects[i].Value = nil
	}
	for organisation, amount := range tally.Sums() {
		sums.Add(organisation, usage.Share{Window: window, Amount: amount})
	}
	return nil
}

// closeWindow freezes and reports the window; all earlier windows must be reported already. Any closer can
// repeat each step and then finds what the first one wrote.
func (c *Closer) closeWindow(ctx context.Context, window int64) error {
	closing, err := c.loadClosing(ctx, window)
	if err != nil {
		return err
	}
	if err := c.freezeReports(ctx, window, closing.Organisations); err != nil {
		return err
	}
	if err := c.sendReports(ctx, window, closing.Organisations); err != nil {
		return err
	}
	return c.deleteExpired(ctx, c.newestExpired(window))
}

// loadClosing returns the organisations that get a report for the window. If none are recorded yet, it
// records them first.
func (c *Closer) loadClosing(ctx context.Context, window int64) (ClosingWindow, error) {
	object, err := c.store.Get(ctx, closingName(window))
	if errors.Is(err, platform.ErrNotFound) {
		if err := c.createClosing(ctx, window); err != nil {
			return ClosingWindow{}, err
		}
		object, err = c.store.Get(ctx, closingName(window))
	}
	if err != nil {
		return ClosingWindow{}, err
	}
	return decode[ClosingWindow](object)
}

// createClosing records the organisations that have unreported usage.
func (c *Closer) createClosing(ctx context.Context, window int64) error {
	unreported, err := c.unreportedShares(ctx, window)
	if err != nil {
		return err
	}
	closing := ClosingWindow{Organisations: make([]string, 0, len(unreported))}
	for organisation := range unreported {
		closing.Organisations = append(closing.Organisations, organisation)
	}
	slices.Sort(closing.Organisations)
	return ignoreConflict(c.putIfHeld(ctx, closingName(window), closing, 0))
}

// unreportedShares returns the usage that the reports for the window have to account for, by organisation.
// The reports of earlier windows were final when the progress was read, and counts only grow, so the counts
// read here include everything that those reports account for.
func (c *Closer) unreportedShares(ctx context.Context, window int64) (map[string][]usage.Share, error) {
	reported, err := c.reportedUsage(ctx, window)
	if err != nil {
		return nil, err
	}
	sums, err := c.storedUsage(ctx)
	if err != nil {
		return nil, err
	}
	unreported := make(map[string][]usage.Share)
	for organisation, stored := range sums {
		shares := usage.Unreported(stored, reported[organisation], c.newestExpired(window), window)
		if len(shares) > 0 {
			unreported[organisation] = shares
		}
	}
	return unreported, nil
}

// reportedUsage sums the usage that the frozen reports of all windows before the given one account for.
func (c *Closer) reportedUsage(ctx context.Context, window int64) (usage.Sums, error) {
	objects, err := c.store.List(ctx, FrozenPrefix)
	if err != nil {
		return nil, err
	}
	sums := make(usage.Sums)
	for _, object := range objects {
		name, organisation, ok := strings.Cut(strings.TrimPrefix(object.Name, FrozenPrefix), "/")
		if !ok || name >= windowName(window) {
			continue
		}
		frozen, err := decode[FrozenReport](object)
		if err != nil {
			return nil, err
		}
		for _, share := range frozen.Shares {
			sums.Add(organisation, share)
		}
	}
	return sums, nil
}

// freezeReports creates the frozen reports of the window that do not exist yet.
//
// Counts grow while a closer runs, so two closers may compute different figures for the same report. The
// first to create the object wins: the creation is conditional, and only the bytes of the object are ever
// sent.
func (c *Closer) freezeReports(ctx context.Context, window int64, organisations []string) error {
	frozen, err := c.loadFrozenReports(ctx, window)
	if err != nil {
		return err
	}
	missing := slices.DeleteFunc(slices.Clone(organisations), func(organisation string) bool {
		_, ok := frozen[organisation]
		return ok
	})
	if len(missing) == 0 {
		return nil
	}
	unreported, err := c.unreportedShares(ctx, window)
	if err != nil {
		return err
	}
	for _, organisation := range missing {
		report, err := c.buildReport(window, organisation, unreported[organisation])
		if err != nil {
			return err
		}
		name := frozenPrefix(window) + organisation
		if err := ignoreConflict(c.putIfHeld(ctx, name, report, 0)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Closer) buildReport(window int64, organisation string, shares []usage.Share) (FrozenReport, error) {
	number, _, ok := c.duty.Held(c.clock())
	if !ok {
		return FrozenReport{}, ErrNotHeld
	}
	figures, carriedOver := usage.Total(shares, window)
	report, err := json.Marshal(platform.UsageReport{
		Window:       time.Unix(window, 0).UTC(),
		Organisation: organisation,
		Figures:      figures,
		CarriedOver:  carriedOver,
		Fencing:      number,
	})
	return FrozenReport{Report: report, Shares: shares}, errors.Wrap(err, organisation)
}

// loadFrozenReports reads the frozen reports of the window, by organisation.
func (c *Closer) loadFrozenReports(ctx context.Context, window int64) (map[string]FrozenReport, error) {
	prefix := frozenPrefix(window)
	objects, err := c.store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	frozen := make(map[string]FrozenReport, len(objects))
	for _, object := range objects {
		report, err := decode[FrozenReport](object)
		if err != nil {
			return nil, err
		}
		frozen[strings.TrimPrefix(object.Name, prefix)] = report
	}
	return frozen, nil
}

// sendReports sends the frozen bytes of all organisations. They are read back from the platform, so that a
// retry after a lost response, by this or another closer, sends the same bytes.
//
// While the platform is slow, a lease term may be too short to send all reports. If each attempt started
// again with the reports that are already acknowledged, it would never reach the last organisations, so this
// closer skips them in its next attempt. This loses nothing, because an organisation has only one frozen
// report for a window.
func (c *Closer) sendReports(ctx context.Context, window int64, organisations []string) error {
	frozen, err := c.loadFrozenReports(ctx, window)
	if err != nil {
		return err
	}
	if c.acknowledged == nil || c.reportingWindow != window {
		c.reportingWindow, c.acknowledged = window, make(map[string]bool, len(organisations))
	}
	for _, organisation := range organisations {
		if c.acknowledged[organisation] {
			continue
		}
		report, ok := frozen[organisation]
		if !ok {
			return errors.Wrap(platform.ErrNotFound, frozenPrefix(window)+organisation)
		}
		err := c.writeIfHeld(ctx, func(ctx context.Context) error {
			return c.reports.Report(ctx, ReportName(window, organisation), report.Report)
		})
		if err != nil {
			return err
		}
		c.acknowledged[organisation] = true
		c.recordAcknowledgement()
	}
	return nil
}

func (c *Closer) recordAcknowledgement() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.Reports++
}

// ignoreConflict drops a conflict at the creation of an object: the object exists then, written by another
// closer or by an earlier write of this one whose response was lost.
func ignoreConflict(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

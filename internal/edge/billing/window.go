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

// errNoUsage: nothing was ever counted, so there is no first window.
var errNoUsage = errors.New("no usage yet")

// progress reads how far windows are closed, and settles the first window if none ever was.
//
// Two closers that start from counts of different age would begin with different windows, and the
// usage of the earlier one would be reported by one as such and by the other as late. The object is
// therefore created before the first window is closed, and one of the two creations wins.
func (c *Closer) progress(ctx context.Context) (platform.Object, Progress, error) {
	object, err := c.store.Get(ctx, ProgressName)
	if errors.Is(err, platform.ErrNotFound) {
		if err := c.begin(ctx); err != nil {
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

func (c *Closer) begin(ctx context.Context) error {
	used, err := c.used(ctx)
	if err != nil {
		return err
	}
	first, ok := used.First()
	if !ok {
		return errNoUsage
	}
	return ignoreConflict(c.put(ctx, ProgressName, Progress{Through: first - c.seconds()}, 0))
}

// used sums all counts that the platform has.
func (c *Closer) used(ctx context.Context) (usage.Sums, error) {
	objects, err := c.store.List(ctx, CountsPrefix)
	if err != nil {
		return nil, err
	}
	return sumObjects(objects)
}

// sumObjects sums the counts of the objects, window by window, so that the counts of one window are in memory at a
// time. A count may be in several objects of its window, but in none of another. The objects' values are dropped.
func sumObjects(objects []platform.Object) (usage.Sums, error) {
	slices.SortFunc(objects, func(a, b platform.Object) int {
		return strings.Compare(windowPart(a.Name), windowPart(b.Name))
	})
	sums := make(usage.Sums)
	for len(objects) > 0 {
		window := windowPart(objects[0].Name)
		after := slices.IndexFunc(objects, func(object platform.Object) bool { return windowPart(object.Name) != window })
		if after < 0 {
			after = len(objects)
		}
		if err := sumWindow(sums, window, objects[:after]); err != nil {
			return nil, err
		}
		objects = objects[after:]
	}
	return sums, nil
}

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
			return errors.Wrap(errCounts, object.Name)
		}
		if err := counts.each(tally.Merge); err != nil {
			return errors.Wrap(err, object.Name)
		}
		objects[i].Value = nil
	}
	for organisation, amount := range tally.Sums() {
		sums.Add(organisation, usage.Share{Window: window, Amount: amount})
	}
	return nil
}

// closeWindow freezes and reports the window; all windows before it are reported. Each step can be
// repeated by any closer and then finds what the first one wrote.
func (c *Closer) closeWindow(ctx context.Context, window int64) error {
	closing, err := c.list(ctx, window)
	if err != nil {
		return err
	}
	if err := c.freeze(ctx, window, closing.Organisations); err != nil {
		return err
	}
	if err := c.report(ctx, window, closing.Organisations); err != nil {
		return err
	}
	return c.clean(ctx, c.oldest(window))
}

// list returns the organisations of the window, and settles them first if nobody has.
func (c *Closer) list(ctx context.Context, window int64) (Closing, error) {
	object, err := c.store.Get(ctx, closingName(window))
	if errors.Is(err, platform.ErrNotFound) {
		if err := c.settleList(ctx, window); err != nil {
			return Closing{}, err
		}
		object, err = c.store.Get(ctx, closingName(window))
	}
	if err != nil {
		return Closing{}, err
	}
	return decode[Closing](object)
}

func (c *Closer) settleList(ctx context.Context, window int64) error {
	due, err := c.dueShares(ctx, window)
	if err != nil {
		return err
	}
	closing := Closing{Organisations: make([]string, 0, len(due))}
	for organisation := range due {
		closing.Organisations = append(closing.Organisations, organisation)
	}
	slices.Sort(closing.Organisations)
	return ignoreConflict(c.put(ctx, closingName(window), closing, 0))
}

// dueShares returns what is due for each organisation in the window. The reports of earlier windows
// were final when the progress was read, and counts only grow, so that the counts read now hold
// everything that those reports account for.
func (c *Closer) dueShares(ctx context.Context, window int64) (map[string][]usage.Share, error) {
	accounted, err := c.accounted(ctx, window)
	if err != nil {
		return nil, err
	}
	sums, err := c.used(ctx)
	if err != nil {
		return nil, err
	}
	due := make(map[string][]usage.Share)
	for organisation, used := range sums {
		shares := usage.Unreported(used, accounted[organisation], c.oldest(window), window)
		if len(shares) > 0 {
			due[organisation] = shares
		}
	}
	return due, nil
}

// accounted sums what the frozen reports of windows before the given one account for.
func (c *Closer) accounted(ctx context.Context, window int64) (usage.Sums, error) {
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
		frozen, err := decode[Frozen](object)
		if err != nil {
			return nil, err
		}
		for _, share := range frozen.Shares {
			sums.Add(organisation, share)
		}
	}
	return sums, nil
}

// freeze creates the reports that do not exist yet.
//
// Figures grow while a closer is at work, and two closers see different ones. Whoever creates the
// object first decides: the creation is conditional, and only the object's bytes are ever reported.
func (c *Closer) freeze(ctx context.Context, window int64, organisations []string) error {
	frozen, err := c.frozen(ctx, window)
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
	due, err := c.dueShares(ctx, window)
	if err != nil {
		return err
	}
	for _, organisation := range missing {
		report, err := c.frozenReport(window, organisation, due[organisation])
		if err != nil {
			return err
		}
		name := frozenPrefix(window) + organisation
		if err := ignoreConflict(c.put(ctx, name, report, 0)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Closer) frozenReport(window int64, organisation string, shares []usage.Share) (Frozen, error) {
	number, _, ok := c.duty.Held(c.clock())
	if !ok {
		return Frozen{}, ErrNotHeld
	}
	figures, carriedOver := usage.Total(shares, window)
	report, err := json.Marshal(platform.UsageReport{
		Window:       time.Unix(window, 0).UTC(),
		Organisation: organisation,
		Figures:      figures,
		CarriedOver:  carriedOver,
		Fencing:      number,
	})
	return Frozen{Report: report, Shares: shares}, errors.Wrap(err, organisation)
}

// frozen reads the window's reports by organisation.
func (c *Closer) frozen(ctx context.Context, window int64) (map[string]Frozen, error) {
	prefix := frozenPrefix(window)
	objects, err := c.store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	frozen := make(map[string]Frozen, len(objects))
	for _, object := range objects {
		one, err := decode[Frozen](object)
		if err != nil {
			return nil, err
		}
		frozen[strings.TrimPrefix(object.Name, prefix)] = one
	}
	return frozen, nil
}

// report sends the frozen bytes of all organisations. They are read back from the platform, so
// that a repeat after a lost answer, by this or another closer, carries the same bytes.
//
// While the platform is slow, a term may be too short for all reports. A closing that sends the acknowledged ones
// again never comes to the last organisations; so this closer goes on behind them at its next try. Nothing is
// lost by that: a frozen report is the only one that its organisation and window will ever have.
func (c *Closer) report(ctx context.Context, window int64, organisations []string) error {
	frozen, err := c.frozen(ctx, window)
	if err != nil {
		return err
	}
	if c.acknowledged == nil || c.reporting != window {
		c.reporting, c.acknowledged = window, make(map[string]bool, len(organisations))
	}
	for _, organisation := range organisations {
		if c.acknowledged[organisation] {
			continue
		}
		one, ok := frozen[organisation]
		if !ok {
			return errors.Wrap(platform.ErrNotFound, frozenPrefix(window)+organisation)
		}
		err := c.held(ctx, func(ctx context.Context) error {
			return c.reports.Report(ctx, ReportName(window, organisation), one.Report)
		})
		if err != nil {
			return err
		}
		c.acknowledged[organisation] = true
		c.noteReport()
	}
	return nil
}

func (c *Closer) noteReport() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.Reports++
}

// ignoreConflict: the object exists, written by another closer or by a lost write of this one.
func ignoreConflict(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

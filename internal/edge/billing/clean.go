package billing

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// deleteExpired deletes the objects of the given window and all earlier ones, which no closing reads any
// more. The retention is far longer than any write can be in flight, so no closer misses an object that it
// still needs.
func (c *Closer) deleteExpired(ctx context.Context, newest int64) error {
	expired, err := c.listExpired(ctx, CountsPrefix, newest)
	if err != nil {
		return err
	}
	if err := c.recordExpired(ctx, expired, newest); err != nil {
		return err
	}
	for _, prefix := range []string{ClosingPrefix, FrozenPrefix} {
		others, err := c.listExpired(ctx, prefix, newest)
		if err != nil {
			return err
		}
		expired = append(expired, others...)
	}
	for _, object := range expired {
		if err := c.deleteIfHeld(ctx, object); err != nil {
			return err
		}
	}
	return nil
}

// listExpired returns the objects under the prefix that belong to the given window or an earlier one.
func (c *Closer) listExpired(ctx context.Context, prefix string, newest int64) ([]platform.Object, error) {
	objects, err := c.store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var expired []platform.Object
	for _, object := range objects {
		if windowOfObject(object.Name) <= windowName(newest) {
			expired = append(expired, object)
		}
	}
	return expired, nil
}

// recordExpired logs and counts the usage that arrived too late for any report, so that its loss is visible.
func (c *Closer) recordExpired(ctx context.Context, counts []platform.Object, newest int64) error {
	if len(counts) == 0 {
		return nil
	}
	sums, err := sumCountsObjects(counts)
	if err != nil {
		return err
	}
	reported, err := c.reportedUsage(ctx, maxWindow)
	if err != nil {
		return err
	}
	for organisation, stored := range sums {
		unreported := usage.Unreported(stored, reported[organisation], minWindow, newest)
		amount, _ := usage.Total(unreported, minWindow)
		if amount.IsZero() {
			continue
		}
		c.mutex.Lock()
		c.state.Expired = c.state.Expired.Plus(amount)
		c.mutex.Unlock()
		c.log.Error().Str("organisation", organisation).Interface("amount", amount).
			Msg("usage arrived after the retention period and is not reported")
	}
	return nil
}

// windowOfObject returns the window in the name of an object.
func windowOfObject(name string) string {
	if rest, ok := strings.CutPrefix(name, CountsPrefix); ok {
		return rest[strings.LastIndex(rest, "/")+1:]
	}
	if rest, ok := strings.CutPrefix(name, FrozenPrefix); ok {
		window, _, _ := strings.Cut(rest, "/")
		return window
	}
	return strings.TrimPrefix(name, ClosingPrefix)
}

func (c *Closer) deleteIfHeld(ctx context.Context, object platform.Object) error {
	err := c.writeIfHeld(ctx, func(ctx context.Context) error {
		return c.store.Delete(ctx, object.Name, object.Version)
	})
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

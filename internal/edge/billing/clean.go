package billing

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// clean deletes what belongs to windows up to oldest, which no closing looks at any more. The
// retention is far longer than any write can be on its way, so that no closer finds an object
// absent that it is to find.
func (c *Closer) clean(ctx context.Context, oldest int64) error {
	old, err := c.listOld(ctx, CountsPrefix, oldest)
	if err != nil {
		return err
	}
	if err := c.noteExpired(ctx, old, oldest); err != nil {
		return err
	}
	for _, prefix := range []string{ClosingPrefix, FrozenPrefix} {
		more, err := c.listOld(ctx, prefix, oldest)
		if err != nil {
			return err
		}
		old = append(old, more...)
	}
	for _, object := range old {
		if err := c.remove(ctx, object); err != nil {
			return err
		}
	}
	return nil
}

// listOld returns the objects under the prefix whose window is oldest or before.
func (c *Closer) listOld(ctx context.Context, prefix string, oldest int64) ([]platform.Object, error) {
	objects, err := c.store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var old []platform.Object
	for _, object := range objects {
		if windowPart(object.Name) <= windowName(oldest) {
			old = append(old, object)
		}
	}
	return old, nil
}

// noteExpired logs and counts the usage that came too late for every report, so that it is not
// lost in silence.
func (c *Closer) noteExpired(ctx context.Context, counts []platform.Object, oldest int64) error {
	if len(counts) == 0 {
		return nil
	}
	sums, err := sumObjects(counts)
	if err != nil {
		return err
	}
	accounted, err := c.accounted(ctx, maxWindow)
	if err != nil {
		return err
	}
	for organisation, used := range sums {
		expired := usage.Unreported(used, accounted[organisation], minWindow, oldest)
		amount, _ := usage.Total(expired, minWindow)
		if amount.IsZero() {
			continue
		}
		c.mutex.Lock()
		c.state.Expired = c.state.Expired.Plus(amount)
		c.mutex.Unlock()
		c.log.Error().Str("organisation", organisation).Interface("amount", amount).
			Msg("usage arrived after the retention and is not reported")
	}
	return nil
}

// windowPart returns the window in an object's name.
func windowPart(name string) string {
	if rest, ok := strings.CutPrefix(name, CountsPrefix); ok {
		return rest[strings.LastIndex(rest, "/")+1:]
	}
	if rest, ok := strings.CutPrefix(name, FrozenPrefix); ok {
		window, _, _ := strings.Cut(rest, "/")
		return window
	}
	return strings.TrimPrefix(name, ClosingPrefix)
}

func (c *Closer) remove(ctx context.Context, object platform.Object) error {
	err := c.held(ctx, func(ctx context.Context) error {
		return c.store.Delete(ctx, object.Name, object.Version)
	})
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

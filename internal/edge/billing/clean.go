package billing

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// clean deletes what belongs to windows up to oldest, which no closing looks at any more. The
// retention is far longer than any write can be on its way, so that no closer finds an object
// absent that it is to find.
func (c *Closer) clean(ctx context.Context, oldest int64) error {
	for _, prefix := range []string{CountsPrefix, ClosingPrefix, FrozenPrefix} {
		objects, err := c.store.List(ctx, prefix)
		if err != nil {
			return err
		}
		for _, object := range objects {
			if windowPart(object.Name) > windowName(oldest) {
				continue
			}
			if err := c.remove(ctx, object); err != nil {
				return err
			}
		}
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

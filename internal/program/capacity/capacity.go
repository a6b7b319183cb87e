// Package capacity measures on one machine how the cost of the system's parts grows with their sizes, for docs/CAPACITY.md.
//
// Each slope drives real parts over loopback against the in-process stand-ins at several sizes and fits a
// line through each figure. All ends of a connection run in this process, so processor time and memory of
// a slope are those of both ends together, stand-ins included, unless its notes say otherwise: figures for
// one end that are taken from them are upper bounds.
package capacity

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// window is how long a running part is observed. Parts whose timers run every 2 or 3 seconds are observed for
	// two windows, a multiple of both, since all of them start at once and a part of a period would count whole.
	window = 3 * time.Second
	// settle is how long a part runs before it is observed, so that starting it isn't counted.
	settle = 1500 * time.Millisecond

	tableFile = "slopes.md"
	dirMode   = 0o755
	fileMode  = 0o644
)

// measurements are all slopes, in the order in which they are measured.
func measurements() []measurement {
	return []measurement{
		slope(connections{}),
		slope(followers{}),
		slope(keys{}),
		slope(organisations{}),
		slope(hostList{}),
		slope(listFollowers{}),
		slope(duties{}),
		slope(zone{}),
		slope(entryAtRest{}),
		slope(streams{}),
		slope(placements{}),
		slope(samples{}),
		slope(usageCells{}),
		slope(closings{}),
	}
}

// slope binds a slope of any size type to its measurement.
func slope[S Size](s Slope[S]) measurement {
	return measurement{
		name:    s.About().Name,
		measure: func(ctx context.Context) (Table, error) { return Measure(ctx, s) },
	}
}

// measurement is a slope whose type of size is hidden.
type measurement struct {
	name    string
	measure func(context.Context) (Table, error)
}

// Run measures all slopes, or only those named, and writes their table and plots into the directory.
// tell hears of each slope.
func Run(ctx context.Context, directory string, only []string, tell func(name string, took time.Duration)) error {
	if err := os.MkdirAll(directory, dirMode); err != nil {
		return errors.Wrap(err, "directory of the slopes")
	}
	tables := []Table{}
	for _, slope := range measurements() {
		if len(only) > 0 && !slices.Contains(only, slope.name) {
			continue
		}
		started := time.Now()
		table, err := slope.measure(ctx)
		if err != nil {
			return err
		}
		if err := plotTable(directory, table); err != nil {
			return err
		}
		tables = append(tables, table)
		tell(table.Name, time.Since(started))
	}
	path := filepath.Join(directory, tableFile)
	return errors.Wrap(os.WriteFile(path, []byte(Markdown(tables)), fileMode), path)
}

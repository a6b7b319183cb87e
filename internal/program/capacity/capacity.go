// Package capacity measures, on one machine, how the cost of the system's parts grows with their sizes. The results are
// the basis of docs/CAPACITY.md.
//
// Each experiment, which the command line and the report call a slope, runs real parts over loopback against in-process
// stand-ins of external services, at several sizes, and fits a line through each metric. Both ends of every connection run
// in this process, so processor time and memory include both ends and the stand-ins unless the notes of the experiment
// say otherwise. As costs of a single end, such values are upper bounds.
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
	// observationTime is how long a running part is observed. Parts with timers of 2 or 3 seconds are observed for twice
	// as long, a multiple of both periods: all timers start together, so a partial period would count as a whole one.
	observationTime = 3 * time.Second
	// settleTime is how long a part runs before it is observed, so that the cost of starting it isn't counted.
	settleTime = 1500 * time.Millisecond

	tableFile = "slopes.md"
	dirMode   = 0o755
	fileMode  = 0o644
)

// measurements returns all experiments in the order in which they run.
func measurements() []measurement {
	return []measurement{
		measurementOf(connectionExperiment{}),
		measurementOf(followerExperiment{}),
		measurementOf(keyExperiment{}),
		measurementOf(organisationExperiment{}),
		measurementOf(hostListExperiment{}),
		measurementOf(listFollowerExperiment{}),
		measurementOf(dutyExperiment{}),
		measurementOf(zoneExperiment{}),
		measurementOf(idleEntryExperiment{}),
		measurementOf(streamExperiment{}),
		measurementOf(placementExperiment{}),
		measurementOf(sampleExperiment{}),
		measurementOf(usageCellExperiment{}),
		measurementOf(closingExperiment{}),
	}
}

// measurementOf wraps an experiment of any size type.
func measurementOf[S Size](e Experiment[S]) measurement {
	return measurement{
		name:    e.Description().Name,
		measure: func(ctx context.Context) (Table, error) { return Measure(ctx, e) },
	}
}

// measurement is an experiment without its size type, so that all experiments fit into one list.
type measurement struct {
	name    string
	measure func(context.Context) (Table, error)
}

// Run runs all experiments, or only the named ones, and writes a table of the results and a plot of each experiment into
// the directory. It calls report with the name and the duration of each finished experiment.
func Run(ctx context.Context, directory string, only []string, report func(name string, elapsed time.Duration)) error {
	if err := os.MkdirAll(directory, dirMode); err != nil {
		return errors.Wrap(err, "create the output directory")
	}
	tables := []Table{}
	for _, m := range measurements() {
		if len(only) > 0 && !slices.Contains(only, m.name) {
			continue
		}
		started := time.Now()
		table, err := m.measure(ctx)
		if err != nil {
			return err
		}
		if err := plotTable(directory, table); err != nil {
			return err
		}
		tables = append(tables, table)
		report(table.Name, time.Since(started))
	}
	path := filepath.Join(directory, tableFile)
	return errors.Wrap(os.WriteFile(path, []byte(Markdown(tables)), fileMode), path)
}

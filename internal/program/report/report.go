// Package report shows from the entries' logs how the items of each batch job, a step of a trainer, ran: when, on which
// server, and which of them ended last. It needs no running process.
package report

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// tableName is the name of the text file in the output directory.
const tableName = "report.txt"

// Options select the steps and say where the report goes.
type Options struct {
	// Directory gets one plot per step and the table; it is created if missing.
	Directory string
	// Due is the time after the submission at which the results of a step are due.
	Due time.Duration
	// Step selects the steps with that number, if HasStep is set.
	Step    int
	HasStep bool
	// Request selects the batch job with that id; all if empty.
	Request string
}

// selects reports whether the job of a submission belongs in the report.
func (o Options) selects(line entryLine) bool {
	return (!o.HasStep || line.Step == o.Step) && (o.Request == "" || line.Request == o.Request)
}

// Write reads the log files and writes the plots and the table, the latter also to out. The files are read twice, so they
// can't be pipes.
func Write(options Options, paths []string, out io.Writer) error {
	c := newCollector(options)
	var total counts
	for pass, use := range []func(entryLine) error{c.addSubmission, c.addEvent} {
		for _, path := range paths {
			n, err := readFile(path, use)
			if err != nil {
				return err
			}
			if pass == 0 {
				total.read += n.read
				total.skipped += n.skipped
			}
		}
	}
	steps := c.sorted()
	if len(steps) == 0 {
		return errors.Errorf("none of %d lines is the submission of a selected batch job", total.read)
	}
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	var table strings.Builder
	for _, s := range steps {
		if err := plotStep(options, s); err != nil {
			return err
		}
		if err := s.writeTable(&table, options.Due.Seconds()); err != nil {
			return errors.Wrap(err, "table")
		}
	}
	_, _ = fmt.Fprintf(&table, "%d lines read, %d of other messages skipped, %d about jobs not selected or without a submission\n",
		total.read, total.skipped, c.strangers)
	if err := os.WriteFile(filepath.Join(options.Directory, tableName), []byte(table.String()), 0o644); err != nil {
		return errors.Wrap(err, "table")
	}
	_, err := io.WriteString(out, table.String())
	return errors.Wrap(err, "table")
}

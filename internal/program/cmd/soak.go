package cmd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/program/soak"
)

const (
	flagSeed        = "seed"
	flagFor         = "for"
	defaultSoakTime = 10 * time.Second
)

// errGuaranteeViolated is returned if the soak test found a violated guarantee.
var errGuaranteeViolated = errors.New("a guarantee was violated")

// soakCommand runs gateways as separate processes and injects faults.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:        "soak",
		Usage:       "run three gateways against a stand-in platform, inject faults, check the guarantees, and print a report",
		Description: "Exits 0 only if every guarantee held; otherwise the logs of the gateways are kept. Example:\n  oleandershelf soak --seed 7 --for 30s",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed `N` of the fault schedule; the same seed gives the same schedule, the default is random"},
			&cli.DurationFlag{Name: flagFor, Value: defaultSoakTime, Usage: "`DURATION` during which new faults are injected"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			seed := c.Uint64(flagSeed)
			if !c.IsSet(flagSeed) {
				seed = rand.Uint64()
			}
			return runSoak(ctx, c, soak.Plan{Seed: seed, Length: c.Duration(flagFor)})
		},
	}
}

// runSoak executes a plan and writes its report to standard output. It keeps the log folder if a guarantee was violated.
func runSoak(ctx context.Context, c *cli.Command, p soak.Plan) error {
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	folder, err := os.MkdirTemp("", "oleandershelf-soak")
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	printProgress := func(line string) { _, _ = fmt.Fprintln(c.Root().ErrWriter, line) }
	report, err := soak.Run(ctx, soak.Options{Plan: p, Program: executable, Folder: folder, OnDisturbance: printProgress})
	if err != nil {
		return err
	}
	if err := report.Write(c.Root().Writer); err != nil {
		return err
	}
	if report.HasViolations() {
		return errors.Wrapf(errGuaranteeViolated, "logs in %s", folder)
	}
	return errors.Wrap(os.RemoveAll(folder), "soak")
}

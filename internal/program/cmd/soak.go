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
	flagSeed    = "seed"
	flagFor     = "for"
	defaultSoak = 10 * time.Second
)

// errBroken is returned if the soak found a broken promise.
var errBroken = errors.New("a promise was broken")

// soakCommand runs gateways as processes of their own and disturbs them.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:        "soak",
		Usage:       "run three gateways before stand-ins of the platform, disturb them, check the promises, and print what came out",
		Description: "Exits 0 only if every promise held; else the logs of the gateways are kept. Example:\n  oleandershelf soak --seed 7 --for 30s",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagSeed, Usage: "the seed `N` gives the same disturbances each time; absent: another one each time"},
			&cli.DurationFlag{Name: flagFor, Value: defaultSoak, Usage: "`TIME` for which disturbances begin"},
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

// runSoak plays a plan and writes its page.
func runSoak(ctx context.Context, c *cli.Command, p soak.Plan) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	folder, err := os.MkdirTemp("", "oleandershelf-soak")
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	tell := func(line string) { _, _ = fmt.Fprintln(c.Root().ErrWriter, line) }
	report, err := soak.Run(ctx, soak.Options{Plan: p, Program: program, Folder: folder, Tell: tell})
	if err != nil {
		return err
	}
	if err := report.Write(c.Root().Writer); err != nil {
		return err
	}
	if report.Broken() {
		return errors.Wrapf(errBroken, "logs in %s", folder)
	}
	return errors.Wrap(os.RemoveAll(folder), "soak")
}

package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/program/capacity"
)

const (
	flagOut  = "out"
	flagOnly = "only"
)

// capacityCommand measures how each cost grows with its input size. docs/CAPACITY.md is computed from these slopes.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:            "capacity",
		Usage:           "measure how the cost of each component grows with its input size; writes a table and plots",
		Description:     "Takes about three minutes. Example:\n  oleandershelf capacity --out docs/capacity",
		Hidden:          true,
		HideHelpCommand: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagOut, Required: true, Usage: "`DIRECTORY` for the table and the plots"},
			&cli.StringSliceFlag{Name: flagOnly, Usage: "measure only the slope `NAME`; may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			printProgress := func(name string, elapsed time.Duration) {
				_, _ = fmt.Fprintf(c.Root().Writer, "%-16s %5.1fs\n", name, elapsed.Seconds())
			}
			return capacity.Run(ctx, c.String(flagOut), c.StringSlice(flagOnly), printProgress)
		},
	}
}

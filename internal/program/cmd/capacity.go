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

// capacityCommand measures the slopes from which docs/CAPACITY.md is worked out.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:            "capacity",
		Usage:           "measure how the cost of each part grows with its size, as a table and plots",
		Description:     "Takes about three minutes. Example:\n  oleandershelf capacity --out docs/capacity",
		Hidden:          true,
		HideHelpCommand: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagOut, Required: true, Usage: "`DIRECTORY` for the table and the plots"},
			&cli.StringSliceFlag{Name: flagOnly, Usage: "measure only the slope `NAME`; may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			tell := func(name string, took time.Duration) {
				_, _ = fmt.Fprintf(c.Root().Writer, "%-16s %5.1fs\n", name, took.Seconds())
			}
			return capacity.Run(ctx, c.String(flagOut), c.StringSlice(flagOnly), tell)
		},
	}
}

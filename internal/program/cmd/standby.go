package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/program/process"
)

func standbyCommand() *cli.Command {
	return &cli.Command{
		Name:        "standby",
		Usage:       "run an idle process, for hosts that must run one but have no work",
		Description: "It stores nothing, serves nothing and exits on SIGTERM.\n\nExample:\n  oleandershelf standby",
		Action: func(ctx context.Context, _ *cli.Command) error {
			process.Standby(ctx)
			return nil
		},
	}
}

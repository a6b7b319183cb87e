package cmd

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/program/process"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:        "gateway",
		Usage:       "run an entry that calls backend servers directly, without agents, on the users' platform",
		Description: "SIGTERM shuts it down gracefully; SIGHUP makes it reload its settings.\n\nExample:\n  oleandershelf gateway --settings gateway.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			// SIGHUP would terminate the process until RunGateway installs its reload handler.
			signal.Ignore(syscall.SIGHUP)
			path := c.String(flagSettings)
			set, err := settings.Load(path, settings.RoleGateway)
			if err != nil {
				return err
			}
			log, closeLog := newNonBlockingLog(c.Root().Writer, set)
			defer closeLog()
			return process.RunGateway(ctx, path, set, log)
		},
	}
}

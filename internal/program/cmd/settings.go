package cmd

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

const flagRole = "role"

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:            "settings",
		Usage:           "work with settings files",
		HideHelpCommand: true,
		Action:          unknownCommand,
		Commands:        []*cli.Command{settingsCheckCommand()},
	}
}

func settingsCheckCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings files and report each problem with file, line and field",
		ArgsUsage:   "FILE…",
		Description: "Example:\n  oleandershelf settings check --role entry examples/sahil/entry.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagRole, Value: string(settings.RoleEntry), Usage: "role to check the files for: entry, agent or gateway"},
		},
		Action: checkSettings,
	}
}

func checkSettings(_ context.Context, c *cli.Command) error {
	role := settings.Role(c.String(flagRole))
	if role != settings.RoleEntry && role != settings.RoleAgent && role != settings.RoleGateway {
		return errors.Wrapf(errUsage, "--role is %q; want entry, agent or gateway", role)
	}
	if !c.Args().Present() {
		return errors.Wrap(errUsage, "want at least one settings file")
	}
	for _, path := range c.Args().Slice() {
		if _, err := settings.Load(path, role); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%s: ok\n", path); err != nil {
			return err
		}
	}
	return nil
}

package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/program/process"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

const flagSettings = "settings"

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: flagSettings, Aliases: []string{"s"}, Required: true, Usage: "settings `FILE`, JSON with comments"}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run an entry: HTTP for callers, trainers and operators",
		Description: "SIGTERM or SIGINT shuts it down gracefully: requests in progress are completed.\n\nExample:\n  oleandershelf entry --settings examples/sahil/entry.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			set, err := settings.Load(c.String(flagSettings), settings.RoleEntry)
			if err != nil {
				return err
			}
			return process.RunEntry(ctx, set, newLog(c.Root().ErrWriter, set))
		},
	}
}

package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/program/process"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "run the agent of one backend server",
		Description: "SIGTERM or SIGINT shuts it down gracefully: requests in progress are completed.\n\nExample:\n  oleandershelf agent --settings examples/sahil/agent.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			set, err := settings.Load(c.String(flagSettings), settings.RoleAgent)
			if err != nil {
				return err
			}
			return process.RunAgent(ctx, set, newLog(c.Root().ErrWriter, set))
		},
	}
}

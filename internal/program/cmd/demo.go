package cmd

import (
	"context"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/program/demo"
)

const flagVerbose = "verbose"

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run gateways against a stand-in platform in one process, exercise both example deployments, and print a transcript",
		Description: "Exits 0 only if every guarantee held.\n\nExample:\n  oleandershelf demo",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: flagVerbose, Usage: "show the logs of all processes"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			log := zerolog.Nop()
			if c.Bool(flagVerbose) {
				log = zerolog.New(c.Root().ErrWriter).With().Timestamp().Logger()
			}
			return demo.Run(ctx, c.Root().Writer, log)
		},
	}
}

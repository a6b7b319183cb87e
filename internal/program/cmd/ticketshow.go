package cmd

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

func ticketShowCommand() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "print what an entry knows about a ticket, as JSON",
		ArgsUsage:   "NUMBER",
		Description: "Example:\n  oleandershelf ticket show --entry http://127.0.0.1:8080 1",
		Flags:       entryFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			number, err := numberArgument(c)
			if err != nil {
				return err
			}
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			body, err := client.ticket(ctx, http.MethodGet, number, nil)
			if err != nil {
				return err
			}
			return printRaw(c.Root().Writer, body)
		},
	}
}

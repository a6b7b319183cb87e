package cmd

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

func ticketShowCommand() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "print a ticket and its state, as an entry reports them, in JSON",
		ArgsUsage:   "NUMBER",
		Description: "Example:\n  oleandershelf ticket show --entry http://127.0.0.1:8080 1",
		Flags:       entryFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			number, err := ticketNumberArgument(c)
			if err != nil {
				return err
			}
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			body, err := client.requestTicket(ctx, http.MethodGet, number, nil)
			if err != nil {
				return err
			}
			return printLine(c.Root().Writer, body)
		},
	}
}

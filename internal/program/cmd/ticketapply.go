package cmd

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

func ticketApplyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "apply a ticket; applying the same number and content again is harmless",
		ArgsUsage:   "FILE",
		Description: "FILE is JSON with comments. It is checked before anything is sent.\n\nExample:\n  oleandershelf ticket apply --number 1 examples/sahil/ticket-1.json",
		Flags:       append(entryFlags(), &cli.IntFlag{Name: flagNumber, Required: true, Usage: "`NUMBER` of the ticket, one more than the last ticket's"}),
		Action:      applyTicket,
	}
}

func applyTicket(ctx context.Context, c *cli.Command) error {
	path, err := oneArgument(c, "a ticket file")
	if err != nil {
		return err
	}
	body, err := readTicket(path)
	if err != nil {
		return err
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	number := c.Int(flagNumber)
	if number < 1 {
		return errors.Wrapf(errUsage, "--number is %d; want 1 or more", number)
	}
	if _, err := client.requestTicket(ctx, http.MethodPost, number, body); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "ticket %d accepted\n", number)
	return err
}

// readTicket reads and validates a ticket file and returns it as JSON without comments.
func readTicket(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrapf(errUsage, "%s: %v", path, err)
	}
	if _, err := ticket.Parse(plain); err != nil {
		return nil, errors.Wrapf(errUsage, "%s: %v", path, err)
	}
	return plain, nil
}

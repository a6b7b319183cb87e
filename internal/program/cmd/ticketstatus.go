package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	flagWait           = "wait"
	statusPollInterval = 200 * time.Millisecond
)

func ticketStatusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "print whether a ticket is accepted and the percentage of hosts on which it is in force",
		ArgsUsage:   "NUMBER",
		Description: "Example:\n  oleandershelf ticket status --wait 10s 1",
		Flags: append(entryFlags(),
			&cli.DurationFlag{Name: flagWait, Usage: "wait up to `DURATION` until the ticket is in force on all hosts"}),
		Action: showStatus,
	}
}

// showStatus prints the status of a ticket once it is in force on all hosts or the wait time is over.
func showStatus(ctx context.Context, c *cli.Command) error {
	number, err := ticketNumberArgument(c)
	if err != nil {
		return err
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Duration(flagWait))
	for {
		status, err := client.status(ctx, number)
		if err != nil {
			return err
		}
		if status.Share >= 1 || !time.Now().Before(deadline) {
			return printStatus(c, status)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(statusPollInterval):
		}
	}
}

func (o operatorClient) status(ctx context.Context, number int) (ticketStatus, error) {
	body, err := o.requestTicket(ctx, http.MethodGet, number, nil)
	if err != nil {
		return ticketStatus{}, err
	}
	var status ticketStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return ticketStatus{}, errors.Wrapf(err, "ticket %d: decode the entry's response", number)
	}
	return status, nil
}

func printStatus(c *cli.Command, status ticketStatus) error {
	accepted := "not accepted"
	if status.Accepted {
		accepted = "accepted"
	}
	_, err := fmt.Fprintf(c.Root().Writer, "ticket %d: %s, in force on %.0f%% of hosts\n", status.Number, accepted, status.Share*100)
	return err
}

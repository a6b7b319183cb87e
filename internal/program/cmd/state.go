package cmd

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

const stateTimeout = 10 * time.Second

func stateCommand() *cli.Command {
	return &cli.Command{
		Name:        "state",
		Usage:       "print the state of a running process, as JSON",
		ArgsUsage:   "URL",
		Description: "URL is the address that adminListen sets for the process.\n\nExample:\n  oleandershelf state http://127.0.0.1:8082",
		Action: func(_ context.Context, c *cli.Command) error {
			url, err := oneArgument(c, "the URL of a process's adminListen")
			if err != nil {
				return err
			}
			status, body, err := fasthttp.GetTimeout(nil, url+"/debug/state", stateTimeout)
			if err != nil {
				return errors.Wrapf(err, "%s", url)
			}
			if status != http.StatusOK {
				return errors.Errorf("%s responded with status %d: %s", url, status, body)
			}
			return printLine(c.Root().Writer, body)
		},
	}
}

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
		Action: func(ctx context.Context, c *cli.Command) error {
			url, err := oneArgument(c, "the URL of a process's adminListen")
			if err != nil {
				return err
			}
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(request)
			defer fasthttp.ReleaseResponse(response)
			request.SetRequestURI(url + "/debug/state")
			if err := send(ctx, stateTimeout, request, response); err != nil {
				return errors.Wrapf(err, "%s", url)
			}
			if status := response.StatusCode(); status != http.StatusOK {
				return errors.Errorf("%s responded with status %d: %s", url, status, response.Body())
			}
			return printLine(c.Root().Writer, response.Body())
		},
	}
}

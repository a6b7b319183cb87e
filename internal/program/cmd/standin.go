package cmd

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
	"github.com/oleandershelf/oleandershelf/internal/standin/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/scorer"
	"github.com/oleandershelf/oleandershelf/internal/standin/service"
	"github.com/oleandershelf/oleandershelf/internal/standin/weightstore"
)

const (
	flagListen      = "listen"
	flagHosts       = "hosts"
	flagStartup     = "startup"
	flagWeightStore = "weight-store"
	flagTokenTime   = "token-time"
	flagSlots       = "slots"
	// queuePerSlot is how many requests an engine queues for each slot.
	queuePerSlot = 4
)

// standinCommand runs stand-ins for external systems, for tests on one machine.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name:            "standin",
		Usage:           "run a stand-in for an external system: platform, engine, service, scorer or weightstore",
		Description:     "Example:\n  oleandershelf standin platform --listen 127.0.0.1:9000",
		Hidden:          true,
		HideHelpCommand: true,
		Action:          unknownCommand,
		Commands: []*cli.Command{
			standin("platform", startPlatform,
				&cli.StringFlag{Name: flagHosts, Usage: "JSON `FILE` that lists the hosts on which servers can be started"},
				&cli.DurationFlag{Name: flagStartup, Usage: "startup time of an ordered server"}),
			standin("engine", startEngine,
				&cli.StringFlag{Name: flagWeightStore, Usage: "`URL` of the weight store"},
				&cli.DurationFlag{Name: flagTokenTime, Value: engine.DefaultTokenTime, Usage: "time to generate one token"},
				&cli.IntFlag{Name: flagSlots, Value: engine.DefaultSlots, Usage: "maximum number of concurrent requests"}),
			standin("service", func(ctx context.Context, l net.Listener, _ *cli.Command) error {
				_, err := service.New(ctx, l)
				return err
			}),
			standin("scorer", func(ctx context.Context, l net.Listener, _ *cli.Command) error {
				_, err := scorer.New(ctx, l)
				return err
			}),
			standin("weightstore", func(ctx context.Context, l net.Listener, _ *cli.Command) error {
				_, err := weightstore.New(ctx, l)
				return err
			}),
		},
	}
}

// standin builds the command of one stand-in, which runs until ctx ends.
func standin(name string, start func(context.Context, net.Listener, *cli.Command) error, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: "run the stand-in " + name,
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: flagListen, Required: true, Usage: "loopback `ADDRESS` with port"},
		}, flags...),
		Action: func(ctx context.Context, c *cli.Command) error {
			address, err := netip.ParseAddrPort(c.String(flagListen))
			if err != nil || !address.Addr().IsLoopback() {
				return errors.Wrapf(errUsage, "--listen is %q; want a loopback address with port", c.String(flagListen))
			}
			var config net.ListenConfig
			listener, err := config.Listen(ctx, "tcp", address.String())
			if err != nil {
				return errors.Wrap(err, name)
			}
			if err := start(ctx, listener, c); err != nil {
				return errors.Wrap(err, name)
			}
			<-ctx.Done()
			return nil
		},
	}
}

func startPlatform(ctx context.Context, l net.Listener, c *cli.Command) error {
	hosts, err := readHosts(c.String(flagHosts))
	if err != nil {
		return err
	}
	_, err = platform.New(ctx, l, platform.WithHosts(hosts),
		platform.WithFaults(platform.Faults{StartupMilliseconds: int(c.Duration(flagStartup) / time.Millisecond)}))
	return err
}

func readHosts(path string) ([]edge.Host, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	var hosts []edge.Host
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, errors.Wrapf(errUsage, "%s: %v", path, err)
	}
	return hosts, nil
}

func startEngine(ctx context.Context, l net.Listener, c *cli.Command) error {
	options := []engine.Option{
		engine.WithTokenTime(c.Duration(flagTokenTime), engine.DefaultBatchGrowth),
		engine.WithSlots(c.Int(flagSlots), queuePerSlot*c.Int(flagSlots)),
	}
	if url := c.String(flagWeightStore); url != "" {
		options = append(options, engine.WithWeightStore(url))
	}
	_, err := engine.New(ctx, l, options...)
	return err
}

// Package cmd implements the oleandershelf command line, with one file per subcommand.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// Exit codes of the command line.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailure: the command failed for any other reason; standard error says why.
	ExitFailure = 1
	// ExitUsage: the command line, a settings file or a ticket file is invalid; nothing was done.
	ExitUsage = 2
	// ExitNotRun: the request was refused and had no effect.
	ExitNotRun = 3
	// ExitMayHaveRun: it is unknown whether the request had an effect.
	ExitMayHaveRun = 4
)

// errUsage marks errors in the command line or in files that it names.
var errUsage = errors.New("usage")

// Run executes the command line and returns the exit code. SIGINT and SIGTERM cancel the command.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot(out, errOut)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(errOut, "oleandershelf: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	if errors.Is(err, errUsage) || errors.Is(err, settings.ErrInvalid) {
		return ExitUsage
	}
	refusal, ok := verdict.As(err)
	if !ok {
		return ExitFailure
	}
	if refusal.Verdict == verdict.NotRun {
		return ExitNotRun
	}
	return ExitMayHaveRun
}

func newRoot(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:            "oleandershelf",
		Usage:           "run a rollout service for reinforcement learning: entries, agents, gateways and operators' tools",
		HideVersion:     true,
		HideHelpCommand: true,
		Writer:          out,
		ErrWriter:       errOut,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errors.Wrap(errUsage, err.Error())
		},
		Action: unknownCommand,
		Commands: []*cli.Command{
			entryCommand(),
			agentCommand(),
			gatewayCommand(),
			standbyCommand(),
			ticketCommand(),
			stateCommand(),
			settingsCommand(),
			demoCommand(),
			reportCommand(),
			soakCommand(),
			standinCommand(),
			capacityCommand(),
			versionCommand(),
		},
	}
}

// unknownCommand prints the help of a command group called without a subcommand, and returns a usage error for an unknown one.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return cli.ShowSubcommandHelp(c)
	}
	return errors.Wrapf(errUsage, "unknown command %q; see %s --help", c.Args().First(), c.FullName())
}

// oneArgument returns the single argument of a command, or a usage error that describes it as what.
func oneArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.Wrapf(errUsage, "want one argument, %s; have %d", what, c.Args().Len())
	}
	return c.Args().First(), nil
}

package cmd

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/oleandershelf/oleandershelf/internal/program/report"
)

const (
	flagStep    = "step"
	flagRequest = "request"
	flagDue     = "due"
)

// defaultDue is the time after which the results of a step are due at the trainers of the hard load.
const defaultDue = 7500 * time.Millisecond

// reportCommand shows from entries' logs how the items of each batch job ran.
func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "show from entries' logs when and where the items of each step ran; writes plots and a table",
		ArgsUsage: "LOGFILE...",
		Description: "The log files hold lines of any number of entries, also behind a prefix of a time in seconds and a host name.\n" +
			"At log level info, items that were completed aren't logged. Example:\n  oleandershelf report --out late --step 7 front-*.log",
		HideHelpCommand: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagOut, Required: true, Usage: "`DIRECTORY` for the plots and the table"},
			&cli.IntFlag{Name: flagStep, Usage: "only steps with this `NUMBER`"},
			&cli.StringFlag{Name: flagRequest, Usage: "only the batch job with this `ID`"},
			&cli.DurationFlag{Name: flagDue, Value: defaultDue, Usage: "`TIME` after the submission at which results are due"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return errors.Wrap(errUsage, "want at least one log file")
			}
			return report.Write(report.Options{
				Directory: c.String(flagOut), Due: c.Duration(flagDue),
				Step: c.Int(flagStep), HasStep: c.IsSet(flagStep), Request: c.String(flagRequest),
			}, c.Args().Slice(), c.Root().Writer)
		},
	}
}

package cmd

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Version is the version of the program; release builds set it through the linker.
var Version = "development"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version and the Go release that built it",
		Description: "Example:\n  oleandershelf version",
		Action: func(_ context.Context, c *cli.Command) error {
			goVersion := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			_, err := fmt.Fprintf(c.Root().Writer, "oleandershelf %s (%s)\n", Version, goVersion)
			return err
		},
	}
}

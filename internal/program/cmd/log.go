package cmd

import (
	"io"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// newLog returns the structured log of a process: one JSON object a line.
func newLog(out io.Writer, set settings.Settings) zerolog.Logger {
	return zerolog.New(out).Level(set.LogLevel).With().Timestamp().Str("hostId", set.HostID).Logger()
}

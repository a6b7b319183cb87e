package cmd

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

const (
	// logBufferLines is the capacity of the log buffer; a line takes a few hundred bytes. If the log's reader falls behind,
	// the oldest lines are dropped and counted, so that logging never blocks a request.
	logBufferLines = 2000
	// logPollInterval is how often the buffer is checked for lines to write.
	logPollInterval = 20 * time.Millisecond
)

// newLog returns the structured log of a process, with one JSON object per line.
func newLog(out io.Writer, set settings.Settings) zerolog.Logger {
	return zerolog.New(out).Level(set.LogLevel).With().Timestamp().Str("hostId", set.HostID).Logger()
}

// newNonBlockingLog returns a log that drops lines rather than block its writers, and a function that flushes and closes it.
func newNonBlockingLog(out io.Writer, set settings.Settings) (log zerolog.Logger, closeLog func()) {
	var dropLog zerolog.Logger
	writer := diode.NewWriter(out, logBufferLines, logPollInterval, func(missed int) {
		dropLog.Warn().Int("lines", missed).Msg("log lines dropped")
	})
	dropLog = newLog(out, set)
	return newLog(writer, set), func() {
		// The process is exiting, so the error can no longer be logged.
		_ = writer.Close()
	}
}

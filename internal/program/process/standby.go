package process

import (
	"context"
	"os/signal"
	"syscall"
)

// Standby does nothing until ctx ends. It ignores SIGHUP, because it has no settings to reload.
func Standby(ctx context.Context) {
	signal.Ignore(syscall.SIGHUP)
	<-ctx.Done()
}

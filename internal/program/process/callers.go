package process

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/oleandershelf/oleandershelf/internal/core/buffering"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

const (
	bytesPerMB = 1_000_000
	// heapShare is the share of a process's memory above which the runtime collects garbage more often.
	heapShare = 0.75
)

// callerAccount returns the account of what callers may make a process with these settings hold.
func callerAccount(set settings.Settings, registry prometheus.Registerer, log zerolog.Logger) *callerconn.Account {
	limits := callerconn.Limits(set.MemoryMB*bytesPerMB, descriptorLimit(set), set.BodyLimitBytes)
	return callerconn.NewAccount("callers", limits, registry, log)
}

// adminLimits bound what connections to the operator's interface may hold.
var adminLimits = buffering.CallerLimits{Connections: 64, Memory: 8 << 20, Reserve: 1 << 20, Protected: 1 << 20}

// listenAdmin opens the listener of the operator's interface.
func listenAdmin(ctx context.Context, set settings.Settings, registry prometheus.Registerer, log zerolog.Logger) (net.Listener, error) {
	l, err := listen(ctx, "adminListen", set.AdminListen)
	if err != nil {
		return nil, err
	}
	return callerconn.NewListener(l, callerconn.NewAccount("admin", adminLimits, registry, log), log), nil
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit(set settings.Settings) int {
	limit := settings.MaxDescriptors
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil && system.Cur < uint64(limit) {
		limit = int(system.Cur) //nolint:gosec // it is below MaxDescriptors
	}
	if set.MaxDescriptors > 0 {
		limit = min(limit, set.MaxDescriptors)
	}
	return limit
}

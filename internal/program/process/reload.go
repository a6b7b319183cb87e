package process

import (
	"context"
	"hash/fnv"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// settingsPollInterval is how often the settings file is checked for changes that no signal announced.
const settingsPollInterval = 5 * time.Second

// watchSettings reloads the settings after a SIGHUP and when the file has changed. If the new settings are invalid, the
// previous ones stay in force.
func watchSettings(ctx context.Context, path string, role settings.Role, log zerolog.Logger, apply func(settings.Settings)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	appliedHash := fingerprint(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		currentHash := fingerprint(path)
		if currentHash == appliedHash && !signalled {
			continue
		}
		set, err := settings.Load(path, role)
		if err != nil {
			log.Error().Err(err).Bool("signalled", signalled).Msg("cannot load the settings, keeping the previous ones")
			continue
		}
		appliedHash = currentHash
		apply(set)
		log.Info().Bool("signalled", signalled).Msg("settings reloaded")
	}
}

// fingerprint returns a hash of the file's content, or 0 if the file can't be read. The difference is noticed at the next
// check.
func fingerprint(path string) uint64 {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	sum := fnv.New64a()
	_, _ = sum.Write(content)
	return sum.Sum64()
}

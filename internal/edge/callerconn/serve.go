package callerconn

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// Serve serves app on l, on goroutines of work, until ctx ends. Connections that are still open then have grace to end.
func Serve(ctx context.Context, work *conc.WaitGroup, app *fiber.App, l net.Listener, grace time.Duration, log zerolog.Logger) {
	work.Go(func() {
		if err := app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			log.Error().Err(err).Msg("caller listener ended")
		}
	})
	work.Go(func() {
		<-ctx.Done()
		_ = app.ShutdownWithTimeout(grace)
		// Guard: a shutdown that comes before the server accepts connections does nothing, and the process would
		// never end; without its listener the server ends when it begins.
		_ = l.Close()
	})
}

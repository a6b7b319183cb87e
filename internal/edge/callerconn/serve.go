package callerconn

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// Serve starts goroutines of wg that serve app on l until ctx ends, and then wait up to shutdownTimeout for connections that are still
// open.
func Serve(ctx context.Context, wg *conc.WaitGroup, app *fiber.App, l net.Listener, shutdownTimeout time.Duration, log zerolog.Logger) {
	wg.Go(func() {
		if err := app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			log.Error().Err(err).Msg("caller listener ended")
		}
	})
	wg.Go(func() {
		<-ctx.Done()
		_ = app.ShutdownWithTimeout(shutdownTimeout)
		// A shutdown has no effect before the server accepts connections, and the process would never end. With its
		// listener closed, the server ends as soon as it begins.
		_ = l.Close()
	})
}

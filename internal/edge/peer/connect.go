package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// connectResult is the result of one attempt to open a TCP connection.
type connectResult struct {
	conn net.Conn
	err  error
}

// connect opens a TCP connection.
func connect(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialRepeatedly(ctx, func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", to.String()) })
}

// dialRepeatedly returns the first connection that an attempt opens. While none has succeeded it starts further attempts beside the
// earlier ones, up to maxConnectAttempts in total, and doubles the pause before each.
//
// Guards against the kernel's SYN retransmission delay of a second when the first packet to a booting host is lost. The limit on
// attempts prevents a busy loop: after the deadline of ctx has passed but before ctx is done, each dial times out immediately.
func dialRepeatedly(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	results := make(chan connectResult, maxConnectAttempts)
	var attempts conc.WaitGroup
	defer func() {
		cancel()
		attempts.Wait()
		close(results)
		closeAll(results)
	}()
	pause := connectTimeout
	timer := time.NewTimer(0)
	defer timer.Stop()
	for started, running := 0, 0; ; {
		select {
		case <-timer.C:
			if started == maxConnectAttempts {
				continue
			}
			attempts.Go(func() {
				conn, err := dial(attemptCtx)
				results <- connectResult{conn, err}
			})
			started++
			running++
			timer.Reset(pause)
			pause *= 2
		case r := <-results:
			running--
			switch {
			case r.err == nil:
				return r.conn, nil
			case ctx.Err() != nil || !isTimeout(r.err) || started == maxConnectAttempts && running == 0:
				return nil, r.err
			case running == 0:
				timer.Reset(0)
			}
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// closeAll closes the connections that are not used.
func closeAll(results <-chan connectResult) {
	for unused := range results {
		if unused.conn != nil {
			_ = unused.conn.Close()
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

package exchange

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// closeDelay is how long a new connection must stay open to show that a process serves it: one that is ending may accept connections for a
// moment.
const closeDelay = 10 * time.Millisecond

// ErrEnded is returned by Probe if no process serves the address.
var ErrEnded = errors.New("server ended")

// Probe opens a plain connection to the address and keeps it for later calls. It returns ErrEnded if the connection is refused or closed at
// once, and another error if that can't be told, as behind a network that is cut.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort) error {
	conn, err := c.dial(ctx, "http://"+address.String(), address.String(), false)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return errors.Wrapf(ErrEnded, "%s: %v", address, err)
	case err != nil:
		return err
	}
	conn.idleSince = time.Now()
	if !ticker.Sleep(ctx, closeDelay) {
		conn.close()
		return errors.Wrap(ctx.Err(), address.String())
	}
	if !conn.usable(c.idleTimeout) {
		conn.close()
		return errors.Wrapf(ErrEnded, "%s closed a new connection", address)
	}
	c.release(conn)
	return nil
}

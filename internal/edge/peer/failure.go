package peer

import (
	"net/netip"
	"time"
)

// failureRetention is how long a failed dial stays in the debug state if the address, such as that of a replaced host, is not
// dialled again.
const failureRetention = 10 * time.Minute

// dialFailure is the error of the last dial of an address.
type dialFailure struct {
	message string
	at      time.Time
}

// recordDial records a failed dial, and removes the recorded failure of the address after a successful one.
func (c *Client) recordDial(to netip.AddrPort, err error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.dialFailures, to)
		return
	}
	for address, failure := range c.dialFailures {
		if now.Sub(failure.at) > failureRetention {
			delete(c.dialFailures, address)
		}
	}
	c.dialFailures[to] = dialFailure{message: err.Error(), at: now}
}

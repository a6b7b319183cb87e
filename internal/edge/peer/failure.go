package peer

import (
	"net/netip"
	"time"
)

// failureTime is how long a failed dial stays in the dump if the address is not dialled again, as with a host that was
// replaced.
const failureTime = 10 * time.Minute

// failure is why the last dial of an address failed.
type failure struct {
	text string
	at   time.Time
}

// remember keeps the outcome of a dial; a failure is forgotten once a dial of its address succeeds.
func (c *Client) remember(to netip.AddrPort, err error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.failed, to)
		return
	}
	for address, old := range c.failed {
		if now.Sub(old.at) > failureTime {
			delete(c.failed, address)
		}
	}
	c.failed[to] = failure{text: err.Error(), at: now}
}

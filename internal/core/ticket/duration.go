// Package ticket holds the configuration that operators change with numbered tickets: its parts, the
// numbering of tickets, and the immutable view that each request reads.
//
// Load pattern: competing operators submit a few tickets a minute, and thousands of hosts read the
// configuration at each request, through network partitions and outages of the platform. The platform stores
// the configuration. Relays are hosts that read it there and forward it to the other hosts.
//
// Head.NumberStatus decides whether a ticket may be accepted under its number. Without it two operators could
// both get the answer that their ticket was accepted under the same number. Freshness decides whether a host may serve
// requests from its view. Without it a partitioned host would accept a withdrawn key for as long as the
// partition lasts, or an outage of the platform would stop all traffic. The constants document the reasons for
// their values.
package ticket

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration written as a string such as "90s" in tickets.
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "90s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("a duration is a string such as \"90s\", not %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrapf(err, "duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}

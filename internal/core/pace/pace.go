package pace

import (
	"cmp"
	"time"
)

// Key identifies one run of a server. A server that restarts under its old ID is a different one, of which nothing is known.
type Key struct {
	ID string
	// Started is the Unix time of the start in milliseconds.
	Started int64
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.ID, other.ID), cmp.Compare(k.Started, other.Started))
}

// Server is a server whose speed is estimated.
type Server struct {
	Key  Key
	Pool string
	// Slots is how many requests the server runs at once.
	Slots int
}

// Estimate is what is known of a server's speed.
type Estimate struct {
	// Interval is the expected time between two events of a stream at the server with the given number of running requests, including
	// average interference but not Present. It is never 0: in a pool without observations it is a default.
	Interval time.Duration
	// Lasting is the time that work takes at the server divided by that of the pool's median server, at the same number of running requests;
	// 1 if unknown.
	Lasting float64
	// Present is how many times as long as usual for this server work takes at the moment; at least 1.
	Present float64
	// Samples is the number of observations behind Lasting; 0 if unknown.
	Samples int
	// Age is the time since the last of them.
	Age time.Duration
	// Deviation is the relative uncertainty of Lasting; 1 if unknown.
	Deviation float64
}

// Unknown returns the estimate for a server in a pool of which nothing is known.
func Unknown() Estimate {
	return Estimate{Interval: defaultInterval, Lasting: 1, Present: 1, Deviation: 1}
}

// Summary is what entries tell each other about a server's speed.
type Summary struct {
	ID string `msgpack:"i"`
	// Started is the Unix time of the server's start in milliseconds.
	Started int64   `msgpack:"b"`
	Lasting float32 `msgpack:"l"`
	Samples uint8   `msgpack:"n"`
	// AgeMillis is the time in milliseconds since the last observation.
	AgeMillis uint32 `msgpack:"a"`
}

// Key returns the identity of the server's run.
func (s Summary) Key() Key { return Key{ID: s.ID, Started: s.Started} }

// Package gossip lets the entries of a deployment know of each other: who lives, what each runs, and which of them has
// newer state from the store. It agrees on nothing; what must be agreed goes through the store.
package gossip

import (
	"net/netip"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// Methods between entries.
const (
	MethodBeat peer.Method = "gossip.beat"
)

// Member is one run of an entry.
type Member struct {
	HostID           string         `msgpack:"h" json:"hostId"`
	Address          netip.AddrPort `msgpack:"a" json:"address"`
	AvailabilityZone string         `msgpack:"z" json:"availabilityZone"`
	// Cores is the processor time that the entry has, as part of a core; 0 if its settings don't say.
	Cores float64 `msgpack:"c" json:"cores,omitempty"`
	// Incarnation is random for each start of the process.
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	// Leaving entries take no new work.
	Leaving bool `msgpack:"l" json:"leaving,omitempty"`
}

// Beat is what entries tell each other several times a second.
type Beat struct {
	From Member `msgpack:"f"`
	// Revisions are the revisions of the parts of the store's state that the entry has, by kind.
	Revisions map[string]uint64 `msgpack:"v"`
	// Running is the number of requests that the entry runs at each backend server.
	Running map[string]int `msgpack:"r"`
	// Counts are the entry's own counts of usage in windows that are not reported yet.
	Counts []usage.Count `msgpack:"u"`
	// Jobs are the batch jobs that the entry runs.
	Jobs []string `msgpack:"j"`
	// Kept are batch jobs that the entry ran and of which it still has the results.
	Kept []string `msgpack:"k"`
	// Ended are batch jobs that ended lately.
	Ended []string `msgpack:"e"`
	// Contacts is how long ago each entry was last known to reach the store, in milliseconds.
	Contacts map[string]int64 `msgpack:"w"`
	// Owners are the entries that run batch jobs, by job, as far as the entry heard of others.
	Owners map[string]string `msgpack:"o"`
	// Silent are entries that the entry doesn't hear of any more.
	Silent []Member `msgpack:"s"`
	// Lease is the version of the lease object that the entry's last renewal made, if it holds the duties; 0 otherwise.
	Lease uint64 `msgpack:"l"`
	// Members are the other members that the entry hears of, so that new ones are met through any other.
	Members []Member `msgpack:"m"`
}

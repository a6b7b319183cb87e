// Package gossip lets the entries of a deployment know of each other: who lives, what each runs, and which of them has
// newer state from the store. It agrees on nothing; what must be agreed goes through the store. Whom an entry calls and whom it
// takes for alive is decided in core/roster.
package gossip

import (
	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// Methods between entries.
const (
	MethodBeat peer.Method = "gossip.beat"
)

// Member is one run of an entry.
type Member = roster.Member

// Beat is what entries tell each other several times a second. What doesn't change takes no room in it: at 380 entries a beat of some
// hundred bytes leaves an entry below the 15 KB/s that control may take.
type Beat struct {
	From Member `msgpack:"f"`
	// Digest is that of the list of entries that the entry has, News what changed of it lately, and List all of it for one whose list
	// differs.
	Digest uint64          `msgpack:"d"`
	News   []roster.Update `msgpack:"n"`
	List   []roster.Update `msgpack:"m"`
	// Revisions are the revisions of the parts of the store's state that the entry has, by kind.
	Revisions map[string]uint64 `msgpack:"v"`
	// Running is the number of requests that the entry runs at each backend server.
	Running map[string]int `msgpack:"r"`
	// Counts are counts of usage in windows that are not reported yet, as far as the entry that hears the beat hasn't got them from
	// this one: this entry's own, and to the holder of the duties also copies of others'.
	Counts []usage.Count `msgpack:"u"`
	// Jobs are the batch jobs that the entry runs, or ran to their last result.
	Jobs []string `msgpack:"j"`
	// TokenRates are the output rates that the running jobs require, by model, in expected tokens per second until they are due.
	TokenRates map[string]float64 `msgpack:"t"`
	// Ended are batch jobs that ended lately.
	Ended []string `msgpack:"e"`
	// Contacts is how long ago each entry that reached the store lately did, in milliseconds.
	Contacts map[string]int64 `msgpack:"w"`
	// Owners are the entries that run batch jobs, by job, as far as the entry heard of them lately; of all for one whose list differs.
	Owners map[string]string `msgpack:"o"`
	// Holder is who holds the duties.
	Holder Holder `msgpack:"l"`
}

// Holder is the entry that holds the duties.
type Holder struct {
	HostID string `msgpack:"h"`
	// Version is that of the lease object after the holder's last renewal that is known; 0 if none is.
	Version uint64 `msgpack:"v"`
}

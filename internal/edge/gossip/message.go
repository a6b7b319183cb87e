// Package gossip exchanges state between the entries of a deployment: which of them are alive, what each runs, and which has newer
// state from the store. It provides no consensus, which goes through the store. Package core/roster decides which other entries an
// entry calls and which it considers alive.
package gossip

import (
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/pace"
	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// Methods that entries call on each other.
const (
	MethodHeartbeat peer.Method = "gossip.beat"
)

// Member is one run of an entry's process.
type Member = roster.Member

// Heartbeat is the message that entries exchange several times a second. State that hasn't changed is left out of it: with 380 entries and
// heartbeats of some hundred bytes, an entry stays below the limit of 15 KB/s for control traffic.
type Heartbeat struct {
	From Member `msgpack:"f"`
	// Digest is the digest of the sender's list of entries, and Updates the recent changes to that list. List is the complete list, for a
	// recipient whose list differs.
	Digest  uint64          `msgpack:"d"`
	Updates []roster.Update `msgpack:"n"`
	List    []roster.Update `msgpack:"m"`
	// Revisions are the revisions of the sender's copies of the store's state, by kind.
	Revisions map[string]uint64 `msgpack:"v"`
	// Running is the number of requests that the sender runs at each backend server, by the server's ID.
	Running map[string]int `msgpack:"r"`
	// Counts are usage counts of windows that are not reported yet, except those that the recipient already has from the sender: the
	// sender's own counts, and for the holder of the duties also the sender's copies of other entries' counts.
	Counts []usage.Count `msgpack:"u"`
	// Jobs are the batch jobs that the sender runs, or has run to their last result.
	Jobs []string `msgpack:"j"`
	// TokenRates are the output rates that the running jobs require to meet their deadlines, by model, in expected tokens per second.
	TokenRates map[string]float64 `msgpack:"t"`
	// Ended are the batch jobs that ended recently.
	Ended []string `msgpack:"e"`
	// Contacts is the time in milliseconds since each entry last reached the store, for entries that did so recently.
	Contacts map[string]int64 `msgpack:"w"`
	// Owners maps batch jobs to the entries that run them: the owners that the sender learned recently, or all owners for a recipient
	// whose list of entries differs.
	Owners map[string]string `msgpack:"o"`
	// Speeds are summaries of the speed of servers in pools whose servers differ: those that changed recently, or others in turn for a
	// recipient whose list of entries differs.
	Speeds []pace.Summary `msgpack:"s"`
	// ServerEnds counts the servers that ended under items of batch jobs, by item. It is empty unless servers ended lately.
	ServerEnds map[string]batch.ServerEnds `msgpack:"b"`
	// DutyHolder is the holder of the duties as far as the sender knows.
	DutyHolder DutyHolder `msgpack:"l"`
}

// DutyHolder is the entry that holds the duties, the control tasks that one entry runs for the deployment.
type DutyHolder struct {
	HostID string `msgpack:"h"`
	// Version is the version of the lease object after the holder's last known renewal, or 0 if no renewal is known.
	Version uint64 `msgpack:"v"`
}

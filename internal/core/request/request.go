// Package request holds the typed messages about one request between entry and agent.
package request

import (
	"fmt"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// ID names a request once for all time: incarnations are random and never used again.
type ID struct {
	// Incarnation of the sending process.
	Incarnation uint64 `msgpack:"i"`
	// Counter grows by one for each request of the incarnation.
	Counter uint64 `msgpack:"c"`
}

// String returns the id for logs and dumps.
func (i ID) String() string {
	return fmt.Sprintf("%016x-%d", i.Incarnation, i.Counter)
}

// Priority orders requests of one organisation at an agent; a lower number goes first.
type Priority uint8

// The priorities in use.
const (
	PriorityInteractive Priority = iota
	PriorityNormal
	PriorityBulk
)

// HeaderField is one header of a call; names are canonical.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Execute asks an agent to run one call at its backend server.
type Execute struct {
	ID           ID     `msgpack:"id"`
	Organisation string `msgpack:"o"`
	// KeyHash is the SHA-256 of the caller's key in hexadecimal, never the key: an agent with
	// a newer view refuses a key that was withdrawn after the entry admitted it.
	KeyHash string        `msgpack:"k"`
	Pool    string        `msgpack:"p"`
	Method  string        `msgpack:"m"`
	Path    string        `msgpack:"pa"`
	Query   string        `msgpack:"q"`
	Header  []HeaderField `msgpack:"h"`
	Body    []byte        `msgpack:"b"`
	// Idempotent requests may run more than once.
	Idempotent bool `msgpack:"i"`
	// Remaining is the time until the caller's deadline when the message was sent.
	Remaining time.Duration `msgpack:"r"`
	// Revision is the entry's configuration revision.
	Revision uint64   `msgpack:"rev"`
	Priority Priority `msgpack:"pr"`
	// Cost is the estimated work, in tokens for a model pool and 1 for a plain call.
	Cost float64 `msgpack:"co"`
}

// AnswerHead opens an answer.
type AnswerHead struct {
	Status int           `msgpack:"s"`
	Header []HeaderField `msgpack:"h"`
}

// AnswerEnd closes an answer that ran; the count is held by two hosts before the caller sees the end.
type AnswerEnd struct {
	Count usage.Count `msgpack:"c"`
}

// Settle asks an agent what became of a request whose connection was lost. An agent that has not
// seen the id records it as never to be run, so that NotRun stays true if the request arrives later.
type Settle struct {
	ID ID `msgpack:"id"`
	// Process is the incarnation of the agent's process to which the request was sent, from peer.LostProcess or
	// Answer.Process. Another process at the same address has an empty record and can't say "not run".
	Process uint64 `msgpack:"pr"`
}

// Settled answers Settle.
type Settled struct {
	Verdict verdict.Verdict `msgpack:"v"`
	// Running says that the request is still running, so that its verdict may change to Ran.
	Running bool `msgpack:"r"`
}

// Probe asks an agent for its load right before a placement.
type Probe struct {
	Organisation string `msgpack:"o"`
	// PrefixHash names the prompt's prefix; 0 for none.
	PrefixHash uint64 `msgpack:"p"`
}

// Load answers Probe and is reported from time to time.
type Load struct {
	Queued  int `msgpack:"q"`
	Running int `msgpack:"r"`
	Limit   int `msgpack:"l"`
	// Wait is the estimated time until a new request of the organisation starts.
	Wait time.Duration `msgpack:"w"`
	// Leaving agents take no new work.
	Leaving bool `msgpack:"le"`
	// PrefixCached says that the server holds the prefix in its cache.
	PrefixCached bool `msgpack:"pc"`
	// Version is the weight version served; 0 for plain services.
	Version int `msgpack:"v"`
	// Prefetched is the newest weight version that the server can switch to at once.
	Prefetched int `msgpack:"pf"`
	// Revision is the agent's configuration revision.
	Revision uint64 `msgpack:"rev"`
}

// Leave tells an agent to take no new work because its server is to be stopped, or to take work again.
// The agent answers with its load.
type Leave struct {
	Leave bool `msgpack:"l"`
	// Fencing is the fencing number of the zone's duty; an order with a lower one than seen is refused.
	Fencing uint64 `msgpack:"f"`
}

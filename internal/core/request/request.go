// Package request defines the messages that an entry and an agent exchange about a request.
package request

import (
	"fmt"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// ID identifies a request. IDs are never reused, because incarnations are random.
type ID struct {
	// Incarnation is the random number of the sending process.
	Incarnation uint64 `msgpack:"i"`
	// Counter increases by one with each request of the incarnation.
	Counter uint64 `msgpack:"c"`
}

// String formats the ID for logs and dumps.
func (i ID) String() string {
	return fmt.Sprintf("%016x-%d", i.Incarnation, i.Counter)
}

// Priority orders the requests of one organisation at an agent; lower values go first.
type Priority uint8

// The priorities, highest first.
const (
	PriorityInteractive Priority = iota
	PriorityNormal
	PriorityBulk
)

// HeaderField is one HTTP header field; its name is in canonical form.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Execute asks an agent to run one call at its backend server.
type Execute struct {
	ID           ID     `msgpack:"id"`
	Organisation string `msgpack:"o"`
	// KeyHash is the SHA-256 of the caller's key in hexadecimal, never the key itself. With it an agent that has a
	// newer configuration refuses a key that was withdrawn after the entry admitted it.
	KeyHash string        `msgpack:"k"`
	Pool    string        `msgpack:"p"`
	Method  string        `msgpack:"m"`
	Path    string        `msgpack:"pa"`
	Query   string        `msgpack:"q"`
	Header  []HeaderField `msgpack:"h"`
	Body    []byte        `msgpack:"b"`
	// Idempotent is set if the request may run more than once.
	Idempotent bool `msgpack:"i"`
	// Remaining is the time left until the caller's deadline when the message was sent.
	Remaining time.Duration `msgpack:"r"`
	// Revision is the entry's configuration revision.
	Revision uint64   `msgpack:"rev"`
	Priority Priority `msgpack:"pr"`
	// Cost is the estimated work, in tokens for a model pool and 1 for a plain call.
	Cost float64 `msgpack:"co"`
}

// AnswerHead is the first message of an answer.
type AnswerHead struct {
	Status int           `msgpack:"s"`
	Header []HeaderField `msgpack:"h"`
}

// AnswerEnd is the last message of the answer to a call that ran. It carries the usage count to the entry, so that
// two hosts hold the count before the caller sees the end.
type AnswerEnd struct {
	Count usage.Count `msgpack:"c"`
}

// Settle asks an agent for the outcome of a request whose connection was lost. An agent that hasn't seen the ID
// records that it must never run, so that NotRun stays true if the request arrives later.
type Settle struct {
	ID ID `msgpack:"id"`
	// Process is the incarnation of the agent process to which the request was sent, from peer.ServerIncarnation or
	// Answer.ServerIncarnation. Another process at the same address has an empty record and can't claim NotRun.
	Process uint64 `msgpack:"pr"`
}

// Settled is the answer to Settle.
type Settled struct {
	Verdict verdict.Verdict `msgpack:"v"`
	// Running is set if the request is still running, so that its verdict may change to Ran.
	Running bool `msgpack:"r"`
}

// Probe asks an agent for its load, for example right before a request is placed.
type Probe struct {
	Organisation string `msgpack:"o"`
	// PrefixHash identifies the prompt's prefix; 0 for none.
	PrefixHash uint64 `msgpack:"p"`
}

// Load is an agent's load. It is the answer to Probe and Drain.
type Load struct {
	Queued  int `msgpack:"q"`
	Running int `msgpack:"r"`
	// Limit is the number of requests that may run at a time.
	Limit int `msgpack:"l"`
	// Wait is the estimated time until a new request of the organisation starts.
	Wait time.Duration `msgpack:"w"`
	// Draining is set if the agent takes no new work, because its server is being drained or its process shuts down.
	Draining bool `msgpack:"le"`
	// PrefixCached is set if the server has the prefix in its cache.
	PrefixCached bool `msgpack:"pc"`
	// Version is the version of the model weights that is served; 0 for plain services.
	Version int `msgpack:"v"`
	// Prefetched is the newest version of the weights that the server can switch to at once.
	Prefetched int `msgpack:"pf"`
	// Revision is the agent's configuration revision.
	Revision uint64 `msgpack:"rev"`
}

// Drain tells an agent to take no new work because its server is to be stopped, or to take work again. The agent
// answers with its load.
type Drain struct {
	// Drain is true to stop taking work and false to take work again.
	Drain bool `msgpack:"l"`
	// Fencing is the fencing number of the lease on the availability zone's server orders. An order with a lower
	// number than one already seen is refused.
	Fencing uint64 `msgpack:"f"`
}

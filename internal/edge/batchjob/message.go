package batchjob

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// Methods between entries.
const (
	MethodRead peer.Method = "batch.read"
	MethodBody peer.Method = "batch.body"
	MethodEnd  peer.Method = "batch.end"
	MethodRun  peer.Method = "batch.run"
)

// ReadRequest asks the entry that runs a job for results.
type ReadRequest struct {
	Job          string        `msgpack:"j"`
	Organisation string        `msgpack:"o"`
	From         int           `msgpack:"f"`
	Wait         time.Duration `msgpack:"w"`
	MaxBytes     int           `msgpack:"m"`
	// Load asks the entry to load the job from the store if it isn't in memory.
	Load bool `msgpack:"l"`
}

// ReadAnswer holds listed results. Known is false if the entry doesn't run the job.
type ReadAnswer struct {
	// Waited is set if the answer was given after the whole wait, right before which the store was asked.
	Waited  bool           `msgpack:"w"`
	Known   bool           `msgpack:"k"`
	Total   int            `msgpack:"t"`
	Results []batch.Result `msgpack:"r"`
}

// BodyRequest asks the entry that runs a job for the body of an item.
type BodyRequest struct {
	Job          string `msgpack:"j"`
	Organisation string `msgpack:"o"`
	Item         string `msgpack:"i"`
	// Load asks the entry to load the job from the store if it isn't in memory.
	Load bool `msgpack:"l"`
}

// BodyAnswer holds the body of an item. Known is false if the entry doesn't run the job, Found if the job has no such item.
type BodyAnswer struct {
	Known bool   `msgpack:"k"`
	Found bool   `msgpack:"f"`
	Body  []byte `msgpack:"b"`
}

// EndRequest asks the entry that runs a job to end it.
type EndRequest struct {
	Job          string `msgpack:"j"`
	Organisation string `msgpack:"o"`
	// Written is set if the store holds the end already.
	Written bool `msgpack:"w"`
}

// EndAnswer says that the job has ended. Known is false if the entry doesn't know it.
type EndAnswer struct {
	Known bool `msgpack:"k"`
}

// RunRequest asks another entry to run a job that this one leaves, or doesn't run at all.
type RunRequest struct {
	Job          string `msgpack:"j"`
	Organisation string `msgpack:"o"`
	// From is the host that asks, and so doesn't run the job.
	From string `msgpack:"h"`
	// Sure is set if no other entry need be asked whether it runs the job.
	Sure bool `msgpack:"s"`
	// Fresh is the job as the store keeps it, in JSON, if it was accepted just now and has no page yet; else the entry reads the store.
	Fresh []byte `msgpack:"f"`
	// Partials are what the entry that leaves the job had received of items that didn't end.
	Partials []batch.Partial `msgpack:"p"`
}

// RunAnswer confirms a RunRequest.
type RunAnswer struct{}

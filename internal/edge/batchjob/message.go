package batchjob

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// Methods that entries call at each other.
const (
	MethodRead peer.Method = "batch.read"
	MethodBody peer.Method = "batch.body"
	MethodEnd  peer.Method = "batch.end"
	MethodRun  peer.Method = "batch.run"
	// MethodBegin is served only where jobs may begin without the store.
	MethodBegin peer.Method = "batch.begin"
)

// ReadRequest asks the entry that holds a job in memory for results.
type ReadRequest struct {
	Job          string        `msgpack:"j"`
	Organisation string        `msgpack:"o"`
	From         int           `msgpack:"f"`
	Wait         time.Duration `msgpack:"w"`
	MaxBytes     int           `msgpack:"m"`
	// Load asks the entry to load the job from the store if it isn't in memory.
	Load bool `msgpack:"l"`
}

// ReadAnswer holds listed results. Known is false if the entry can't answer for the job.
type ReadAnswer struct {
	// Waited is set if the answer was given after the full wait time; the store was then queried right before it.
	Waited  bool           `msgpack:"w"`
	Known   bool           `msgpack:"k"`
	Total   int            `msgpack:"t"`
	Results []batch.Result `msgpack:"r"`
}

// BodyRequest asks the entry that holds a job in memory for the body of an item.
type BodyRequest struct {
	Job          string `msgpack:"j"`
	Organisation string `msgpack:"o"`
	Item         string `msgpack:"i"`
	// Load asks the entry to load the job from the store if it isn't in memory.
	Load bool `msgpack:"l"`
}

// BodyAnswer holds the body of an item. Known is false if the entry doesn't have the job in memory, Found if the job has no such item.
type BodyAnswer struct {
	Known bool   `msgpack:"k"`
	Found bool   `msgpack:"f"`
	Body  []byte `msgpack:"b"`
}

// EndRequest asks the entry that holds a job in memory to end it.
type EndRequest struct {
	Job          string `msgpack:"j"`
	Organisation string `msgpack:"o"`
	// Stored is set if the store holds the end already.
	Stored bool `msgpack:"w"`
	// Requested is set if the end can't be stored: the entry is to start no further items of the job, and to store the end later.
	Requested bool `msgpack:"r"`
}

// EndAnswer confirms that the job has ended. Known is false if the entry doesn't have it in memory.
type EndAnswer struct {
	Known bool `msgpack:"k"`
}

// RunRequest asks another entry to run a job that the sender hands over, or doesn't run at all.
type RunRequest struct {
	Job          string `msgpack:"j"`
	Organisation string `msgpack:"o"`
	// From is the host id of the sender, which doesn't run the job.
	From string `msgpack:"h"`
	// SkipOwnerCheck is set if no other entry need be asked whether it runs the job.
	SkipOwnerCheck bool `msgpack:"s"`
	// SpecJSON is the job as the store keeps it if it was accepted just now and has no page yet; else the receiver reads the store.
	SpecJSON []byte `msgpack:"f"`
	// EndRequested is set if the end of the job waits to be stored, so that none of its items may start.
	EndRequested bool `msgpack:"e"`
	// Partials are what a leaving sender had received of unfinished items.
	Partials []batch.Partial `msgpack:"p"`
	// Leaving is set if the sender ran the job and hands it over because it leaves.
	Leaving bool `msgpack:"l"`
	// LeftRuns are runs that a leaving sender cut off, of items under which servers had ended before.
	LeftRuns []LeftRun `msgpack:"r,omitempty"`
}

// LeftRun is a run of an item that was cut off. Its server may end all the same.
type LeftRun struct {
	Item   string `msgpack:"i"`
	Server string `msgpack:"s"`
	// Started identifies the server's process, as in backend.Key.
	Started int64 `msgpack:"t"`
	// Age is the time since the run began.
	Age time.Duration `msgpack:"a"`
}

// RunAnswer confirms a RunRequest.
type RunAnswer struct{}

// BeginRequest asks the preferred runner of a job that could not be stored to begin it.
type BeginRequest struct {
	// SpecJSON is the job as the store is to keep it.
	SpecJSON []byte `msgpack:"f"`
}

// BeginAnswer says what became of a BeginRequest. Begun is set if the entry runs the job; Accepted if it knows that the store holds the
// job, and the job belongs to the organisation in the request.
type BeginAnswer struct {
	Begun    bool `msgpack:"b"`
	Accepted bool `msgpack:"a"`
}

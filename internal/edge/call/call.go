// Package call sends a request to the backend servers of a pool until one has answered it, it may not be sent again, or its time is over. It
// serves callers' requests and the reward calls of batch jobs; which server is asked is decided by core/backend.
package call

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/platform"
)

// Request is a request with what may be done with it.
type Request struct {
	// ID names the request; an answer that bears another id is not its answer.
	ID string
	// Pool returns the pool that serves the request at this moment; false if there is none.
	Pool func() (string, bool)
	// Build fills in the request for a server. It is never called by two goroutines at a time.
	Build func(to *fasthttp.Request, server backend.Server)
	// End is when the answer must be out.
	End time.Time
	// Repeatable requests may run more than once, at up to MaxAttempts servers.
	Repeatable  bool
	MaxAttempts int
	// Hedge is the time without an answer after which a repeatable request is sent to a second server.
	Hedge time.Duration
	// First is the server of the first attempt, which Book.Acquire has counted; nil has one chosen.
	First *backend.Server
	// Ran is called for each attempt that may have run, with the time at which it was sent; nil if nobody counts.
	Ran func(sent time.Time)
}

// Attempt is one send of a request to a server, and what came of it.
type Attempt struct {
	Server backend.Server
	Sent   time.Time
	Answer platform.Answer
	Header fasthttp.ResponseHeader
	Body   []byte
	// Outcome is Ran for a whole answer of the server.
	Outcome verdict.Verdict
	// Cause says why there is no answer.
	Cause error
}

// Tally counts the attempts at a request.
type Tally struct {
	// Sent counts those that may have run, NotRun those that have not.
	Sent, NotRun int
	// Failed counts those that the server answered with 500.
	Failed int
}

// Sender sends requests to backend servers. It is safe for concurrent use.
type Sender struct {
	book    *backend.Balancer
	servers *exchange.Client
	log     zerolog.Logger
}

// NewSender returns a sender over the connections of the client that records the outcomes of attempts in the book.
func NewSender(book *backend.Balancer, servers *exchange.Client, log zerolog.Logger) *Sender {
	return &Sender{book: book, servers: servers, log: log}
}

// Send sends the request and returns the attempt that ended it, nil if there was none, with a refusal unless it holds the server's answer. No
// attempt uses the request any more once it returns.
func (s *Sender) Send(ctx context.Context, request *Request) (*Attempt, Tally, error) {
	ctx, cancel := context.WithDeadline(ctx, request.End)
	defer cancel()
	t := &tries{sender: s, request: request, tried: map[string]bool{}}
	attempt, err := t.run(ctx)
	return attempt, t.Tally, err
}

package cmd

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// maxAnswerBytes bounds what a process may answer a command. The state of a process in a large deployment has some megabytes.
const maxAnswerBytes = 64 << 20

// send sends one request of a command to a process. Without a deadline in ctx, the process has to answer within the timeout.
func send(ctx context.Context, timeout time.Duration, request *fasthttp.Request, response *fasthttp.Response) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	// An answer and its copy in one piece are held at the same time.
	client := exchange.NewClient(exchange.WithMaxBody(maxAnswerBytes), exchange.WithMemory(exchange.NewMemory(4*maxAnswerBytes)))
	defer client.Close()
	return client.Do(ctx, request, response)
}

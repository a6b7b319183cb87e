package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

const (
	flagEntry       = "entry"
	flagNumber      = "number"
	flagKeyFile     = "operator-key-file"
	operatorTimeout = 30 * time.Second
)

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:            "ticket",
		Usage:           "apply and follow numbered change tickets",
		HideHelpCommand: true,
		Action:          unknownCommand,
		Commands:        []*cli.Command{ticketApplyCommand(), ticketShowCommand(), ticketStatusCommand()},
	}
}

func entryFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagEntry, Value: "http://127.0.0.1:8080", Usage: "`URL` of an entry"},
		&cli.StringFlag{Name: flagKeyFile, Usage: "`FILE` with the operator's key, if the entries require one"},
	}
}

// ticketStatus is the state of a ticket as an entry reports it.
type ticketStatus struct {
	Number   int  `json:"number"`
	Accepted bool `json:"accepted"`
	// Share is the fraction of hosts on which the ticket is in force, from 0 to 1.
	Share float64 `json:"share"`
}

// operatorClient sends an operator's requests to an entry; key may be empty.
type operatorClient struct {
	entry string
	key   string
}

// newOperatorClient builds a client from the flags of entryFlags.
func newOperatorClient(c *cli.Command) (operatorClient, error) {
	client := operatorClient{entry: c.String(flagEntry)}
	path := c.String(flagKeyFile)
	if path == "" {
		return client, nil
	}
	key, err := os.ReadFile(path)
	if err != nil {
		return client, errors.Wrap(errUsage, err.Error())
	}
	client.key = string(trimNewline(key))
	return client, nil
}

func trimNewline(data []byte) []byte {
	for len(data) > 0 && (data[len(data)-1] == '\n' || data[len(data)-1] == '\r') {
		data = data[:len(data)-1]
	}
	return data
}

// requestTicket sends one request about a ticket and returns the response body.
func (o operatorClient) requestTicket(ctx context.Context, method string, number int, body []byte) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(o.entry + "/v1/tickets/" + strconv.Itoa(number))
	request.Header.SetMethod(method)
	if o.key != "" {
		request.Header.Set("Authorization", "Bearer "+o.key)
	}
	request.SetBody(body)
	// Applying a ticket twice is harmless, but an automatic retry would hide from the operator that a response was lost.
	if err := send(ctx, operatorTimeout, request, response); err != nil {
		return nil, requestError(method, number, err)
	}
	if response.StatusCode() != http.StatusOK {
		return nil, refusalError(response.StatusCode(), response.Body())
	}
	return append([]byte(nil), response.Body()...), nil
}

// requestError classifies a request without a response: a read had no effect, a ticket that reached the entry may have been accepted.
func requestError(method string, number int, err error) error {
	if method == http.MethodGet {
		return errors.Wrapf(err, "ticket %d", number)
	}
	if errors.Is(err, exchange.ErrNotSent) {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, 0, "ticket %d was not sent: %v", number, err)
	}
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonTicketUnsettled, time.Second,
		"ticket %d: %v; apply it again with the same number and content, which is harmless", number, err)
}

// refusalError decodes the body of a response with an error status.
func refusalError(status int, body []byte) error {
	var refusal struct {
		Verdict           verdict.Verdict `json:"verdict"`
		Reason            verdict.Reason  `json:"reason"`
		Detail            string          `json:"detail"`
		RetryAfterSeconds int             `json:"retryAfterSeconds"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil {
		return errors.Errorf("the entry responded with status %d: %s", status, body)
	}
	return verdict.Refuse(refusal.Verdict, refusal.Reason, time.Duration(refusal.RetryAfterSeconds)*time.Second, "%s", refusal.Detail)
}

func ticketNumberArgument(c *cli.Command) (int, error) {
	text, err := oneArgument(c, "the ticket's number")
	if err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 {
		return 0, errors.Wrapf(errUsage, "the ticket number must be 1 or more, not %q", text)
	}
	return number, nil
}

// printLine writes body and a newline.
func printLine(out io.Writer, body []byte) error {
	_, err := out.Write(append(body, '\n'))
	return err
}

package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
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
		&cli.StringFlag{Name: flagKeyFile, Usage: "`FILE` that holds the operator's key, where entries ask for one"},
	}
}

// ticketStatus is the answer of an entry about a ticket.
type ticketStatus struct {
	Number   int  `json:"number"`
	Accepted bool `json:"accepted"`
	// Share is the share of hosts where the ticket is in force, 0 to 1.
	Share float64 `json:"share"`
}

// operatorClient sends one operator's request to an entry.
type operatorClient struct {
	entry string
	key   string
}

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

// ticket sends one request about the ticket and returns the entry's answer.
func (o operatorClient) ticket(ctx context.Context, method string, number int, body []byte) ([]byte, error) {
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
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(operatorTimeout)
	}
	// A ticket sent twice is accepted once, but the client must not hide a lost answer behind its own retry.
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	if err := client.DoDeadline(request, response, end); err != nil {
		return nil, unsettled(method, number, err)
	}
	if response.StatusCode() != http.StatusOK {
		return nil, refused(response.StatusCode(), response.Body())
	}
	return append([]byte(nil), response.Body()...), nil
}

// unsettled says what a lost answer means: a ticket may have been accepted, a question had no effect.
func unsettled(method string, number int, err error) error {
	if method == http.MethodGet {
		return errors.Wrapf(err, "ticket %d", number)
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, 0, "ticket %d was not sent: %v", number, err)
	}
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonTicketUnsettled, time.Second,
		"ticket %d: %v; apply it again with the same number and content, which is harmless", number, err)
}

func refused(status int, body []byte) error {
	var answer struct {
		Verdict           verdict.Verdict `json:"verdict"`
		Reason            verdict.Reason  `json:"reason"`
		Detail            string          `json:"detail"`
		RetryAfterSeconds int             `json:"retryAfterSeconds"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Errorf("the entry answered %d: %s", status, body)
	}
	return verdict.Refuse(answer.Verdict, answer.Reason, time.Duration(answer.RetryAfterSeconds)*time.Second, "%s", answer.Detail)
}

func numberArgument(c *cli.Command) (int, error) {
	text, err := oneArgument(c, "the ticket's number")
	if err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 {
		return 0, errors.Wrapf(errUsage, "a ticket has a number from 1, not %q", text)
	}
	return number, nil
}

func printRaw(out io.Writer, body []byte) error {
	_, err := out.Write(append(body, '\n'))
	return err
}

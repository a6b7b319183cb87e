package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/refusal"
)

const (
	// HeaderCursor is the request and response header that records what the trainer has received.
	HeaderCursor         = "Delivery-Cursor"
	headerRequestTimeout = "Request-Timeout"
	bearerPrefix         = "Bearer "
	defaultTimeout       = 60 * time.Second
	maxTimeout           = 10 * time.Minute
	// keyCheckInterval is how often the key of a waiting request is rechecked.
	keyCheckInterval = time.Second
)

var errTrailingData = errors.New("more follows after the object")

// RegisterHTTP adds the routes of the trainer API.
func (c *Coordinator) RegisterHTTP(app *fiber.App) {
	app.Post("/v1/trainerJobs/:job/steps/:step", c.handler(ActionStep))
	app.Get("/v1/trainerJobs/:job/steps/:step/batches/:batch", c.handler(ActionBatch))
	app.Post("/v1/trainerJobs/:job/modelVersions", c.handler(ActionModelVersion))
}

func (c *Coordinator) handler(action Action) fiber.Handler {
	return func(f fiber.Ctx) error {
		started := time.Now()
		reply, err := c.handle(f, action)
		if action == ActionBatch && err == nil {
			c.metrics.observeWait(strings.Clone(f.Params("job")), time.Since(started))
		}
		if err != nil {
			return writeRefusal(f, verdict.From(err))
		}
		if reply.Cursor != "" {
			f.Set(HeaderCursor, reply.Cursor)
		}
		f.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return f.Status(reply.Status).Send(reply.Body)
	}
}

func writeRefusal(f fiber.Ctx, refused *verdict.Refusal) error {
	if refused.RetryAfter > 0 {
		f.Set(fiber.HeaderRetryAfter, strconv.Itoa(refused.RetryAfterSeconds()))
	}
	return f.Status(refusal.Status(refused)).JSON(refused)
}

func (c *Coordinator) handle(f fiber.Ctx, action Action) (Reply, error) {
	// fiber's strings and byte slices refer to buffers that the next request reuses. A request may wait here and be
	// retained by the job, so everything is copied.
	presented, bearer := strings.CutPrefix(f.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !bearer {
		presented = ""
	}
	key := strings.Clone(presented)
	request := ForwardedRequest{
		Job:    strings.Clone(f.Params("job")),
		Action: action,
		Cursor: strings.Clone(f.Get(HeaderCursor)),
		Body:   bytes.Clone(f.Body()),
	}
	if err := c.authorise(key, request.Job); err != nil {
		return Reply{}, err
	}
	if err := readNumbers(f, &request); err != nil {
		return Reply{}, err
	}
	timeout, err := readTimeout(f.Get(headerRequestTimeout))
	if err != nil {
		return Reply{}, err
	}
	ctx, cancel := context.WithTimeout(f.Context(), timeout)
	defer cancel()
	return c.serveWhileKeyValid(ctx, cancel, key, request)
}

// fresh reports whether this host's configuration may be relied on, that is, whether the host isn't isolated.
func (c *Coordinator) fresh(now time.Time) bool {
	return c.deps.Fresh == nil || c.deps.Fresh(now)
}

// authorise returns a refusal unless the key belongs to the job's organisation.
func (c *Coordinator) authorise(key, job string) error {
	if !c.fresh(time.Now()) {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonIsolated, retryInterval,
			"this host can't confirm that keys are still valid")
	}
	view := c.deps.View()
	organisation, _, ok := view.Authenticate(key)
	if key == "" || !ok {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonUnknownKey, 0, "the key is not known")
	}
	return authoriseJob(view, organisation, job)
}

func authoriseJob(view Configuration, organisation ticket.Organisation, job string) error {
	configured, ok := view.TrainerJob(job)
	if !ok {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0, "there is no trainer job %s", job)
	}
	if configured.Organisation != organisation.Name {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonForbidden, 0,
			"trainer job %s belongs to another organisation", job)
	}
	return nil
}

// serveWhileKeyValid serves the request and refuses it as soon as its key becomes invalid. It guards against this
// failure: a batch request waits for a minute or more, its key is withdrawn meanwhile, and the batch is then
// delivered to the client with the withdrawn key. The key is rechecked every second and before the response.
func (c *Coordinator) serveWhileKeyValid(
	ctx context.Context, cancel context.CancelFunc, key string, request ForwardedRequest,
) (Reply, error) {
	var reply Reply
	var err error
	done := make(chan struct{})
	var goroutines conc.WaitGroup
	defer goroutines.Wait()
	goroutines.Go(func() {
		defer close(done)
		reply, err = c.serve(ctx, request)
	})
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			if invalid := c.authorise(key, request.Job); invalid != nil {
				return Reply{}, keyWithdrawnRefusal(invalid)
			}
			return reply, err
		case <-ticker.C:
			if invalid := c.authorise(key, request.Job); invalid != nil {
				cancel()
				return Reply{}, keyWithdrawnRefusal(invalid)
			}
		}
	}
}

// keyWithdrawnRefusal converts the error of authorise for a request whose key was valid when it was received.
func keyWithdrawnRefusal(err error) error {
	refusal := *verdict.From(err)
	refusal.Verdict = verdict.MayHaveRun
	if refusal.Reason == verdict.ReasonUnknownKey {
		refusal.Reason = verdict.ReasonKeyWithdrawn
	}
	return &refusal
}

func readNumbers(f fiber.Ctx, request *ForwardedRequest) error {
	targets := map[Action]map[string]*int{
		ActionStep:         {"step": &request.Step},
		ActionBatch:        {"step": &request.Step, "batch": &request.Batch},
		ActionModelVersion: {},
	}
	for name, target := range targets[request.Action] {
		number, err := strconv.Atoi(f.Params(name))
		if err != nil || number < 1 {
			return refusalBadRequest("%s %q is not a number above 0", name, f.Params(name))
		}
		*target = number
	}
	return nil
}

func readTimeout(text string) (time.Duration, error) {
	if text == "" {
		return defaultTimeout, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
		return 0, refusalBadRequest("%s %q is not a number of seconds above 0 and up to %.0f",
			headerRequestTimeout, text, maxTimeout.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// decodeStrictly decodes one JSON object. Unknown fields and trailing data are errors.
func decodeStrictly(raw []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.Wrap(err, "body")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

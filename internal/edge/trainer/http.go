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
	// HeaderCursor carries what the trainer has, both ways.
	HeaderCursor         = "Delivery-Cursor"
	headerRequestTimeout = "Request-Timeout"
	bearerPrefix         = "Bearer "
	defaultTimeout       = 60 * time.Second
	maxTimeout           = 10 * time.Minute
	// keyCheckInterval is how often the key of a waiting request is checked again.
	keyCheckInterval = time.Second
)

var errTrailing = errors.New("more follows after the object")

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
			c.metrics.waited(strings.Clone(f.Params("job")), time.Since(started))
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
	// fiber's strings and bytes are views of buffers that the next request reuses, and a request
	// may wait here and be kept by the job: everything is copied.
	presented, bearer := strings.CutPrefix(f.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !bearer {
		presented = ""
	}
	key := strings.Clone(presented)
	request := Forwarded{
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
	return c.serveWhileValid(ctx, cancel, key, request)
}

// fresh says whether this host's configuration may be relied on: it is not cut off from the others.
func (c *Coordinator) fresh(now time.Time) bool {
	return c.deps.Fresh == nil || c.deps.Fresh(now)
}

// authorise lets only the job's organisation through.
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

// serveWhileValid serves the request while its key stays valid. Failure: a key is withdrawn while
// a batch request waits, for a minute or more, and the batch is then handed to whoever shows the
// withdrawn key. The key is looked at each second and the request is refused at once.
func (c *Coordinator) serveWhileValid(
	ctx context.Context, cancel context.CancelFunc, key string, request Forwarded,
) (Reply, error) {
	var reply Reply
	var err error
	served := make(chan struct{})
	var work conc.WaitGroup
	defer work.Wait()
	work.Go(func() {
		defer close(served)
		reply, err = c.serve(ctx, request)
	})
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-served:
			if invalid := c.authorise(key, request.Job); invalid != nil {
				return Reply{}, withdrawn(invalid)
			}
			return reply, err
		case <-ticker.C:
			if invalid := c.authorise(key, request.Job); invalid != nil {
				cancel()
				return Reply{}, withdrawn(invalid)
			}
		}
	}
}

// withdrawn refuses a request whose key was valid when it began.
func withdrawn(err error) error {
	refusal := *verdict.From(err)
	refusal.Verdict = verdict.MayHaveRun
	if refusal.Reason == verdict.ReasonUnknownKey {
		refusal.Reason = verdict.ReasonKeyWithdrawn
	}
	return &refusal
}

func readNumbers(f fiber.Ctx, request *Forwarded) error {
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

// decodeStrictly decodes one JSON object and refuses unknown fields.
func decodeStrictly(raw []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.Wrap(err, "body")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}

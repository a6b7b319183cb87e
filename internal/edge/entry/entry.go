// Package entry serves callers, trainers and operators over HTTP: it authenticates, admits, places each
// request at an agent, and tells the truth about what became of it.
package entry

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// Limits of the caller interface.
const (
	DefaultRequestTimeout = time.Minute
	MaxRequestTimeout     = 30 * time.Minute
	idleTimeout           = 90 * time.Second
	// defaultReadTimeout lets a body of 16 MB come at 3 Mbit/s, and ends within the default time of a drain.
	defaultReadTimeout = time.Minute
	// keepAliveGrace is how long connections that were kept alive may stay open once no request is running.
	keepAliveGrace = time.Second
)

// Views gives the configuration in force at this host.
type Views interface {
	View() *ticket.View
	// Fresh says whether a key withdrawn elsewhere would be known here within seconds.
	Fresh(now time.Time) bool
	Changed() <-chan struct{}
}

// Tickets applies and shows the operators' tickets.
type Tickets interface {
	Apply(ctx context.Context, number int, t ticket.Ticket) error
	Status(ctx context.Context, number int) (any, error)
}

// Routes adds the routes of another part, such as the trainers'.
type Routes interface {
	RegisterHTTP(app *fiber.App)
}

// Deps is what an entry stands on.
type Deps struct {
	Views      Views
	Tickets    Tickets
	Admission  *admission.Controller
	TurnedAway *admission.RefusedLoad
	Dispatcher *Dispatcher
	Store      platform.Store
	Trainers   Routes
	Log        zerolog.Logger
}

// Config holds an entry's own settings.
type Config struct {
	HostID            string
	BodyLimitBytes    int
	OperatorKeyHashes []string
	Incarnation       uint64
	// ReadTimeout bounds the time in which a request comes, from its first byte to its last; 0 is the default.
	ReadTimeout time.Duration
}

// Entry is the HTTP side of one entry host.
type Entry struct {
	config  Config
	deps    Deps
	app     *fiber.App
	records *recordKeeper
	metrics *Metrics
	work    conc.WaitGroup
	// running counts callers' requests, streams included, until their last byte.
	running atomic.Int64
	leaving atomic.Bool
}

// New returns an entry that serves on l until ctx ends or Drain.
func New(ctx context.Context, l net.Listener, config Config, deps Deps, metrics *Metrics) *Entry {
	e := &Entry{config: config, deps: deps, metrics: metrics}
	e.records = newRecordKeeper(deps.Store, config, e.background)
	e.app = fiber.New(fiber.Config{
		// Without copies, a string kept past its handler would become part of another caller's request.
		Immutable:    true,
		BodyLimit:    config.BodyLimitBytes,
		ErrorHandler: e.onError,
		IdleTimeout:  idleTimeout,
		// A connection that dies in the middle of a request would else hold its place, and a drain, for ever.
		ReadTimeout: cmp.Or(config.ReadTimeout, defaultReadTimeout),
		// Streams of tokens are written for minutes; their end is the request's deadline.
		WriteTimeout: MaxRequestTimeout,
	})
	e.routes()
	callerconn.Serve(ctx, &e.work, e.app, callerconn.Listener{Listener: l}, keepAliveGrace, deps.Log)
	e.work.Go(func() { e.followOrganisations(ctx) })
	return e
}

func (e *Entry) routes() {
	e.app.Server().Handler = e.refuseMethods(e.app.Server().Handler)
	e.app.Use(e.count, refuseCodings)
	e.app.All("/v1/services/:pool/*", e.service)
	e.app.Post("/v1/models/:model/generate", e.generate)
	e.app.Post("/v1/tickets/:number", e.applyTicket)
	e.app.Get("/v1/tickets/:number", e.showTicket)
	if e.deps.Trainers != nil {
		e.deps.Trainers.RegisterHTTP(e.app)
	}
}

// count keeps the number of running requests, and closes kept-alive connections once the host leaves.
func (e *Entry) count(c fiber.Ctx) error {
	e.running.Add(1)
	defer e.running.Add(-1)
	if e.leaving.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Next()
}

// background runs work that outlives its request; a drain waits for it as for a request.
func (e *Entry) background(work func()) {
	e.running.Add(1)
	e.work.Go(func() {
		defer e.running.Add(-1)
		work()
	})
}

// followOrganisations hands every new configuration to admission.
func (e *Entry) followOrganisations(ctx context.Context) {
	for {
		changed := e.deps.Views.Changed()
		e.deps.Admission.Configure(e.deps.Views.View().Organisations(), e.deps.Dispatcher.entries())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(organisationRefresh):
		}
	}
}

// organisationRefresh is how often the number of live entries is read again, since rate limits are split over them.
const organisationRefresh = 5 * time.Second

// Drain ends the entry without cutting off a request: it serves on for leaveDelay while the balancer
// learns of it, then takes no new connection and waits for what is running, up to ctx.
func (e *Entry) Drain(ctx context.Context, leaveDelay time.Duration) error {
	e.leaving.Store(true)
	ticker.Sleep(ctx, leaveDelay)
	err := e.app.ShutdownWithContext(ctx)
	for e.running.Load() > 0 {
		if !ticker.Sleep(ctx, drainPoll) {
			return errors.Errorf("entry %s: %d requests still running at the end of the drain", e.config.HostID, e.running.Load())
		}
	}
	return err
}

const drainPoll = 20 * time.Millisecond

// Wait returns once all goroutines of the entry have ended.
func (e *Entry) Wait() { e.work.Wait() }

// State is the dump of an entry.
type State struct {
	HostID   string `json:"hostId"`
	Running  int64  `json:"running"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
	Ticket   int    `json:"ticket"`
	Fresh    bool   `json:"fresh"`
}

// State returns the dump; it holds no key material.
func (e *Entry) State() any {
	view := e.deps.Views.View()
	return State{
		HostID:   e.config.HostID,
		Running:  e.running.Load(),
		Leaving:  e.leaving.Load(),
		Revision: view.Revision(),
		Ticket:   view.LastTicket(),
		Fresh:    e.deps.Views.Fresh(time.Now()),
	}
}
